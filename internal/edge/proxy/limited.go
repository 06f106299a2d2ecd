package proxy

// This file gets leases on endpoints that limit the requests of all instances.

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/flow/dispatcher"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// limitedEndpoints returns the names of the endpoints of the service that limit the requests
// of all instances and have not been tried.
func (x *exchange) limitedEndpoints() []string {
	if !x.limits.Any() {
		return nil
	}
	return x.limits.LimitedAmong(x.endpoints(), x.tried)
}

// acquireLimited gets a lease where some endpoints of the service have limits. Other endpoints
// come first, apart from a request now and then that shows whether a limit has ended. If none of
// them can take the request now, an endpoint with a limit does.
func (x *exchange) acquireLimited(ctx context.Context, call dispatcher.Call, limited []string) (*dispatcher.Lease, error) {
	now := time.Now()
	if slices.ContainsFunc(limited, func(name string) bool { return x.limits.TrialDue(name, now) }) {
		if lease, err := x.acquirePermitted(ctx, call, limited, time.Time{}); err == nil {
			return lease, nil
		}
	}
	others := call
	others.NoWait, others.Query.AllowTried = true, false
	lease, err := x.dispatcher.Acquire(ctx, others)
	if err == nil {
		return lease, nil
	}
	var refusal *dispatcher.Refusal
	if errors.As(err, &refusal) && refusal.Busy {
		if lease, err := x.acquirePermitted(ctx, call, limited, time.Time{}); err == nil {
			return lease, nil
		}
		return x.dispatcher.Acquire(ctx, call)
	}
	lease, limitErr := x.acquirePermitted(ctx, call, limited, call.LatestStart)
	if limitErr == nil || len(x.tried) == 0 {
		return lease, limitErr
	}
	if lease, err := x.dispatcher.Acquire(ctx, call); err == nil {
		return lease, nil
	}
	return nil, limitErr
}

// acquirePermitted gets a lease on one of the limited endpoints, from whose limit the coordinator
// took the request. It waits until the latest time for that; a zero time means that it does not.
func (x *exchange) acquirePermitted(ctx context.Context, call dispatcher.Call, limited []string, latest time.Time) (*dispatcher.Lease, error) {
	name, err := x.preparer.Permit(ctx, PermitParams{Request: x.request, Endpoints: limited, Latest: latest})
	if err != nil {
		return nil, err
	}
	lease := x.dispatcher.AcquireNamed(call, name, true)
	if lease == nil {
		f := fault.New(code.NoEndpoint, "endpoint %s, which the coordinator chose, may get no new work", name)
		f.RetryAfter = defaultRetryAfter
		return nil, f
	}
	return lease, nil
}
