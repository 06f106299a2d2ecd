// Package drain tracks which data centres are drained: their endpoints get no new work until the
// platform takes that back. It answers an operator who needs a data centre empty within seconds, also
// while the store cannot be read, has dropped its history, or came back from a copy that lacks the wish.
//
// Callers pass the time in; the package does no I/O.
package drain

// This file defines Tracker.

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/change"
	"github.com/jacinthstile/jacinthstile/internal/edge/position"
)

const (
	// lostRetention is how long a data centre stays drained that a restored store does not name:
	// the copy may be older than the wish. The store would never tell that it was taken back.
	lostRetention = 30 * time.Second
	maxCentres    = 256 // further ones are ignored
)

// Tracker knows the drained data centres as of a position of the store. It is not safe for
// concurrent use.
type Tracker struct {
	at     position.Position
	stored map[string]bool      // those that the store names
	lost   map[string]time.Time // those that a restored store no longer names, and until when they are kept
}

// New returns a tracker that knows no drained data centre.
func New() *Tracker { return &Tracker{stored: make(map[string]bool), lost: make(map[string]time.Time)} }

// Follow applies changes of the store that lead to a position. Changes of other kinds are skipped, as
// are those that the tracker knows already.
func (t *Tracker) Follow(list []change.Change, to position.Position) {
	if to.Compare(t.at) <= 0 {
		return
	}
	t.at = to
	for _, c := range list {
		t.apply(c)
	}
}

// List replaces what is known by a complete list of the store that holds all changes up to a position.
func (t *Tracker) List(list []change.Change, at position.Position, now time.Time) {
	if at.Before(t.at) {
		return
	}
	before, restored := t.stored, at.Era > t.at.Era
	t.at, t.stored = at, make(map[string]bool)
	for _, c := range list {
		t.apply(c)
	}
	if !restored {
		return
	}
	for centre := range before {
		if !t.stored[centre] {
			t.lost[centre] = now.Add(lostRetention)
		}
	}
}

// Learn takes over what another instance knew at a position. Of a newer era it only takes further
// drained data centres, since the other instance may know less of what the store has lost.
func (t *Tracker) Learn(centres []string, at position.Position) {
	if at.Before(t.at) {
		return
	}
	if at.Era == t.at.Era {
		t.at, t.stored = at, make(map[string]bool)
	}
	for _, centre := range centres {
		t.add(centre)
	}
}

func (t *Tracker) apply(c change.Change) {
	switch c := c.(type) {
	case change.Drained:
		t.add(c.Centre)
	case change.Undrained:
		delete(t.stored, c.Centre)
		delete(t.lost, c.Centre)
	}
}

func (t *Tracker) add(centre string) {
	if len(t.stored) < maxCentres {
		t.stored[centre] = true
		delete(t.lost, centre)
	}
}

// Expire forgets the data centres that a restored store has not named for lostRetention.
func (t *Tracker) Expire(now time.Time) {
	maps.DeleteFunc(t.lost, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// Stored returns the data centres that the store names as drained, sorted.
func (t *Tracker) Stored() []string { return slices.Sorted(maps.Keys(t.stored)) }

// Centres returns all drained data centres, sorted: also those that a restored store has lost.
func (t *Tracker) Centres() []string {
	all := maps.Clone(t.stored)
	for centre := range t.lost {
		all[centre] = true
	}
	return slices.Sorted(maps.Keys(all))
}
