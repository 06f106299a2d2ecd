package proxy

// This file keeps streams at the version of the endpoints' software that began them.

import (
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/origin"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// bindToOrigin binds a request that takes up a stream to the software that began it. If no
// instance knows that, the request can go on only if its service has run one version.
func (x *exchange) bindToOrigin() error {
	o, ok := x.preparer.Origin(x.waiting, origin.Key(x.request.Account, x.request.Resumes))
	if !ok {
		if x.waiting.Err() != nil {
			return x.waiting.Err()
		}
		version, only := x.versions.Only(x.request.Service, time.Now())
		if !only {
			return fault.New(code.StreamUnknown, "no instance knows what began the stream of request %q", x.request.Resumes)
		}
		o = origin.Origin{Service: x.request.Service, Version: version}
	}
	x.log.Info("stream taken up", "request", x.request.ID, "resumes", x.request.Resumes, "service", o.Service, "version", o.Version, "recorded", ok)
	x.bound, x.origin = true, o
	if err := x.followService(); err != nil {
		return err
	}
	if len(x.endpoints()) == 0 {
		return x.versionFault()
	}
	return nil
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
		x.bound, x.origin = true, origin.Origin{Service: e.Service, Version: e.Version}
		if saidCrashed {
			x.origin.Version = ""
		}
	}
	if x.request.Route.Resume && x.stream.events == 0 {
		x.preparer.RecordBegun(origin.Key(x.request.Account, x.request.ID), x.origin)
	}
}

// mayGoOn reports whether the endpoint may write the next event of the stream: any one if the
// caller holds none.
func (x *exchange) mayGoOn(e *registry.Endpoint) bool {
	if !x.bound {
		return true
	}
	return e != nil && x.origin.Known() && e.Version == x.origin.Version && !x.quarantine.HasCrashed(e.Name(), time.Now())
}

// endpoints returns the endpoints that accept work and may serve the request.
func (x *exchange) endpoints() []*registry.Endpoint {
	all := x.index().Accepting(x.request.Service)
	if !x.bound {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(e *registry.Endpoint) bool { return !x.mayGoOn(e) })
}

// namesOf returns the names of endpoints.
func namesOf(list []*registry.Endpoint) []string {
	names := make([]string, len(list))
	for i, e := range list {
		names[i] = e.Name()
	}
	return names
}

// versionFault returns the fault of a stream that no endpoint may go on with.
func (x *exchange) versionFault() error {
	if x.mayHaveRun {
		return fault.New(code.AnswerLost, "no other endpoint has version %q, which began the stream", x.origin.Version)
	}
	return fault.New(code.VersionGone, "got no endpoint of service %s with version %q", x.request.Service, x.origin.Version)
}
