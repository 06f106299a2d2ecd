// Package exporter collects a daemon's metrics and shows them in the text form
// that scrapers of the field read.
package exporter

// This file defines Exporter.

import (
	"fmt"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// flushEvery is how often collected values become visible.
const flushEvery = 2 * time.Second

const prefix = "jacinthstile"

// Exporter holds the root scope of one daemon.
type Exporter struct {
	scope    tally.Scope
	reporter prometheus.Reporter
}

// New returns an exporter and a function that ends its collection.
func New(log logr.Logger) (*Exporter, func(), error) {
	registry := prom.NewRegistry()
	if err := registry.Register(collectors.NewGoCollector()); err != nil {
		return nil, nil, fmt.Errorf("registering runtime metrics: %w", err)
	}
	if err := registry.Register(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})); err != nil {
		return nil, nil, fmt.Errorf("registering process metrics: %w", err)
	}
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:      registry,
		OnRegisterError: func(err error) { log.Error(err, "metric refused") },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, flushEvery)
	return &Exporter{scope: scope, reporter: reporter}, func() { closer.Close() }, nil
}

// Scope returns the root scope. Tags must have few values: stages, codes and
// kinds, never accounts, endpoints or requests.
func (e *Exporter) Scope() tally.Scope { return e.scope }

// Handler serves the metrics.
func (e *Exporter) Handler() http.Handler { return e.reporter.HTTPHandler() }
