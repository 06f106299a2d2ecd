// Package centre provides the table's data centre rows.
package centre

// This file defines Centre.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/table/problem"
)

// Centre is a data centre. Weight zero empties it.
type Centre struct {
	Name   string               `json:"name"`
	Region string               `json:"region"`
	Weight float64              `json:"weight"` // multiplies the weight of each endpoint inside
	Leave  *time.Time           `json:"leave,omitempty"`
	Far    map[string]span.Span `json:"far,omitempty"` // one-way delay to other data centres, by name
}

// Check reports the values that c may not hold.
func (c Centre) Check(list *problem.List) {
	row := "centre " + c.Name
	if c.Name == "" {
		list.Add(row, "name", `""`, "a name")
	}
	if c.Weight < 0 {
		list.Add(row, "weight", c.Weight, "0 or more")
	}
	for other, far := range c.Far {
		if far < 0 {
			list.Add(row, "far."+other, far, "0s or more")
		}
	}
}
