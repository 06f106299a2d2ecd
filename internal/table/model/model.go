// Package model provides the table's model rows.
package model

// This file defines Model.

import "github.com/jacinthstile/jacinthstile/internal/table/problem"

// Model is a model that chats may name.
type Model struct {
	Name     string `json:"name"`
	Version  string `json:"version"`
	Adapter  string `json:"adapter,omitempty"`
	Pipeline string `json:"pipeline"` // the pipeline that a chat with this model runs
	Size     int64  `json:"size"`     // bytes of weights in the weight store
}

// Check reports the values that m may not hold.
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
