package runner

// This file moves a stream off an engine whose leaving date is near.

import (
	"context"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/table/sheet"
)

// move ends the attempt that feeds, once, when its engine has to be empty soon,
// so that the next attempt goes on elsewhere. The engine's KV cache is exported
// before; without it the next engine reads the prompt again.
func (s *stage) move(ctx context.Context, now time.Time) {
	if s.moved != "" || s.stage.Once || s.pending != 1 || s.attempts >= mostAttempts {
		return
	}
	attempt, name := s.stream.source()
	table := s.tables.Current()
	if attempt == 0 || !leavesSoon(table, name, now) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exportWait)
	defer cancel()
	handle, err := s.client.ExportKV(ctx, table.Endpoint(name).Address, s.job.ID, s.stage.Name)
	if err != nil {
		s.log.Info("no export", "request", s.job.ID, "stage", s.stage.Name, "endpoint", name, "error", err.Error())
	}
	s.moved, s.handle = name, handle
	s.count("moves", s.stage.Name)
	s.log.Info("moving", "request", s.job.ID, "stage", s.stage.Name, "endpoint", name, "imported", handle != "")
	s.cancels[attempt-1]()
}

// leavesSoon reports whether an endpoint has to be empty within moveAhead.
func leavesSoon(table *sheet.Sheet, name string, now time.Time) bool {
	e := table.Endpoint(name)
	if e == nil {
		return false
	}
	if e.Leave != nil && e.Leave.Sub(now) < moveAhead {
		return true
	}
	c := table.Centre(e.Centre)
	return c != nil && c.Leave != nil && c.Leave.Sub(now) < moveAhead
}
