package batcher

// This file rejects jobs with pieces that no endpoint may execute.

import (
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
)

// noEndpointRetryAfter is for a refusal because no endpoint is left, which lasts for an unknown time.
const noEndpointRetryAfter = time.Second

// rejectUnserved rejects the jobs with pieces that no endpoint may execute, as data centres are drained.
func (b *Batcher) rejectUnserved() {
	for _, service := range b.endpoints().Drained() {
		for _, e := range b.jobs {
			if b.scheduler.Needs(e.job, service) {
				b.abort(e, noEndpointFault(service))
			}
		}
	}
	for _, e := range b.jobs {
		if service, ok := b.unserved(e.job); ok {
			b.abort(e, noEndpointFault(service))
		}
	}
}

// unserved returns a service whose endpoints in the data centres to which a job is restricted accept no work, although the
// job has pieces for it that no call has taken.
func (b *Batcher) unserved(j *job.Job) (service string, ok bool) {
	if j.Centres == nil {
		return "", false
	}
	for _, s := range j.Stages {
		mayExecute := func(e *registry.Endpoint) bool { return j.MayGoTo(e.Centre) }
		if b.scheduler.Needs(j, s.Service) && !slices.ContainsFunc(b.endpoints().Accepting(s.Service), mayExecute) {
			return s.Service, true
		}
	}
	return "", false
}

func noEndpointFault(service string) *fault.Fault {
	refusal := fault.New(code.NoEndpoint, "no endpoint of service %s is left in the data centres that may be used", service)
	refusal.RetryAfter = noEndpointRetryAfter
	return refusal
}
