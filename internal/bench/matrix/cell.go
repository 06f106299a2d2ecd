// Package matrix injects every fault at every step of a request and of an
// operator's change, with real daemons over loopback, and checks the promises to
// callers against what the stand-ins executed and what the callers received.
package matrix

// This file defines Cell and the table and timing of its fleet.

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

// Cell is a test case: one fault at one step, or two faults in succession.
type Cell struct {
	Step   Step
	Faults []Fault
	Gap    time.Duration // between the faults
}

// String returns the name of the cell: that of its step, then those of its faults.
func (c Cell) String() string {
	name := c.Step.Name
	for _, f := range c.Faults {
		name += " / " + f.Name
	}
	return name
}

// hasFault reports whether the cell has the fault of the given name.
func (c Cell) hasFault(name string) bool {
	return slices.ContainsFunc(c.Faults, func(f Fault) bool { return f.Name == name })
}

// hasGroup reports whether the cell has a fault of one of the groups.
func (c Cell) hasGroup(groups ...Group) bool {
	return slices.ContainsFunc(c.Faults, func(f Fault) bool { return slices.Contains(groups, f.Group) })
}

// Cells returns the cells of every single fault at every step.
func Cells() []Cell {
	var cells []Cell
	for _, s := range Steps {
		for _, f := range Faults {
			cells = append(cells, Cell{Step: s, Faults: []Fault{f}})
		}
	}
	return cells
}

// maxGap is the upper limit of the time between the faults of a pair.
const maxGap = 60 * time.Millisecond

// Pair returns a random cell with two different faults, which the seed determines.
// Only endpoint faults are paired with others of their group.
func Pair(seed uint64) Cell {
	rng := rand.New(rand.NewPCG(seed, 0))
	c := Cell{Step: Steps[rng.IntN(len(Steps))]}
	first := Faults[rng.IntN(len(Faults))]
	second := first
	for second.Name == first.Name || second.Group == first.Group && first.Group != AtEndpoint {
		second = Faults[rng.IntN(len(Faults))]
	}
	c.Gap = time.Duration(rng.Int64N(int64(maxGap)))
	c.Faults = []Fault{first, second}
	return c
}

// movedEngine returns the engine to which the placement step assigns another model.
// Where the fault may let a daemon send an order from an older table, it is an
// engine that accepts such orders.
func (c Cell) movedEngine() string {
	if c.hasGroup(AtInstance, AtPlatform) {
		return unfencedEngine
	}
	return fencedEngine
}

// startFunc returns the function that starts the cell's daemons. The victim of an
// instance fault is started by process, the others run within this process.
func (c Cell) startFunc(process fleet.Start) fleet.Start {
	victim := fmt.Sprintf("entry-%d", c.Step.Victim+1)
	return func(ctx context.Context, s config.Config, log logr.Logger) (member.Member, error) {
		if c.hasGroup(AtInstance) && s.Name == victim {
			return process(ctx, s, log)
		}
		return fleet.Local(ctx, s, log)
	}
}

// Names in the table of a cell.
const (
	endpointLimit  = 32 // concurrency limit of each endpoint
	pipelineName   = "answer"
	serviceName    = "bookings"
	firstModel     = "model-1"
	secondModel    = "model-2"
	accountName    = "workshop"
	accountKey     = "key-" + accountName
	cappedName     = "franchise"
	cappedKey      = "key-" + cappedName
	accountCap     = 3            // concurrent requests of the capped account, over all daemons
	drainedCentre  = "centre-3"   // the data centre that the drain step empties
	fencedEngine   = "generate-3" // an engine that refuses orders with an old fencing number
	unfencedEngine = "generate-2" // an engine that accepts every order
	stageTokens    = 6            // of the generate stage
)

// timing returns service times that are short, so that a cell takes little time.
func timing() fleet.Timing {
	return fleet.Timing{
		Pool: time.Millisecond, Service: 2 * time.Millisecond,
		FirstToken: 2 * time.Millisecond, TokenInterval: time.Millisecond, CacheBlocks: 100,
	}
}

// seats returns the number of seats in the table. The instances that send orders
// to engines take turns in time slots of many seconds. The placement step gives
// only one instance a seat, so that it needn't wait for the slots of others.
func (c Cell) seats() int {
	if c.Step.Name == Order {
		return 1
	}
	return daemons
}

// limit returns the concurrency limit of each endpoint, 0 for none. A daemon
// without a seat has no share of a limit and could send no calls. The placement
// step has only one seat and therefore sets no limit.
func (c Cell) limit() int {
	if c.Step.Name == Order {
		return 0
	}
	return endpointLimit
}

// newTable returns a table of three data centres, each with one endpoint of every
// role.
func (c Cell) newTable() (*fleettable.Table, error) {
	t := &fleettable.Table{
		Epoch: 1, Version: 1,
		Policy: &policy.Policy{
			Attainment: 1, Retry: 1, MaxEjected: 0.4, Ticket: span.Span(time.Minute), Seats: c.seats(), MaxUnavailable: 0.5,
		},
		Accounts: []account.Account{
			{Name: accountName, Digest: account.DigestOf(accountKey), Weight: 1},
			{Name: cappedName, Digest: account.DigestOf(cappedKey), Weight: 1, Cap: accountCap},
		},
		Models: []model.Model{{Name: firstModel, Version: "1", Pipeline: pipelineName}, {Name: secondModel, Version: "1"}},
		Services: []service.Service{{
			Name: serviceName, Deadline: span.Span(requestDeadline),
			Operations: []service.Operation{
				{Method: "GET", Path: "/status", Idempotent: true},
				{Method: "POST", Path: "/bookings"},
			},
		}},
	}
	p := pipeline.Pipeline{Name: pipelineName, Deadline: span.Span(requestDeadline)}
	for _, role := range []string{"encode", "retrieve", "rerank"} {
		p.Stages = append(p.Stages, pipeline.Stage{Name: role, Role: role, ExpectedTime: span.Span(time.Millisecond)})
	}
	p.Stages = append(p.Stages, pipeline.Stage{
		Name: "generate", Role: "generate", Model: firstModel, ExpectedTime: span.Span(10 * time.Millisecond), Tokens: stageTokens,
	})
	t.Pipelines = append(t.Pipelines, p)
	for i := 1; i <= daemons; i++ {
		t.Centres = append(t.Centres, centre.Centre{Name: fmt.Sprintf("centre-%d", i), Region: "region", Weight: 1})
		t.Endpoints = append(t.Endpoints, endpointsOf(i, c.limit())...)
	}
	data, err := json.Marshal(t)
	if err != nil {
		return nil, err
	}
	return fleettable.Parse(data)
}

func endpointsOf(i, limit int) []endpoint.Endpoint {
	entry := func(role, kind string) endpoint.Endpoint {
		return endpoint.Endpoint{
			Name: fmt.Sprintf("%s-%d", role, i), Address: "127.0.0.1:1", Centre: fmt.Sprintf("centre-%d", i),
			Kind: kind, Role: role, Weight: 1, Limit: limit, Cost: 1,
		}
	}
	generate := entry("generate", endpoint.Engine)
	generate.Models = []string{firstModel}
	generate.Fenced = i%2 == 1
	booking := entry(serviceName, endpoint.Service)
	booking.RefusalMeansNotRun = true
	return []endpoint.Endpoint{
		entry("encode", endpoint.Pool), entry("retrieve", endpoint.Pool), entry("rerank", endpoint.Pool), generate, booking,
	}
}
