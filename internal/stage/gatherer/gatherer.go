// Package gatherer serves the orders of all instances on the one that gathers:
// it has the stages of a request done, and then chooses its engine.
package gatherer

// This file defines Gatherer.

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/fleet"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
	"github.com/jacinthstile/jacinthstile/internal/routing/prompt"
	"github.com/jacinthstile/jacinthstile/internal/stage/batcher"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
	"github.com/jacinthstile/jacinthstile/internal/stage/returns"
)

const (
	// firstEvent is how long an engine takes to its first event, where nothing
	// is known of its prompt.
	firstEvent = 160 * time.Millisecond
	// passing is how long the first event and the orders are on their way.
	passing    = 15 * time.Millisecond
	sweepEvery = 5 * time.Second
)

// Order is what a request needs before it can run.
type Order struct {
	Job     *job.Job // nil where the request has no stages; its times are those of the request
	ID      string
	Request string // id of the request
	Service string // of the engine; empty where none is wanted
	Prompt  []request.PromptPart
	Tried   []string // engines that failed the request
}

// Ready is what an order was answered with.
type Ready struct {
	Handles []string
	Engine  string // name of the endpoint; empty where none is known
}

// Gatherer is safe for concurrent use.
type Gatherer struct {
	foreman *batcher.Batcher
	chooser *prompt.Chooser
	catalog func() *catalog.Catalog
	fleet   func() *fleet.Index
	log     logr.Logger

	mu      sync.Mutex
	returns *returns.Returns
}

// New returns a gatherer.
func New(f *batcher.Batcher, p *prompt.Chooser, c func() *catalog.Catalog, x func() *fleet.Index, log logr.Logger) *Gatherer {
	return &Gatherer{foreman: f, chooser: p, catalog: c, fleet: x, log: log, returns: returns.New()}
}

// Order has the stages of a request done and chooses its engine. Ended must
// follow. The error is a *fault.Fault or the context's.
func (g *Gatherer) Order(ctx context.Context, o Order) (Ready, error) {
	now := time.Now()
	for _, name := range o.Tried {
		g.chooser.Failed(name, now)
	}
	var results []job.Result
	if o.Job != nil {
		var err error
		if results, err = g.stages(ctx, o); err != nil {
			return Ready{}, err
		}
	}
	return g.ready(o, results), nil
}

// stages has the stages of a request done, by the goal of its caller's first attempt.
func (g *Gatherer) stages(ctx context.Context, o Order) ([]job.Result, error) {
	wanted, deadline := o.fingerprint(), o.Job.Deadline
	g.mu.Lock()
	goal := g.returns.Goal(wanted, o.Job.Goal, deadline)
	g.mu.Unlock()
	if waited := o.Job.Goal.Sub(goal); waited > 0 {
		g.log.Info("caller came back", "request", o.Request, "waited", waited.String())
	}
	o.Job.Goal = goal
	g.schedule(o)
	results, err := g.foreman.Prepare(ctx, o.Job)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.returns.Refused(wanted, goal, deadline)
		return nil, err
	}
	g.returns.Served(wanted)
	return results, nil
}

// fingerprint tells what an order asks for, the same on each attempt of a caller.
func (o Order) fingerprint() uint64 {
	var b []byte
	write := func(text string, n int) {
		b = append(b, text+"\x00"...)
		b = binary.LittleEndian.AppendUint64(b, uint64(n))
	}
	write(o.Service, o.Job.Rank)
	write(o.Job.Key, len(o.Prompt))
	for _, p := range o.Prompt {
		write(p.ID, p.Tokens)
	}
	for _, n := range o.Job.Pieces {
		write("", n)
	}
	return xxhash.Sum64(b)
}

func (g *Gatherer) ready(o Order, results []job.Result) Ready {
	r := Ready{Handles: handles(results)}
	cat := g.catalog()
	if cat == nil {
		return r
	}
	s := cat.Services[o.Service]
	if s == nil || s.Engine == nil {
		return r
	}
	index := g.fleet()
	q := prompt.Request{ID: o.ID, Prompt: o.Prompt, Inputs: make(map[string]int64), Tried: make(map[string]bool)}
	for _, name := range o.Tried {
		q.Tried[name] = true
	}
	for _, result := range results {
		q.Inputs[result.Centre] += result.Bytes
	}
	choice := g.chooser.Place(q, index.Of(o.Service), s.Engine.Tokens, time.Now())
	if choice.Engine == nil {
		return r
	}
	r.Engine = choice.Engine.Name()
	var far int64
	for centre, bytes := range q.Inputs {
		if centre != choice.Engine.Centre {
			far += bytes
		}
	}
	g.log.Info("engine chosen", "request", o.Request, "engine", choice.Engine.ID, "unread", choice.Unread, "total", choice.Total,
		"pending", choice.Pending, "running", choice.Running, "cost", int(choice.Cost), "far", far)
	return r
}

// schedule sets by when the stages of an order must end, and where their
// results are wanted, by the engine that would be chosen now.
func (g *Gatherer) schedule(o Order) {
	first := firstEvent
	if cat := g.catalog(); cat != nil && cat.Services[o.Service] != nil && cat.Services[o.Service].Engine != nil {
		q := prompt.Request{ID: o.ID, Prompt: o.Prompt}
		choice := g.chooser.Look(q, g.fleet().Of(o.Service), cat.Services[o.Service].Engine.Tokens, time.Now())
		if choice.Engine != nil {
			first = choice.First + passing
			o.Job.Wanted = choice.Engine.Centre
		}
	}
	o.Job.After = first
	o.Job.Goal = o.Job.Goal.Add(-first)
	o.Job.Deadline = o.Job.Deadline.Add(-first)
}

func handles(results []job.Result) []string {
	list := make([]string, len(results))
	for i, r := range results {
		list[i] = r.Handle
	}
	return list
}

// Started tells that the inputs of requests are not needed any more.
func (g *Gatherer) Started(ids []string) {
	now := time.Now()
	for _, id := range ids {
		g.foreman.Release(id)
		g.chooser.Started(id, now)
	}
}

// Ended tells that requests have left their engines, or were given up.
func (g *Gatherer) Ended(ids []string) {
	for _, id := range ids {
		g.foreman.Release(id)
		g.chooser.Ended(id)
	}
}

// Run runs the batcher's periodic work until the context ends.
func (g *Gatherer) Run(ctx context.Context) {
	go g.foreman.Run(ctx)
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			index := g.fleet()
			g.chooser.Sweep(func(name string) bool { return index.Named(name) != nil }, now)
		case <-ctx.Done():
			return
		}
	}
}
