package notice

// This file records which endpoints are cold, and which ones have to show their pace.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/routing/pace"
	"github.com/jacinthstile/jacinthstile/internal/routing/slowstart"
	"github.com/jacinthstile/jacinthstile/internal/routing/warmup"
)

// ObserveEndpoints records which of the registered endpoints have started or returned, and which
// ones say that they are cold.
func (r *Recorder) ObserveEndpoints(all []*registry.Endpoint) {
	now := time.Now()
	r.starts.Observe(all, now)
	r.logStarts(now)
	r.LogPaces(r.paces.Observe(all, now))
	r.applyWarmUps(r.warmUps.Observe(all, now))
}

// SetServices records the services whose endpoints need a warm-up.
func (r *Recorder) SetServices(services map[string]*catalog.Service) {
	r.paces.SetServices(services, func(s *catalog.Service) bool { return s.WarmUp != nil || r.paceAll && s.Engine != nil })
	r.starts.SetServices(services, func(s *catalog.Service) bool { return s.WarmUp != nil || r.paceAll })
	r.applyWarmUps(r.warmUps.SetServices(services, time.Now()))
}

// EndWarmUps ends the limits of endpoints that are no longer cold, and the slow starts that are over. It is to be called
// a few times a second.
func (r *Recorder) EndWarmUps(now time.Time) {
	r.applyWarmUps(r.warmUps.End(now))
	r.logStarts(now)
}

// logStarts writes which endpoints start slowly, and which ones no longer do.
func (r *Recorder) logStarts(now time.Time) {
	changes := r.starts.Changes(now)
	for _, c := range changes {
		text := "endpoint starts slowly"
		if c.Ended {
			text = "endpoint has started"
		}
		r.log.Info(text, "endpoint", c.Endpoint, "reason", c.Reason.String(), "returns", c.Returns)
	}
	if len(changes) > 0 {
		r.starting.Update(float64(r.starts.Active()))
	}
}

// RecentStarts returns what calls showed a short time ago of endpoints that start slowly.
func (r *Recorder) RecentStarts() []slowstart.Outcome { return r.starts.Recent(time.Now()) }

// LearnStarts records what another instance told of endpoints that start slowly.
func (r *Recorder) LearnStarts(outcomes []slowstart.Outcome) { r.starts.Learn(outcomes, time.Now()) }

func (r *Recorder) applyWarmUps(changes []warmup.Change) {
	for _, c := range changes {
		if c.Cold {
			r.LogPaces(r.paces.Cool(c.Endpoint, time.Now()))
			r.log.Info("endpoint is cold", "endpoint", c.Endpoint, "service", c.Service, "left", c.Left.String(), "rate", c.Rate, "source", c.Source.String())
		} else {
			r.log.Info("endpoint is warm", "endpoint", c.Endpoint, "service", c.Service)
		}
	}
	if len(changes) > 0 {
		r.cold.Update(float64(r.warmUps.Cold()))
	}
}

// LogPaces writes what changed in the pace of endpoints.
func (r *Recorder) LogPaces(changes []pace.Change) {
	for _, c := range changes {
		if c.Recovered {
			r.log.Info("endpoint has shown its pace", "endpoint", c.Endpoint, "window", c.Window, "reason", c.Reason.String(), "returns", c.Returns)
		} else {
			r.log.Info("endpoint has to show its pace", "endpoint", c.Endpoint, "window", c.Window, "reason", c.Reason.String(), "returns", c.Returns)
		}
	}
	if len(changes) > 0 {
		r.paced.Update(float64(r.paces.Limited()))
	}
}
