package coordinator

// This file chooses among endpoints that limit the requests of all instances.

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/permit"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/routing/cacheaware"
)

// lateShare is the share of the time until the deadline for which a request waits that has
// missed its goal.
const lateShare = 0.25

// Call is a request to a plain service.
type Call struct {
	Service   string
	Endpoints []string  // names of the endpoints that may take it
	Rank      int       // scheduling priority; zero is the most urgent
	Latest    time.Time // latest time at which sending it is still useful; zero if it does not wait
}

// Permit takes a call from the limit of one of its endpoints, and returns the name of the
// endpoint. One whose limit has ended, as far as this instance knows, takes it at once. The
// error is a *fault.Fault or that of the context.
func (c *Coordinator) Permit(ctx context.Context, call Call) (string, error) {
	var names []string
	for _, e := range c.endpoints().Accepting(call.Service) {
		if slices.Contains(call.Endpoints, e.Name()) {
			names = append(names, e.Name())
		}
	}
	name, err := c.permits.Take(ctx, permit.Request{Service: call.Service, Endpoints: names, Rank: call.Rank, Latest: call.Latest})
	return name, limitFault(err)
}

// limitFault returns the fault of a request that got no turn, and other errors as they are.
func limitFault(err error) error {
	var refusal *permit.Refusal
	if !errors.As(err, &refusal) {
		return err
	}
	f := fault.New(code.Overloaded, "%s", refusal.Error())
	f.RetryAfter = refusal.RetryAfter
	return f
}

// withRoom returns the endpoints that have no limit, or whose limit has room for a request.
func (c *Coordinator) withRoom(list []*registry.Endpoint, now time.Time) []*registry.Endpoint {
	if !c.limits.Any() {
		return list
	}
	var free []*registry.Endpoint
	for _, e := range list {
		if left, ok := c.limits.Left(e.Name(), now); ok && left == 0 {
			free = append(free, e)
		}
	}
	return free
}

// reserve counts a request whose stages have to run first against the limits of its engines, if
// all of them have one, or returns the fault of a request whose turn would come too late.
func (c *Coordinator) reserve(o Order, now time.Time) (release func(), err error) {
	release = func() {}
	if o.Job == nil || !c.limits.Any() {
		return release, nil
	}
	engines := c.engines(o)
	names := c.limits.LimitedAmong(engines, nil)
	if len(names) == 0 || len(names) < len(engines) {
		return release, nil
	}
	if refusal := c.permits.Check(permit.Request{Service: o.Service, Endpoints: names, Rank: o.Rank, Latest: o.latestSend(now)}); refusal != nil {
		return release, limitFault(refusal)
	}
	return c.permits.Reserve(o.Service), nil
}

// latestSend returns the latest time at which sending the request is still useful.
func (o Order) latestSend(now time.Time) time.Time {
	if latest := o.Goal.Add(-defaultFirstEvent); latest.After(now) {
		return latest
	}
	return now.Add(time.Duration(lateShare * float64(o.Deadline.Sub(now))))
}

// assign chooses the engine of a request and takes the request from its limit, if it has one.
// It waits for the request's turn if no engine has room for it.
func (c *Coordinator) assign(ctx context.Context, o Order, req cacheaware.Request, capacity int) (choice cacheaware.Choice, permitted bool, err error) {
	engines := c.engines(o)
	if o.Version != "" && len(engines) == 0 {
		return choice, false, versionFault(o) // the last one left while the stages ran
	}
	for {
		now := time.Now()
		free := c.withRoom(engines, now)
		if len(free) == 0 && len(engines) > 0 {
			break
		}
		choice = c.selector.Assign(req, c.atPace(free, o.Tried), capacity, now)
		limited := choice.Engine != nil && c.limits.Limited(choice.Engine.Name())
		if !limited || c.limits.Take(choice.Engine.Name(), now) {
			c.recordSent(o.ID, choice, now)
			return choice, limited, nil
		}
	}
	now := time.Now()
	names := c.limits.LimitedAmong(engines, o.Tried)
	if len(names) == 0 {
		names = c.limits.LimitedAmong(engines, nil)
	}
	name, err := c.permits.Take(ctx, permit.Request{Service: o.Service, Endpoints: names, Rank: o.Rank, Latest: o.latestSend(now)})
	if err != nil {
		c.selector.RecordEnd(o.ID, time.Now())
		return cacheaware.Choice{}, false, limitFault(err)
	}
	i := slices.IndexFunc(engines, func(e *registry.Endpoint) bool { return e.Name() == name })
	now = time.Now()
	choice = c.selector.Assign(req, engines[i:i+1], capacity, now)
	c.recordSent(o.ID, choice, now)
	return choice, true, nil
}
