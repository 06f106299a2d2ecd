// Package rows makes tables of a given size with realistic rows.
package rows

// This file defines Options and Table.

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

// Options is the number of rows of each kind.
type Options struct {
	Accounts  int
	Endpoints int
	Centres   int
	Models    int
}

// Full returns the sizes that the system is designed for.
func Full() Options { return Options{Accounts: 29_000, Endpoints: 4_000, Centres: 10, Models: 23} }

// Table returns a frozen table at (1, 1).
func Table(o Options) (*fleettable.Table, error) {
	s := &fleettable.Table{Epoch: 1, Version: 1, Policy: &policy.Policy{
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
		s.Centres = append(s.Centres, c)
	}
	for i := range o.Models {
		name := fmt.Sprintf("model-%02d", i)
		s.Models = append(s.Models, model.Model{Name: name, Version: "1", Pipeline: "chat-" + name, Size: 16_000_000_000})
		s.Pipelines = append(s.Pipelines, chat(name))
	}
	s.Services = []service.Service{{
		Name: "booking", Deadline: span.Span(2 * time.Second),
		Operations: []service.Operation{{Method: "POST", Path: "/bookings"}, {Method: "GET", Path: "/", Idempotent: true}},
	}}
	addEndpoints(s, o)
	for i := range o.Accounts {
		name := fmt.Sprintf("account-%05d", i)
		s.Accounts = append(s.Accounts, account.Account{
			Name: name, Digest: account.DigestOf("key-" + name), Weight: 1, Rate: float64(1 + i%50), Cap: 1 + i%20,
		})
	}
	return s, s.Freeze()
}

func chat(name string) pipeline.Pipeline {
	return pipeline.Pipeline{
		Name: "chat-" + name, Deadline: span.Span(8 * time.Second),
		Stages: []pipeline.Stage{
			{Name: "encode", Role: "encode", ExpectedTime: span.Span(5 * time.Millisecond)},
			{Name: "generate", Role: "generate", Model: name, ExpectedTime: span.Span(2 * time.Second), Tokens: 200},
		},
	}
}

func addEndpoints(s *fleettable.Table, o Options) {
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
		s.Endpoints = append(s.Endpoints, e)
	}
}
