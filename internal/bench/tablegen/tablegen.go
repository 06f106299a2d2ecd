// Package tablegen generates tables of a given size for tests and measurements. The rows have realistic values, and the
// same options always give the same table. It does no I/O.
package tablegen

// This file defines Options and Generate.

import (
	"fmt"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/table/account"
	"github.com/jacinthstile/jacinthstile/internal/table/centre"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/model"
	"github.com/jacinthstile/jacinthstile/internal/table/pipeline"
	"github.com/jacinthstile/jacinthstile/internal/table/policy"
	"github.com/jacinthstile/jacinthstile/internal/table/service"
)

// Options are the numbers of rows of each kind. Centres and Models must be 1 or more if Endpoints is.
type Options struct {
	Accounts  int
	Endpoints int
	Centres   int
	Models    int
}

// FullSize returns the numbers of rows that the system is designed for.
func FullSize() Options { return Options{Accounts: 29_000, Endpoints: 4_000, Centres: 10, Models: 23} }

// Generate generates a table of epoch 1 and version 1 and freezes it. The bearer key of account NAME is "key-NAME". The
// error is that of Freeze.
func Generate(o Options) (*fleettable.Table, error) {
	t := &fleettable.Table{Epoch: 1, Version: 1, Policy: &policy.Policy{
		Attainment: 0.7, Cost: 0.3, Retry: 0.1, Hedge: 0.02, MaxEjected: 0.3,
		Ticket: span.Span(10 * time.Minute), Seats: 3, StoreBandwidth: 200_000_000, MaxUnavailable: 0.34,
	}}
	for i := range o.Centres {
		c := centre.Centre{Name: fmt.Sprintf("centre-%02d", i), Region: fmt.Sprintf("region-%d", i%3), Weight: 1}
		c.OneWayDelay = make(map[string]span.Span)
		for j := range o.Centres {
			if j != i {
				c.OneWayDelay[fmt.Sprintf("centre-%02d", j)] = span.Span(1500 * time.Microsecond)
			}
		}
		t.Centres = append(t.Centres, c)
	}
	for i := range o.Models {
		name := fmt.Sprintf("model-%02d", i)
		t.Models = append(t.Models, model.Model{Name: name, Version: "1", Pipeline: "chat-" + name, Size: 16_000_000_000})
		t.Pipelines = append(t.Pipelines, chatPipeline(name))
	}
	t.Services = []service.Service{{
		Name: "booking", Deadline: span.Span(2 * time.Second),
		Operations: []service.Operation{{Method: "POST", Path: "/bookings"}, {Method: "GET", Path: "/", Idempotent: true}},
	}}
	addEndpoints(t, o)
	for i := range o.Accounts {
		name := fmt.Sprintf("account-%05d", i)
		t.Accounts = append(t.Accounts, account.Account{
			Name: name, Digest: account.DigestOf("key-" + name), Weight: 1, Rate: float64(1 + i%50), Cap: 1 + i%20,
		})
	}
	return t, t.Freeze()
}

// chatPipeline returns a pipeline of two stages for a model.
func chatPipeline(name string) pipeline.Pipeline {
	return pipeline.Pipeline{
		Name: "chat-" + name, Deadline: span.Span(8 * time.Second),
		Stages: []pipeline.Stage{
			{Name: "encode", Role: "encode", ExpectedTime: span.Span(5 * time.Millisecond)},
			{Name: "generate", Role: "generate", Model: name, ExpectedTime: span.Span(2 * time.Second), Tokens: 200},
		},
	}
}

// addEndpoints adds the endpoints, distributed evenly over centres and models. Every tenth is a pool for the stage
// encode, the others are engines.
func addEndpoints(t *fleettable.Table, o Options) {
	for i := range o.Endpoints {
		e := endpoint.Endpoint{
			Name:    fmt.Sprintf("llm-%04d", i),
			Address: fmt.Sprintf("10.%d.%d.%d:9100", i>>16, i>>8&255, i&255),
			Centre:  fmt.Sprintf("centre-%02d", i%o.Centres),
			Kind:    endpoint.Engine,
			Role:    "generate",
			Models:  []string{fmt.Sprintf("model-%02d", i%o.Models)},
			Weight:  1, Limit: 16, Cost: 4, Fenced: i%2 == 0,
		}
		if i%10 == 9 {
			e.Kind, e.Role, e.Models = endpoint.Pool, "encode", nil
		}
		t.Endpoints = append(t.Endpoints, e)
	}
}
