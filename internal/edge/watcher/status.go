package watcher

// This file defines Status.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/position"
)

// Status is what an instance knows of the store.
type Status struct {
	Position   position.Position // all changes up to it are applied; zero before the first list
	Version    uint64            // version of the catalog in force; zero for none
	RestoredAt time.Duration     // when the instance saw the store come back from a copy, by its boot clock; zero if it did not
	EraBeganBy time.Duration     // when the era of Position had begun already, by the boot clock; zero if the store never came back
	Drained    []string          // data centres that the store names as drained at Position, or at a later one
}

// shareStatus makes the status available to other goroutines.
func (w *Watcher) shareStatus() {
	began, _ := w.guard.RestoredAt()
	w.status.Store(&Status{Position: w.position, Version: w.version, RestoredAt: w.restoredAt, EraBeganBy: began, Drained: w.drains.Stored()})
}
