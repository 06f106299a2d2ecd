// Package loadgen is an open-loop load generator: it sends requests to running daemons over HTTP at arrival times that
// don't depend on the responses, and measures the results. Latency is measured from the time at which a request was
// due. Thus requests that are delayed while a daemon stalls count with their full delay (no coordinated omission).
package loadgen

// This file defines Generator, which sends the requests of a plan at their arrival times.

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/bench/arrival"
)

const (
	maxIdleConnsPerHost = 1024            // idle connections kept to each daemon, so that requests reuse them
	responseGrace       = 2 * time.Second // after the deadline; a response that takes longer counts as lost
)

// Generator sends the requests of one plan and collects their outcomes.
type Generator struct {
	plan     Plan
	client   *http.Client
	tallies  []*tally      // by step of the plan
	inFlight chan struct{} // holds an element for each request in flight
}

// New checks a plan and returns a generator, and a function that closes its idle connections. The error is that of
// Plan.Check.
func New(p Plan) (*Generator, func(), error) {
	if err := p.Check(); err != nil {
		return nil, nil, err
	}
	t := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}
	g := &Generator{
		plan:     p,
		client:   &http.Client{Transport: t},
		inFlight: make(chan struct{}, p.MaxInFlight),
	}
	var start time.Duration
	for i, s := range p.Steps {
		g.tallies = append(g.tallies, newTally(i, p.offeredRate(start, s)))
		start += s.Length.Duration()
	}
	return g, t.CloseIdleConnections, nil
}

// offeredRate returns the mean rate of step s, bursts included, in requests a second. The step begins at start, counted
// from the start of the run.
func (p Plan) offeredRate(start time.Duration, s Step) float64 {
	length := s.Length.Duration()
	weighted := length.Seconds()
	for _, b := range p.Bursts {
		from := max(start, b.At.Duration())
		to := min(start+length, b.At.Duration()+b.Length.Duration())
		if to > from {
			weighted += (b.Factor - 1) * (to - from).Seconds()
		}
	}
	return s.Rate * weighted / length.Seconds()
}

// Run sends the requests of all steps, waits until all of them have ended and then calls report with the result of each
// step, in order. It returns early with the cause of ctx, or with the first error of report.
func (g *Generator) Run(ctx context.Context, report func(Result) error) error {
	steps, bursts := g.plan.arrivalProcess()
	arrivals := arrival.New(steps, bursts, g.plan.Seed)
	rng := rand.New(rand.NewPCG(g.plan.Seed, 1))
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	for n := 0; ; n++ {
		a, ok := arrivals.Next()
		if !ok {
			break
		}
		q := g.drawRequest(rng, n)
		due := start.Add(a.At)
		if err := sleepUntil(ctx, due); err != nil {
			return err
		}
		g.dispatch(ctx, &wg, g.tallies[a.Step], q, due)
	}
	wg.Wait()
	for _, t := range g.tallies {
		if err := report(t.result()); err != nil {
			return err
		}
	}
	return nil
}

// arrivalProcess returns the steps and bursts of the plan as parameters of the arrival process.
func (p Plan) arrivalProcess() (steps []arrival.Step, bursts []arrival.Burst) {
	for _, s := range p.Steps {
		steps = append(steps, arrival.Step{Rate: s.Rate, Length: s.Length.Duration()})
	}
	for _, b := range p.Bursts {
		bursts = append(bursts, arrival.Burst{At: b.At.Duration(), Length: b.Length.Duration(), Factor: b.Factor})
	}
	return steps, bursts
}

// sleepUntil sleeps until a time, or returns the cause of ctx when ctx ends before.
func sleepUntil(ctx context.Context, at time.Time) error {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// dispatch sends one request in the background, or counts it as skipped if the plan's limit of requests in flight is
// reached.
func (g *Generator) dispatch(ctx context.Context, wg *sync.WaitGroup, t *tally, q requestToSend, due time.Time) {
	select {
	case g.inFlight <- struct{}{}:
	default:
		t.addSkipped()
		return
	}
	wg.Go(func() {
		defer func() { <-g.inFlight }()
		limit := due.Add(g.plan.Deadline.Duration())
		ctx, cancel := context.WithDeadline(ctx, limit.Add(responseGrace))
		defer cancel()
		o := g.send(ctx, q, limit)
		o.elapsed = time.Since(due)
		if !o.firstEvent.IsZero() {
			o.firstEventDelay = o.firstEvent.Sub(due)
		}
		t.addOutcome(o, o.elapsed <= g.plan.Deadline.Duration())
	})
}

// requestToSend is one request to be sent.
type requestToSend struct {
	Request
	url    string // base URL of the daemon
	key    string // bearer key
	number int    // sequence number within the run
}

// drawRequest returns request n: the daemons take turns; the kind and the account are drawn by the weights in the plan.
func (g *Generator) drawRequest(rng *rand.Rand, n int) requestToSend {
	p := &g.plan
	q := requestToSend{url: p.URLs[n%len(p.URLs)], number: n}
	q.Request = p.Mix[pick(rng, p.Mix, func(r Request) float64 { return r.Weight })]
	q.key = p.Accounts[pick(rng, p.Accounts, func(a Account) float64 { return a.Weight })].Key
	return q
}

// pick draws an item with a probability proportional to its weight and returns its index.
func pick[T any](rng *rand.Rand, items []T, weight func(T) float64) int {
	var sum float64
	for _, it := range items {
		sum += weight(it)
	}
	at := rng.Float64() * sum
	for i, it := range items {
		if at -= weight(it); at < 0 {
			return i
		}
	}
	return len(items) - 1
}
