package proxy

// This file keeps streams at the version of the endpoints' software that began them.

import (
	"context"
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/pause"
	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/origin"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

const (
	// maxListAge is how long ago the endpoints must have been confirmed to be current for a bound
	// stream to go on: another process may run under the id of one that left meanwhile.
	maxListAge = 3 * time.Second
	// confirmTimeout is how long a stream whose origin no instance knows waits for the next such
	// confirmation. It covers a watch of the store and a report of it.
	confirmTimeout  = 1800 * time.Millisecond
	confirmInterval = 20 * time.Millisecond // between two looks for a confirmation
	listRetryAfter  = 400 * time.Millisecond
)

// bindToOrigin binds a request that takes up a stream to the software that began it.
func (x *exchange) bindToOrigin(ctx context.Context) error {
	arrived := x.freshness.Now()
	o, ground := x.request.Origin, "told"
	if !o.Known() {
		var recorded bool
		o, recorded = x.preparer.Origin(ctx, origin.Key(x.request.Account, x.request.Resumes))
		switch {
		case recorded && o.Known():
			ground = "recorded"
		case recorded:
			return fault.New(code.StreamUnknown, "the version that began the stream of request %q is in doubt", x.request.Resumes)
		default:
			var err error
			if o, err = x.inferOrigin(ctx, arrived); err != nil {
				return err
			}
			ground = "only version"
		}
	}
	age, _ := x.freshness.Age()
	x.log.Info("stream taken up", "request", x.request.ID, "resumes", x.request.Resumes, "service", o.Service, "version", o.Version,
		"ground", ground, "confirmed", age.String())
	x.bound, x.origin = true, o
	return x.followService()
}

// inferOrigin returns what began a stream that no instance knows, where one version only can have
// done so. The stream began before the request arrived, at the given time of the clock of
// freshness, so the endpoints have to be confirmed later than that.
func (x *exchange) inferOrigin(ctx context.Context, arrived time.Duration) (origin.Origin, error) {
	if ctx.Err() != nil {
		return origin.Origin{}, ctx.Err()
	}
	version, ok := x.versions.Only(x.request.Route, time.Now())
	if ok {
		if err := x.awaitConfirmation(ctx, arrived); err != nil {
			return origin.Origin{}, err
		}
		version, ok = x.versions.Only(x.request.Route, time.Now()) // a registration may have come
	}
	if !ok {
		return origin.Origin{}, fault.New(code.StreamUnknown, "no instance knows what began the stream of request %q", x.request.Resumes)
	}
	return origin.Origin{Service: x.request.Service, Version: version}, nil
}

// awaitConfirmation waits until the endpoints have been confirmed to be current later than at the
// given time of the clock of freshness. The error is a *fault.Fault of class "not run".
func (x *exchange) awaitConfirmation(ctx context.Context, at time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for x.listIsCurrent() {
		if confirmed, _ := x.freshness.ConfirmedAt(); confirmed >= at {
			return nil
		}
		if !pause.For(ctx, confirmInterval) {
			break
		}
	}
	return x.listFault()
}

// listIsCurrent reports whether the endpoints have been confirmed to be current a short time ago.
func (x *exchange) listIsCurrent() bool { return x.freshness.Within(maxListAge) }

// listFault returns the fault of a stream that cannot go on before the endpoints are confirmed.
func (x *exchange) listFault() error {
	age, _ := x.freshness.Age()
	f := fault.New(code.NotReady, "the endpoints were last confirmed %s ago, want %s at most", age, maxListAge)
	f.RetryAfter = listRetryAfter
	return f
}

// followService moves the request to the service that began its stream, if its route still
// leads there: a route may choose among several services.
func (x *exchange) followService() error {
	if x.origin.Service == x.request.Service {
		return nil
	}
	allowed := slices.ContainsFunc(x.request.Route.Targets, func(t catalog.Target) bool { return t.Service == x.origin.Service })
	if !allowed {
		return fault.New(code.VersionGone, "service %s began the stream, and the route no longer leads there", x.origin.Service)
	}
	moved := *x.request
	moved.Service = x.origin.Service
	x.request = &moved
	return nil
}

// recordOrigin records the software that wrote the first event that the caller got. A process
// that was said to have crashed may have been replaced under the same id: its version is not
// known.
func (x *exchange) recordOrigin(e *registry.Endpoint, saidCrashed bool) {
	if !x.bound {
		x.bound, x.began, x.origin = true, e, origin.Origin{Service: e.Service, Version: e.Version}
		if saidCrashed {
			x.origin.Version = ""
		}
	}
	if x.request.Route.Resume && x.sequence.Events() == 0 {
		x.preparer.RecordBegun(origin.Key(x.request.Account, x.request.ID), x.origin)
	}
}

// reviewOrigin records that the version of the stream is in doubt if another process has taken the
// place of the one that began it: it may have done so before the stream began, as a registration comes
// later than its process.
func (x *exchange) reviewOrigin() {
	if x.began == nil || !x.origin.Known() || x.index().ByName(x.began.Name()) != nil {
		return
	}
	next := x.index().ByID(x.began.ID)
	if next == nil || next.Version == x.began.Version && next.Service == x.began.Service {
		return
	}
	x.log.Info("version of a stream in doubt", "request", x.request.ID, "endpoint", x.began.Name(), "version", x.began.Version,
		"process", next.Name(), "now", next.Version)
	x.origin.Version = ""
	if x.request.Route.Resume {
		x.preparer.RecordBegun(origin.Key(x.request.Account, x.request.ID), x.origin)
	}
}

// mayGoOn reports whether the endpoint is in a data centre to which the request may go, and may write the next event
// of the stream: any one if the caller holds none.
func (x *exchange) mayGoOn(e *registry.Endpoint) bool {
	if e != nil && !x.request.MayGoTo(e.Centre) {
		return false
	}
	if !x.bound {
		return true
	}
	return x.listIsCurrent() && x.isOfOrigin(e)
}

// isOfOrigin reports whether the endpoint runs the software that began the stream.
func (x *exchange) isOfOrigin(e *registry.Endpoint) bool {
	return e != nil && x.origin.Known() && e.Version == x.origin.Version && !x.quarantine.HasCrashed(e.Name(), time.Now())
}

// endpoints returns the endpoints that accept work and may serve the request.
func (x *exchange) endpoints() []*registry.Endpoint {
	all := x.index().Accepting(x.request.Service)
	if !x.bound && x.request.Centres == nil {
		return all
	}
	if x.bound && !x.listIsCurrent() {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(all), func(e *registry.Endpoint) bool {
		return !x.request.MayGoTo(e.Centre) || x.bound && !x.isOfOrigin(e)
	})
}

// namesOf returns the names of endpoints.
func namesOf(list []*registry.Endpoint) []string {
	names := make([]string, len(list))
	for i, e := range list {
		names[i] = e.Name()
	}
	return names
}

// noneLeftFault returns the fault of a request that no endpoint may serve: its data centres have none, or none of the
// version that began the stream.
func (x *exchange) noneLeftFault() error {
	if x.bound {
		return x.versionFault()
	}
	if x.mayHaveRun {
		return fault.New(code.AnswerLost, "no other endpoint in the data centres to which the request may go")
	}
	f := fault.New(code.NoEndpoint, "got no endpoint of service %s in the data centres to which the request may go", x.request.Service)
	f.RetryAfter = defaultRetryAfter
	return f
}

// versionFault returns the fault of a stream that no endpoint may go on with.
func (x *exchange) versionFault() error {
	if !x.listIsCurrent() {
		return x.listFault()
	}
	if x.mayHaveRun {
		return fault.New(code.AnswerLost, "no other endpoint has version %q, which began the stream", x.origin.Version)
	}
	return fault.New(code.VersionGone, "got no endpoint of service %s with version %q", x.request.Service, x.origin.Version)
}
