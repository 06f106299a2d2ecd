// Package centre provides the table's data centre rows.
package centre

// This file defines Centre.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/table/problem"
)

// Centre is a data centre. With weight zero its endpoints get no new work.
type Centre struct {
	Name        string               `json:"name"`
	Region      string               `json:"region"`
	Weight      float64              `json:"weight"`          // factor of the weight of each of its endpoints
	Leave       *time.Time           `json:"leave,omitempty"` // time by which no work may run there any more
	OneWayDelay map[string]span.Span `json:"far,omitempty"`   // one-way network delay to other data centres, by their name
}

// Check adds the invalid values of c to list.
func (c Centre) Check(list *problem.List) {
	row := "centre " + c.Name
	if c.Name == "" {
		list.Add(row, "name", `""`, "a name")
	}
	if c.Weight < 0 {
		list.Add(row, "weight", c.Weight, "0 or more")
	}
	for other, far := range c.OneWayDelay {
		if far < 0 {
			list.Add(row, "far."+other, far, "0s or more")
		}
	}
}
