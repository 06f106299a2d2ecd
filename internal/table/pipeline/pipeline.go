// Package pipeline provides the table's pipelines.
package pipeline

// This file defines Pipeline and Stage.

import (
	"fmt"

	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/table/problem"
)

// MostStages is the greatest number of stages in a pipeline.
const MostStages = 6

// Pipeline is a chain of stages under one deadline.
type Pipeline struct {
	Name     string    `json:"name"`
	Deadline span.Span `json:"deadline"`
	Stages   []Stage   `json:"stages"`
}

// Stage is one step of a pipeline.
type Stage struct {
	Name   string    `json:"name"`
	Role   string    `json:"role"`            // the role that its endpoints have
	Model  string    `json:"model,omitempty"` // set for stages that a model engine runs
	Time   span.Span `json:"time"`            // expected time, until measured
	Tokens int       `json:"tokens,omitempty"`
	Once   bool      `json:"once,omitempty"` // not idempotent: never hedged or retried
}

// Check reports the values that p may not hold.
func (p Pipeline) Check(list *problem.List) {
	row := "pipeline " + p.Name
	if p.Name == "" {
		list.Add(row, "name", `""`, "a name")
	}
	if p.Deadline <= 0 {
		list.Add(row, "deadline", p.Deadline, "more than 0s")
	}
	if len(p.Stages) == 0 || len(p.Stages) > MostStages {
		list.Add(row, "stages", len(p.Stages), fmt.Sprintf("1 to %d", MostStages))
	}
	seen := map[string]bool{}
	for i, s := range p.Stages {
		column := fmt.Sprintf("stages[%d]", i)
		if s.Name == "" || seen[s.Name] {
			list.Add(row, column+".name", s.Name, "a name of its own")
		}
		seen[s.Name] = true
		if s.Role == "" {
			list.Add(row, column+".role", `""`, "a role")
		}
		if s.Time < 0 {
			list.Add(row, column+".time", s.Time, "0s or more")
		}
		if s.Tokens < 0 {
			list.Add(row, column+".tokens", s.Tokens, "0 or more")
		}
	}
}
