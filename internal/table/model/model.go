// Package model provides the table's model rows.
package model

// This file defines Model.

import "github.com/jacinthstile/jacinthstile/internal/table/problem"

// Model is a model that chat requests may name.
type Model struct {
	Name     string `json:"name"`
	Version  string `json:"version"`
	Adapter  string `json:"adapter,omitempty"`
	Pipeline string `json:"pipeline"` // name of the pipeline that runs a chat request with this model
	Size     int64  `json:"size"`     // bytes of the weights in the weight store
}

// Check adds the invalid values of m to list.
func (m Model) Check(list *problem.List) {
	row := "model " + m.Name
	if m.Name == "" {
		list.Add(row, "name", `""`, "a name")
	}
	if m.Version == "" {
		list.Add(row, "version", `""`, "a version")
	}
	if m.Size < 0 {
		list.Add(row, "size", m.Size, "0 or more bytes")
	}
}
