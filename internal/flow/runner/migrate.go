package runner

// This file migrates a stream away from an engine whose leaving date is near.

import (
	"context"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

// migrate moves the stream to another engine if its engine leaves soon, at most once for
// each stage. It exports the engine's KV cache and cancels the attempt, so that the next
// attempt continues the stream elsewhere. If the export fails, the next engine has to
// compute the prompt again.
func (s *stageRun) migrate(ctx context.Context, now time.Time) {
	if s.migratedFrom != "" || s.stage.NonIdempotent || s.pending != 1 || s.attempts >= maxAttempts {
		return
	}
	attempt, name := s.stream.currentSource()
	table := s.tables.Current()
	if attempt == 0 || !leavesSoon(table, name, now) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	handle, err := s.client.ExportKV(ctx, table.Endpoint(name).Address, s.job.ID, s.stage.Name)
	if err != nil {
		s.log.Info("exporting the KV cache failed; the next engine computes the prompt again", "request", s.job.ID, "stage", s.stage.Name, "endpoint", name, "error", err.Error())
	}
	s.migratedFrom, s.kvHandle = name, handle
	s.count("moves", s.stage.Name)
	s.log.Info("migrating the stream away from an engine that leaves soon", "request", s.job.ID, "stage", s.stage.Name, "endpoint", name, "imported", handle != "")
	s.cancels[attempt-1]()
}

// leavesSoon reports whether an endpoint or its data centre leaves within migrateAhead.
func leavesSoon(table *fleettable.Table, name string, now time.Time) bool {
	e := table.Endpoint(name)
	if e == nil {
		return false
	}
	if e.Leave != nil && e.Leave.Sub(now) < migrateAhead {
		return true
	}
	c := table.Centre(e.Centre)
	return c != nil && c.Leave != nil && c.Leave.Sub(now) < migrateAhead
}
