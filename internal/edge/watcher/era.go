package watcher

// This file handles a store that comes back from a copy: when the store is listed
// again, and which answers confirm the configuration afterwards.

import (
	"context"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/peerstatus"
	"github.com/jacinthstile/jacinthstile/internal/edge/position"
	"github.com/jacinthstile/jacinthstile/internal/edge/restore"
)

// checkEra requires a new list if an answer of the store, or a report of another
// instance since the last list, shows a newer era than that of the applied changes.
func (w *Watcher) checkEra() {
	if !w.listed {
		return
	}
	seen, reported := w.source.NewestEra(), w.peer.Fleet().Era
	if reported <= w.reportedEra {
		reported = 0 // the store has been listed since
	}
	if newest := max(seen, reported); newest > w.position.Era {
		w.log.Info("store came back from a copy, listing again", "position", w.position.String(), "era", newest, "answered", seen, "reported", reported)
		w.listed = false
	}
}

// setRestored records that the store came back from a copy.
func (w *Watcher) setRestored(at position.Position) {
	w.restoredAt = w.freshness.Now()
	w.setBegan(w.restoredAt)
	w.restores.Inc(1)
	age, _ := w.freshness.Age()
	w.log.Info("store restored from a copy", "position", at.String(), "before", w.position.String(), "version", w.version, "proof", age.String())
}

// setBegan records that the era of the store began at the given time at the latest.
func (w *Watcher) setBegan(at time.Duration) {
	w.guard.Restored(at)
	w.freshness.Expect(w.guard.ProvesFrom())
}

// awaitPeers waits until another instance has told what it knows, at most for
// peerTimeout, and returns what all of them know.
func (w *Watcher) awaitPeers(ctx context.Context) peerstatus.Known {
	timer := time.NewTimer(peerTimeout)
	defer timer.Stop()
	select {
	case <-w.peer.Heard():
	case <-timer.C:
	case <-ctx.Done():
	}
	return w.peer.Fleet()
}

// confirm records that the configuration was the newest one at the given time of the
// clock, if an answer of the store or a report proves it. newest is the newest version
// of the catalog that any instance was known to have in force when the store was asked.
func (w *Watcher) confirm(at time.Duration, newest uint64) {
	fleet := w.peer.Fleet()
	if fleet.Era == w.position.Era && fleet.EraBeganBy > 0 && w.guard.BeganBy(fleet.EraBeganBy) {
		w.freshness.Expect(w.guard.ProvesFrom())
	}
	verdict := w.guard.Judge(at, w.version, newest)
	switch verdict {
	case restore.Proven:
		w.freshness.Confirm(at)
	case restore.TooEarly:
	case restore.VersionLost:
		w.freshness.Reset()
	default:
		panic("watcher: got verdict " + verdict.String())
	}
	if verdict != w.verdict {
		if verdict == restore.VersionLost {
			w.lost.Inc(1)
		}
		w.log.Info("what the store proves has changed", "verdict", verdict.String(), "before", w.verdict.String(),
			"position", w.position.String(), "version", w.version, "newest", newest)
		w.verdict = verdict
	}
}
