// Package pipeline provides the table's pipeline rows.
package pipeline

// This file defines Pipeline and Stage.

import (
	"fmt"

	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/table/problem"
)

// MaxStages is the greatest number of stages in a pipeline.
const MaxStages = 6

// Pipeline is a sequence of stages that a request passes through within one
// deadline.
type Pipeline struct {
	Name     string    `json:"name"`
	Deadline span.Span `json:"deadline"`
	Stages   []Stage   `json:"stages"`
}

// Stage is one step of a pipeline. It is executed by one of the endpoints of its role.
type Stage struct {
	Name          string    `json:"name"`
	Role          string    `json:"role"`             // role of the endpoints that execute it
	Model         string    `json:"model,omitempty"`  // model that a model engine runs for the stage; empty for other stages
	ExpectedTime  span.Span `json:"time"`             // expected execution time, used until times are measured
	Tokens        int       `json:"tokens,omitempty"` // default number of tokens to generate, which a request may override; 0 for a stage that generates none
	NonIdempotent bool      `json:"once,omitempty"`   // the stage is not idempotent, so it is never hedged or retried
}

// Check adds the invalid values of p to list.
func (p Pipeline) Check(list *problem.List) {
	row := "pipeline " + p.Name
	if p.Name == "" {
		list.Add(row, "name", `""`, "a name")
	}
	if p.Deadline <= 0 {
		list.Add(row, "deadline", p.Deadline, "more than 0s")
	}
	if len(p.Stages) == 0 || len(p.Stages) > MaxStages {
		list.Add(row, "stages", len(p.Stages), fmt.Sprintf("1 to %d", MaxStages))
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
		if s.ExpectedTime < 0 {
			list.Add(row, column+".time", s.ExpectedTime, "0s or more")
		}
		if s.Tokens < 0 {
			list.Add(row, column+".tokens", s.Tokens, "0 or more")
		}
	}
}
