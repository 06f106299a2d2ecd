// Package matrix meets every fault at every step of a request and of an
// operation, with real daemons over loopback, and checks the promises from what
// the stand-ins counted and what the callers received.
package matrix

// This file defines Cell, its table and its timing.

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/bench/fleet"
	"github.com/jacinthstile/jacinthstile/internal/bench/member"
	"github.com/jacinthstile/jacinthstile/internal/settings/config"
	"github.com/jacinthstile/jacinthstile/internal/table/account"
	"github.com/jacinthstile/jacinthstile/internal/table/centre"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/model"
	"github.com/jacinthstile/jacinthstile/internal/table/pipeline"
	"github.com/jacinthstile/jacinthstile/internal/table/policy"
	"github.com/jacinthstile/jacinthstile/internal/table/service"
)

// Cell is one fault at one step, or two that come one after the other.
type Cell struct {
	Step   Step
	Faults []Fault
	Gap    time.Duration // between the faults
}

// String returns the names of the step and the faults.
func (c Cell) String() string {
	name := c.Step.Name
	for _, f := range c.Faults {
		name += " / " + f.Name
	}
	return name
}

// meets reports whether a fault is among the cell's.
func (c Cell) meets(name string) bool {
	return slices.ContainsFunc(c.Faults, func(f Fault) bool { return f.Name == name })
}

// hits reports whether a fault of a group is among the cell's.
func (c Cell) hits(groups ...Group) bool {
	return slices.ContainsFunc(c.Faults, func(f Fault) bool { return slices.Contains(groups, f.Group) })
}

// Cells returns every fault at every step.
func Cells() []Cell {
	var cells []Cell
	for _, s := range Steps {
		for _, f := range Faults {
			cells = append(cells, Cell{Step: s, Faults: []Fault{f}})
		}
	}
	return cells
}

// mostGap bounds the time between the faults of a pair.
const mostGap = 60 * time.Millisecond

// Pair returns the cell of two faults that a seed chooses.
func Pair(seed uint64) Cell {
	rng := rand.New(rand.NewPCG(seed, 0))
	c := Cell{Step: Steps[rng.IntN(len(Steps))]}
	first := Faults[rng.IntN(len(Faults))]
	second := first
	for second.Name == first.Name || second.Group == first.Group && first.Group != AtEndpoint {
		second = Faults[rng.IntN(len(Faults))]
	}
	c.Gap = time.Duration(rng.Int64N(int64(mostGap)))
	c.Faults = []Fault{first, second}
	return c
}

// moved returns the engine that the placement step gives another model. Where
// a daemon may order what was wanted before, it is one that takes old orders.
func (c Cell) moved() string {
	if c.hits(AtInstance, AtPlatform) {
		return unfenced
	}
	return fenced
}

// starter returns how the cell's daemons start: the victim of an instance fault
// is a process of its own, the others share this one.
func (c Cell) starter(process fleet.Start) fleet.Start {
	victim := fmt.Sprintf("entry-%d", c.Step.Victim+1)
	return func(ctx context.Context, s config.Config, log logr.Logger) (member.Member, error) {
		if c.hits(AtInstance) && s.Name == victim {
			return process(ctx, s, log)
		}
		return fleet.Local(ctx, s, log)
	}
}

// Names in the table of a cell.
const (
	callsAtOnce  = 32 // limit of an endpoint
	pipelineName = "answer"
	serviceName  = "bookings"
	firstModel   = "model-1"
	secondModel  = "model-2"
	accountName  = "workshop"
	accountKey   = "key-" + accountName
	cappedName   = "franchise"
	cappedKey    = "key-" + cappedName
	lowCap       = 3 // requests of the capped account in flight, over all daemons
	emptied      = "centre-3"
	fenced       = "generate-3" // an engine that refuses orders with an old fencing number
	unfenced     = "generate-2" // an engine that takes every order
	tokens       = 6
)

// timing returns a model that keeps cells short.
func timing() fleet.Timing {
	return fleet.Timing{
		Pool: time.Millisecond, Service: 2 * time.Millisecond,
		First: 2 * time.Millisecond, Token: time.Millisecond, Blocks: 100,
	}
}

// seats returns how many seats the table gives. Issuers of orders take turns by
// the clock for many seconds each, so that the placement step has one alone.
func (c Cell) seats() int {
	if c.Step.Name == Order {
		return 1
	}
	return daemons
}

// limit returns the limit of each endpoint. Daemons without a seat have no
// share of a limit, so that the placement step, which has one seat, sets none.
func (c Cell) limit() int {
	if c.Step.Name == Order {
		return 0
	}
	return callsAtOnce
}

// newTable returns three data centres with an endpoint of each role.
func (c Cell) newTable() (*fleettable.Table, error) {
	s := &fleettable.Table{
		Epoch: 1, Version: 1,
		Policy: &policy.Policy{
			Attainment: 1, Retry: 1, MaxEjected: 0.4, Ticket: span.Span(time.Minute), Seats: c.seats(), MaxUnavailable: 0.5,
		},
		Accounts: []account.Account{
			{Name: accountName, Digest: account.DigestOf(accountKey), Weight: 1},
			{Name: cappedName, Digest: account.DigestOf(cappedKey), Weight: 1, Cap: lowCap},
		},
		Models: []model.Model{{Name: firstModel, Version: "1", Pipeline: pipelineName}, {Name: secondModel, Version: "1"}},
		Services: []service.Service{{
			Name: serviceName, Deadline: span.Span(usualDeadline),
			Operations: []service.Operation{
				{Method: "GET", Path: "/status", Idempotent: true},
				{Method: "POST", Path: "/bookings"},
			},
		}},
	}
	p := pipeline.Pipeline{Name: pipelineName, Deadline: span.Span(usualDeadline)}
	for _, role := range []string{"encode", "retrieve", "rerank"} {
		p.Stages = append(p.Stages, pipeline.Stage{Name: role, Role: role, ExpectedTime: span.Span(time.Millisecond)})
	}
	p.Stages = append(p.Stages, pipeline.Stage{
		Name: "generate", Role: "generate", Model: firstModel, ExpectedTime: span.Span(10 * time.Millisecond), Tokens: tokens,
	})
	s.Pipelines = append(s.Pipelines, p)
	for i := 1; i <= daemons; i++ {
		s.Centres = append(s.Centres, centre.Centre{Name: fmt.Sprintf("centre-%d", i), Region: "region", Weight: 1})
		s.Endpoints = append(s.Endpoints, endpointsOf(i, c.limit())...)
	}
	data, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return fleettable.Parse(data)
}

func endpointsOf(i, limit int) []endpoint.Endpoint {
	row := func(role, kind string) endpoint.Endpoint {
		return endpoint.Endpoint{
			Name: fmt.Sprintf("%s-%d", role, i), Address: "127.0.0.1:1", Centre: fmt.Sprintf("centre-%d", i),
			Kind: kind, Role: role, Weight: 1, Limit: limit, Cost: 1,
		}
	}
	generate := row("generate", endpoint.Engine)
	generate.Models = []string{firstModel}
	generate.Fenced = i%2 == 1
	booking := row(serviceName, endpoint.Service)
	booking.RefusalMeansNotRun = true
	return []endpoint.Endpoint{
		row("encode", endpoint.Pool), row("retrieve", endpoint.Pool), row("rerank", endpoint.Pool), generate, booking,
	}
}
