// Package load sends an open-loop load to running daemons and measures what
// callers get. Latency counts from the moment at which a request was due, so a
// slow daemon can't slow its own measurement down.
package load

// This file defines Load, which keeps to the plan's arrival times.

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/bench/arrival"
)

const (
	idlePerHost = 1024
	grace       = 2 * time.Second // beyond the deadline, until an answer counts as lost
)

// Load runs one plan.
type Load struct {
	plan   Plan
	client *http.Client
	steps  []*tally
	flight chan struct{}
}

// New checks a plan and returns a load, and a function that closes its connections.
func New(p Plan) (*Load, func(), error) {
	if err := p.Check(); err != nil {
		return nil, nil, err
	}
	t := &http.Transport{MaxIdleConnsPerHost: idlePerHost}
	l := &Load{
		plan:   p,
		client: &http.Client{Transport: t},
		flight: make(chan struct{}, p.Flight),
	}
	var start time.Duration
	for i, s := range p.Steps {
		l.steps = append(l.steps, newTally(i, p.offered(start, s)))
		start += s.Length.Duration()
	}
	return l, t.CloseIdleConnections, nil
}

// offered returns the mean rate of a step, bursts included.
func (p Plan) offered(start time.Duration, s Step) float64 {
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

// Run sends the load and gives a result for each step to report, in order, once
// all requests of the step have ended.
func (l *Load) Run(ctx context.Context, report func(Result) error) error {
	steps, bursts := l.plan.process()
	arrivals := arrival.New(steps, bursts, l.plan.Seed)
	rng := rand.New(rand.NewPCG(l.plan.Seed, 1))
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	for n := 0; ; n++ {
		a, ok := arrivals.Next()
		if !ok {
			break
		}
		q := l.draw(rng, n)
		due := start.Add(a.At)
		if err := sleepUntil(ctx, due); err != nil {
			return err
		}
		l.fire(ctx, &wg, l.steps[a.Step], q, due)
	}
	wg.Wait()
	for _, t := range l.steps {
		if err := report(t.result()); err != nil {
			return err
		}
	}
	return nil
}

func (p Plan) process() (steps []arrival.Step, bursts []arrival.Burst) {
	for _, s := range p.Steps {
		steps = append(steps, arrival.Step{Rate: s.Rate, Length: s.Length.Duration()})
	}
	for _, b := range p.Bursts {
		bursts = append(bursts, arrival.Burst{At: b.At.Duration(), Length: b.Length.Duration(), Factor: b.Factor})
	}
	return steps, bursts
}

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

// fire sends one request in the background, or counts it as skipped where too
// many are in flight.
func (l *Load) fire(ctx context.Context, wg *sync.WaitGroup, t *tally, q query, due time.Time) {
	select {
	case l.flight <- struct{}{}:
	default:
		t.skip()
		return
	}
	wg.Go(func() {
		defer func() { <-l.flight }()
		limit := due.Add(l.plan.Deadline.Duration())
		ctx, cancel := context.WithDeadline(ctx, limit.Add(grace))
		defer cancel()
		o := l.send(ctx, q, limit)
		o.took = time.Since(due)
		if !o.first.IsZero() {
			o.wait = o.first.Sub(due)
		}
		t.add(o, o.took <= l.plan.Deadline.Duration())
	})
}

// query is one request that is to be sent.
type query struct {
	Request
	url    string
	key    string
	number int
}

// draw chooses a request by the shares of the plan.
func (l *Load) draw(rng *rand.Rand, n int) query {
	p := &l.plan
	q := query{url: p.URLs[n%len(p.URLs)], number: n}
	q.Request = p.Mix[pick(rng, p.Mix, func(r Request) float64 { return r.Weight })]
	q.key = p.Accounts[pick(rng, p.Accounts, func(a Account) float64 { return a.Weight })].Key
	return q
}

// pick returns the index of an item, drawn by weight.
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
