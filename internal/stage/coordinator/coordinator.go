// Package coordinator prepares requests on the instance that is elected
// coordinator. Instances send it an order for each request: it runs the stages of
// the request, in batched calls together with those of other requests, and then
// chooses the engine.
package coordinator

// This file defines Coordinator, Order and Prepared.

import (
	"context"
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/admission/gate"
	"github.com/jacinthstile/jacinthstile/internal/admission/permit"
	"github.com/jacinthstile/jacinthstile/internal/admission/quarantine"
	"github.com/jacinthstile/jacinthstile/internal/base/contain"
	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/routing/cacheaware"
	"github.com/jacinthstile/jacinthstile/internal/routing/cooldown"
	"github.com/jacinthstile/jacinthstile/internal/routing/pace"
	"github.com/jacinthstile/jacinthstile/internal/routing/ratelimit"
	"github.com/jacinthstile/jacinthstile/internal/stage/batcher"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
	"github.com/jacinthstile/jacinthstile/internal/stage/retries"
)

const (
	// defaultFirstEvent is the assumed time from the end of the stages to the first
	// event of the engine if no engine can be chosen to predict it.
	defaultFirstEvent = 160 * time.Millisecond
	// networkDelay is the time that the first event and the orders spend on the network.
	networkDelay  = 15 * time.Millisecond
	sweepInterval = 5 * time.Second // between removals of the state of engines that are gone
	// maxJudgeWait is how long an order may wait for the processor before it is judged. It leaves
	// the order most of its time.
	maxJudgeWait = 150 * time.Millisecond
	// drainedRetryAfter is for a refusal because all data centres with engines are drained, which lasts for
	// an unknown time.
	drainedRetryAfter = time.Second
)

// Order describes what a request needs before it can run: the results of its
// stages, and an engine.
type Order struct {
	Job     *job.Job // nil if the request has no stages; its goal and deadline are those of the request
	ID      string   // id of the order; a request may have several orders
	Request string   // id of the request
	Service string   // service of the engine; empty if no engine is wanted
	Prompt  []request.PromptPart
	// Fingerprint is the same for equal requests, see request.Request.Fingerprint; zero if not
	// known.
	Fingerprint uint64
	Version     string   // of its software that the engine must have; empty for any
	Tried       []string // names of engines that failed the request
	MayTry      bool     // whether the request may be a trial, if it is held back
	Rank        int      // scheduling priority; zero is the most urgent
	Goal        time.Time
	// Deadline is the time after which no engine can answer the request.
	Deadline time.Time
	Centres  []string // data centres to which the request may go; nil for all
}

// Prepared is the result of an order.
type Prepared struct {
	Handles   []string // handles of the results that the request reads
	Engine    string   // name of the chosen engine's endpoint; empty if none was found
	Permitted bool     // the request was taken from the limit that the engine has for all instances
	Trial     bool     // the request is held back, and sent as a trial; it must not be repeated
}

// Coordinator runs the stages of orders and chooses their engines. It is safe for
// concurrent use.
type Coordinator struct {
	batcher    *batcher.Batcher
	selector   *cacheaware.Selector
	quarantine *quarantine.Quarantine
	limits     *ratelimit.Tracker
	permits    *permit.Queue
	paces      *pace.Tracker
	report     func([]pace.Change)
	gate       *gate.Gate // of the orders that are judged
	catalog    func() *catalog.Catalog
	endpoints  func() *registry.Index
	log        logr.Logger

	mu      sync.Mutex
	retries *retries.Tracker
	orders  map[string]*openOrder // by id
}

// New returns a Coordinator. It takes requests from limits, and no request for endpoints in one
// of the pauses. It leaves out engines that have to show their pace, and calls report with what changes in
// that. The functions currentCatalog and currentEndpoints are called for each order;
// currentCatalog returns nil while there is no catalog.
func New(b *batcher.Batcher, selector *cacheaware.Selector, q *quarantine.Quarantine, limits *ratelimit.Tracker, pauses *cooldown.Tracker,
	paces *pace.Tracker, report func([]pace.Change), currentCatalog func() *catalog.Catalog, currentEndpoints func() *registry.Index, log logr.Logger,
) *Coordinator {
	return &Coordinator{
		batcher: b, selector: selector, quarantine: q, limits: limits, permits: permit.New(limits, pauses), paces: paces, report: report, catalog: currentCatalog, endpoints: currentEndpoints, log: log, retries: retries.New(), gate: gate.New(maxJudgeWait),
		orders: make(map[string]*openOrder),
	}
}

// Prepare runs the stages of an order and chooses its engine. The caller must call
// Ended with the order's id afterwards, also after an error. The error is a
// *fault.Fault or that of the context.
func (c *Coordinator) Prepare(ctx context.Context, o Order) (Prepared, error) {
	now := time.Now()
	for _, name := range o.Tried {
		c.selector.RecordFailure(name, now)
		c.report(c.paces.Fail(name, now))
	}
	if slices.Contains(c.endpoints().Drained(), o.Service) {
		return Prepared{}, drainedFault(o)
	}
	if o.Version != "" && len(c.engines(o)) == 0 {
		return Prepared{}, versionFault(o)
	}
	ctx, open, err := c.open(ctx, o, now)
	if err != nil {
		return Prepared{}, err
	}
	defer c.endWaiting(open)
	release, err := c.reserve(o, now)
	if err != nil {
		return Prepared{}, err
	}
	defer release()
	var results []job.Result
	if o.Job != nil {
		if results, err = c.runStages(ctx, o); err != nil {
			return Prepared{}, heldOr(ctx, err)
		}
	}
	if held, whole := c.quarantine.Holds(o.subject()); held && !open.trial {
		return Prepared{}, heldFault(whole)
	}
	release()
	prepared, err := c.chooseEngine(ctx, o, results)
	if err != nil {
		return Prepared{}, heldOr(ctx, err)
	}
	prepared.Trial = open.trial
	return prepared, nil
}

// runStages runs the stages of an order. If the request is a retry, the goal is
// that of its caller's first attempt.
func (c *Coordinator) runStages(ctx context.Context, o Order) ([]job.Result, error) {
	fingerprint, deadline := o.fingerprint(), o.Job.Deadline
	c.mu.Lock()
	goal := c.retries.Goal(fingerprint, o.Job.Goal, deadline)
	o.Job.Earliest = c.retries.Earliest(fingerprint, deadline)
	c.mu.Unlock()
	if waited := o.Job.Goal.Sub(goal); waited > 0 {
		c.log.Info("caller came back", "request", o.Request, "waited", waited.String())
		o.Job.Returned = true
	}
	o.Job.Goal = goal
	results, err := c.runJob(ctx, o)
	if ctx.Err() != nil && err != nil {
		return nil, err // the caller has left; nobody was refused
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.retries.RecordRefusal(fingerprint, goal, deadline, delayOf(err), time.Now())
		return nil, err
	}
	c.retries.Forget(fingerprint)
	return results, nil
}

// delayOf returns the time after which the caller may try again, as a fault tells it.
func delayOf(err error) time.Duration {
	var f *fault.Fault
	if !errors.As(err, &f) {
		return 0
	}
	return f.RetryAfter
}

// runJob has the stages of an order judged, in its turn, and waits for their results.
func (c *Coordinator) runJob(ctx context.Context, o Order) ([]job.Result, error) {
	leave, err := c.gate.Enter(ctx)
	if err != nil {
		return nil, gateFault(err)
	}
	c.setTimes(o)
	await, err := c.batcher.Submit(o.Job)
	leave()
	if err != nil {
		return nil, err
	}
	return await(ctx)
}

// gateFault returns the fault of an order that would be judged too late, and other errors as they are.
func gateFault(err error) error {
	var refusal *gate.Refusal
	if !errors.As(err, &refusal) {
		return err
	}
	f := fault.New(code.Overloaded, "%s", refusal.Error())
	f.RetryAfter = refusal.RetryAfter
	return f
}

// fingerprint returns a hash of what an order asks for. It is the same for all
// attempts of a caller, since it covers neither the order's ids nor its times.
func (o Order) fingerprint() uint64 {
	var b []byte
	write := func(text string, n int) {
		b = append(b, text+"\x00"...)
		b = binary.LittleEndian.AppendUint64(b, uint64(n))
	}
	write(o.Service, o.Job.Priority)
	write(o.Job.Key, len(o.Prompt))
	for _, p := range o.Prompt {
		write(p.ID, p.Tokens)
	}
	for _, n := range o.Job.Pieces {
		write("", n)
	}
	return xxhash.Sum64(b)
}

// chooseEngine returns the handles of the results, and the engine whose cost for
// the request is the lowest. The engine is empty if none is wanted, the service
// has no usable one or there is no catalog yet. While all engines limit their requests it
// waits for the turn of this one.
func (c *Coordinator) chooseEngine(ctx context.Context, o Order, results []job.Result) (Prepared, error) {
	r := Prepared{Handles: handles(results)}
	cat := c.catalog()
	if cat == nil {
		return r, nil
	}
	s := cat.Services[o.Service]
	if s == nil || s.Engine == nil {
		return r, nil
	}
	req := cacheaware.Request{ID: o.ID, Prompt: o.Prompt, Inputs: make(map[string]int64), Tried: make(map[string]bool), Goal: o.Goal.Add(-networkDelay)}
	for _, name := range o.Tried {
		req.Tried[name] = true
	}
	for _, result := range results {
		req.Inputs[result.Centre] += result.Bytes
	}
	choice, permitted, err := c.assign(ctx, o, req, s.Engine.Tokens)
	if err != nil || choice.Engine == nil {
		return r, err
	}
	r.Engine, r.Permitted = choice.Engine.Name(), permitted
	var remoteBytes int64
	for centre, bytes := range req.Inputs {
		if centre != choice.Engine.Centre {
			remoteBytes += bytes
		}
	}
	c.log.Info("engine chosen", "request", o.Request, "engine", choice.Engine.ID, "unread", choice.UncachedTokens, "total", choice.PromptTokens,
		"pending", choice.PendingTokens, "running", choice.Running, "ratio", math.Round(100*choice.Ratio)/100, "first", choice.FirstEvent.Round(time.Millisecond).String(), "cost", int(choice.Cost), "far", remoteBytes, "permitted", permitted)
	return r, nil
}

// setTimes moves the goal and the deadline of an order's job from the first event
// of the request to the end of its stages, and sets the data centre in which their
// results are wanted. Both follow from the engine that would be chosen now.
func (c *Coordinator) setTimes(o Order) {
	firstEvent := defaultFirstEvent
	if cat := c.catalog(); cat != nil && cat.Services[o.Service] != nil && cat.Services[o.Service].Engine != nil {
		req := cacheaware.Request{ID: o.ID, Prompt: o.Prompt, Goal: o.Goal.Add(-networkDelay)}
		now := time.Now()
		choice := c.selector.Preview(req, c.atPace(c.withRoom(c.engines(o), now), o.Tried), now)
		if choice.Engine != nil {
			firstEvent = choice.FirstEvent + choice.Margin + networkDelay
			o.Job.OutputCentre = choice.Engine.Centre
		}
	}
	o.Job.FirstEvent = firstEvent
	o.Job.Goal = o.Job.Goal.Add(-firstEvent)
	o.Job.Deadline = o.Job.Deadline.Add(-firstEvent)
}

// engines returns the engines that may run the request of an order.
func (c *Coordinator) engines(o Order) []*registry.Endpoint {
	all := c.endpoints().AcceptingVersion(o.Service, o.Version)
	if o.Centres == nil {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(e *registry.Endpoint) bool { return !slices.Contains(o.Centres, e.Centre) })
}

func versionFault(o Order) *fault.Fault {
	return fault.New(code.VersionGone, "got no endpoint of service %s with version %s", o.Service, o.Version)
}

func drainedFault(o Order) *fault.Fault {
	f := fault.New(code.NoEndpoint, "all endpoints of service %s are in drained data centres", o.Service)
	f.RetryAfter = drainedRetryAfter
	return f
}

func handles(results []job.Result) []string {
	list := make([]string, len(results))
	for i, r := range results {
		list[i] = r.Handle
	}
	return list
}

// Started reports that the engines of the given orders have sent their first event:
// the results of the stages are no longer needed and are freed.
func (c *Coordinator) Started(ids []string) {
	now := time.Now()
	for _, id := range ids {
		c.batcher.Release(id)
		c.selector.RecordFirstEvent(id, now)
		c.report(c.paces.Answer(id, now))
		c.recordBegun(id, now)
	}
}

// Ended reports that the requests of the given orders have left their engines or
// were given up, and frees what is still held for them.
func (c *Coordinator) Ended(ids []string) {
	now := time.Now()
	for _, id := range ids {
		c.batcher.Release(id)
		c.selector.RecordEnd(id, now)
		c.report(c.paces.End(id, now))
		c.close(id)
	}
}

func (c *Coordinator) sweepEngines(now time.Time) {
	index := c.endpoints()
	known := func(name string) bool { return index.ByName(name) != nil }
	inUse := func(name string) bool { return known(name) && index.ByName(name).AcceptsWork() }
	c.selector.Sweep(known, inUse, now)
}

func (c *Coordinator) logAccuracy() {
	for service, a := range c.selector.Accuracy() {
		c.log.Info("first events predicted", "service", service, "requests", a.Predictions, "error", a.Median.String(), "error95", a.P95.String())
	}
}

// Run runs the stage calls, and regularly removes the state of engines that are no
// longer registered, until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	go contain.Loop(ctx, c.log, "batching of stage work", c.batcher.Run)
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			c.sweepEngines(now)
			c.report(c.paces.Sweep(now))
			c.sweepOrders(now)
			c.logAccuracy()
		case <-ctx.Done():
			return
		}
	}
}
