package forwarder

// This file takes requests from the limits that endpoints have for all instances, and tells
// other instances of these limits.

import (
	"context"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/proxy"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/routing/ratelimit"
	"github.com/jacinthstile/jacinthstile/internal/stage/coordinator"
	"github.com/jacinthstile/jacinthstile/internal/stage/stagepb"
)

const (
	// quickPermit is how long a request waits for the answer about a limit that it need not
	// use, as other endpoints may take it.
	quickPermit    = 50 * time.Millisecond
	maxToldLimits  = 4096             // in one message
	maxPermitWait  = 30 * time.Second // that another instance may ask for
	permitRounding = time.Millisecond // durations are sent in milliseconds
)

// updateShare sets the part of the limits that this instance shares out: as the coordinator, what
// its followers are of the fleet.
func (f *Forwarder) updateShare(now time.Time) {
	share := 0.0
	if !f.followsPeer() {
		share = f.fleet.Share(now)
	}
	f.limits.SetShare(share, now)
	size, _ := f.fleet.Size(now)
	f.brittle.SetInstances(size)
}

// Permit has the coordinator take a request from the limit of one of the endpoints that may
// take it, and returns the name of the endpoint. If a coordinator is lost the next leader is
// asked, and at last this instance itself, which has no part of the limit unless it leads. The
// error is a *fault.Fault or the context's.
func (f *Forwarder) Permit(ctx context.Context, r proxy.PermitParams) (string, error) {
	if r.Latest.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, quickPermit)
		defer cancel()
	}
	call := coordinator.Call{Service: r.Request.Service, Endpoints: r.Endpoints, Rank: r.Request.SchedulingPriority(), Latest: r.Latest}
	for range maxCoordinators {
		leader := f.election.Leader(time.Now())
		if leader == f.self {
			break
		}
		name, err := f.permitRemotely(ctx, f.remoteCoordinator(leader), call)
		if err == nil || !isLost(err) || ctx.Err() != nil {
			return name, err
		}
		f.log.Info("gathering instance lost", "request", r.Request.ID, "leader", leader, "reason", err.Error())
	}
	return f.local.Permit(ctx, call)
}

func (f *Forwarder) permitRemotely(ctx context.Context, c *remoteCoordinator, call coordinator.Call) (string, error) {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	out := new(stagepb.Outcome)
	if err := f.call(ctx, c, method.StagePermit, encodePermit(call, time.Now()), out); err != nil {
		return "", err
	}
	return out.Engine, decodeFault(out)
}

func encodePermit(call coordinator.Call, now time.Time) *stagepb.Permit {
	m := &stagepb.Permit{Service: call.Service, Endpoints: call.Endpoints, Rank: uint32(call.Rank)}
	if !call.Latest.IsZero() {
		m.WaitMs = uint32(max(permitRounding, call.Latest.Sub(now)).Milliseconds())
	}
	return m
}

func decodePermit(in *stagepb.Permit, now time.Time) coordinator.Call {
	call := coordinator.Call{Service: in.Service, Endpoints: in.Endpoints, Rank: int(in.Rank)}
	if in.WaitMs > 0 {
		call.Latest = now.Add(min(maxPermitWait, time.Duration(in.WaitMs)*time.Millisecond))
	}
	return call
}

// encodeLimits returns the message of claims. The age of the end of a limit is raised by more than
// the message takes, so that the receiver does not take it for later than it was: a limit that was
// named again since holds.
func encodeLimits(claims []ratelimit.Claim, now time.Time) []*stagepb.Limit {
	var list []*stagepb.Limit
	for _, c := range claims {
		age := max(0, now.Sub(c.At))
		if !c.Limited {
			age += pollTimeout
		}
		list = append(list, &stagepb.Limit{Endpoint: c.Endpoint, Limited: c.Limited, Rate: c.Rate, AgeMs: uint32(age.Milliseconds())})
	}
	return list
}

func decodeLimits(list []*stagepb.Limit, now time.Time) []ratelimit.Claim {
	claims := make([]ratelimit.Claim, 0, min(len(list), maxToldLimits))
	for _, l := range list[:min(len(list), maxToldLimits)] {
		claims = append(claims, ratelimit.Claim{
			Endpoint: l.Endpoint, Limited: l.Limited, Rate: l.Rate, At: now.Add(-clamp(time.Duration(l.AgeMs) * time.Millisecond)),
		})
	}
	return claims
}
