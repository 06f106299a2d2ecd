// Package tableoutline describes a table in the form that a check of a configuration looks at.
package tableoutline

// This file defines New.

import (
	"fmt"

	"github.com/jacinthstile/jacinthstile/internal/config/outline"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/pipeline"
	"github.com/jacinthstile/jacinthstile/internal/table/tablediff"
)

// New returns the outline of a frozen table. Pipelines and the operations of plain services are its
// routes; the roles of endpoints and the plain services are its services.
func New(t *fleettable.Table) (*outline.Outline, error) {
	cells, err := tablediff.Cells(t)
	if err != nil {
		return nil, err
	}
	o := &outline.Outline{Revision: t.Revision(), Endpoints: []outline.Endpoint{}, Cells: cells}
	for _, p := range t.Pipelines {
		o.Routes = append(o.Routes, pipelineRoute(p))
	}
	for _, s := range t.Services {
		o.Services = append(o.Services, outline.Service{Row: "service " + s.Name, Name: s.Name})
		for i, op := range s.Operations {
			o.Routes = append(o.Routes, outline.Route{
				Row: "service " + s.Name, Column: fmt.Sprintf("operations[%d]", i), Host: s.Name, Method: op.Method, Prefix: op.Path,
				Targets: []outline.Target{{Service: s.Name, Weight: 1}}, Timeout: s.Deadline.Duration(),
			})
		}
	}
	addEndpoints(o, t)
	addRoles(o, t)
	for _, a := range t.Accounts {
		o.Accounts = append(o.Accounts, outline.Account{Row: "account " + a.Name, Keys: []string{a.Digest}})
	}
	return o, nil
}

// pipelineRoute returns the route of a pipeline, whose stages run one after the other.
func pipelineRoute(p pipeline.Pipeline) outline.Route {
	r := outline.Route{Row: "pipeline " + p.Name, Host: "pipeline", Prefix: p.Name, Timeout: p.Deadline.Duration()}
	for i, s := range p.Stages {
		step := outline.Step{Column: fmt.Sprintf("stages[%d]", i), Service: s.Role, Model: s.Model, Least: s.ExpectedTime.Duration()}
		if i > 0 {
			step.After = []int{i - 1}
		}
		r.Steps = append(r.Steps, step)
	}
	return r
}

func addEndpoints(o *outline.Outline, t *fleettable.Table) {
	for _, e := range t.Endpoints {
		out := outline.Endpoint{
			Row: "endpoint " + e.Name, Service: e.Role, Models: e.Models, Weight: t.Weight(e.Name), Leave: e.Leave,
		}
		if c := t.Centre(e.Centre); c != nil {
			out.CentreLeave = c.Leave
		}
		o.Endpoints = append(o.Endpoints, out)
	}
}

// addRoles adds the roles of endpoints that are not plain services.
func addRoles(o *outline.Outline, t *fleettable.Table) {
	seen := make(map[string]bool)
	for _, e := range t.Endpoints {
		if !seen[e.Role] && t.Service(e.Role) == nil {
			seen[e.Role] = true
			o.Services = append(o.Services, outline.Service{Row: "role " + e.Role, Name: e.Role})
		}
	}
}
