// Package exporter collects the metrics of a daemon and serves them in the
// Prometheus text format.
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

// flushInterval is the interval at which collected values are passed to the handler.
const flushInterval = 2 * time.Second

const prefix = "jacinthstile"

// Exporter holds the metrics of one daemon. It is safe for concurrent use.
type Exporter struct {
	scope    tally.Scope
	reporter prometheus.Reporter
}

// New returns an exporter and a function that stops it.
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
		OnRegisterError: func(err error) { log.Error(err, "registering a metric failed; it is not exported") },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, flushInterval)
	return &Exporter{scope: scope, reporter: reporter}, func() { closer.Close() }, nil
}

// Scope returns the root scope. Each combination of tag values is a separate time
// series, so tags must have few values, such as stages, result codes and kinds of
// path, and must not contain accounts, endpoints or requests.
func (e *Exporter) Scope() tally.Scope { return e.scope }

// Handler returns the handler that serves the metrics.
func (e *Exporter) Handler() http.Handler { return e.reporter.HTTPHandler() }
