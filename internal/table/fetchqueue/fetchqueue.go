// Package fetchqueue provides the queue of table versions that an instance has yet to
// fetch. It decides which one is fetched next: the newest whose delay or retry
// back-off has passed. It does no I/O and no locking, and gets the time from its
// caller.
package fetchqueue

// This file defines Queue and Entry.

import (
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/table/revision"
)

const (
	minRetryPause = 250 * time.Millisecond
	maxRetryPause = 5 * time.Second
	maxEntries    = 8  // beyond this the oldest versions are dropped
	maxPeers      = 8  // peers that are remembered for one entry
	maxRefused    = 64 // refused tables that are remembered
)

// Entry is a table that the platform or a peer has announced.
type Entry struct {
	Revision revision.Revision
	Manifest []byte   // the manifest; nil if only peers announced the table
	Peers    []string // names of peers that have the table in force

	notBefore time.Time // time from which the table may be fetched
	failures  int       // number of failed fetches
}

// Queue holds the tables to fetch, newest first. It is not safe for concurrent use.
type Queue struct {
	entries []*Entry
	refused []revision.Revision // in the order in which they were refused
}

// New returns an empty queue.
func New() *Queue { return new(Queue) }

// AddFromPlatform adds a table whose manifest came from the platform. It may be
// fetched from the time ready on. If the table is queued already, only its manifest
// is added. A refused table is ignored.
func (q *Queue) AddFromPlatform(at revision.Revision, data []byte, ready time.Time) {
	e := q.entry(at, ready)
	if e != nil && e.Manifest == nil {
		e.Manifest = data
	}
}

// AddFromPeer records that the named peer has a table in force. The table may be
// fetched immediately, unless a fetch has failed and its back-off has not passed.
// A refused table is ignored.
func (q *Queue) AddFromPeer(at revision.Revision, name string, now time.Time) {
	e := q.entry(at, now)
	if e == nil {
		return
	}
	if e.failures == 0 && now.Before(e.notBefore) {
		e.notBefore = now
	}
	if len(e.Peers) < maxPeers && !slices.Contains(e.Peers, name) {
		e.Peers = append(e.Peers, name)
	}
}

// PeersOf returns the peers known to have a table, or nil if it is not queued.
func (q *Queue) PeersOf(at revision.Revision) []string {
	for _, e := range q.entries {
		if e.Revision == at {
			return slices.Clone(e.Peers)
		}
	}
	return nil
}

// entry returns the entry of a table, and adds one that may be fetched from ready
// on if there is none. It returns nil for a refused table.
func (q *Queue) entry(at revision.Revision, ready time.Time) *Entry {
	if slices.Contains(q.refused, at) {
		return nil
	}
	for _, e := range q.entries {
		if e.Revision == at {
			return e
		}
	}
	e := &Entry{Revision: at, notBefore: ready}
	q.entries = append(q.entries, e)
	slices.SortFunc(q.entries, func(a, b *Entry) int { return b.Revision.Compare(a.Revision) })
	if len(q.entries) > maxEntries {
		q.entries = q.entries[:maxEntries]
	}
	return e
}

// Next returns a copy of the newest entry after inForce that may be fetched now.
// If there is none, ok is false and wait is the time until one may be fetched, or
// zero if the queue is empty. Entries that are not after inForce are dropped.
func (q *Queue) Next(now time.Time, inForce revision.Revision) (best Entry, wait time.Duration, ok bool) {
	q.entries = slices.DeleteFunc(q.entries, func(e *Entry) bool { return !e.Revision.After(inForce) })
	for _, e := range q.entries {
		if !now.Before(e.notBefore) {
			return e.clone(), 0, true
		}
		if d := e.notBefore.Sub(now); wait == 0 || d < wait {
			wait = d
		}
	}
	return Entry{}, wait, false
}

// clone returns a copy that shares no peers with e.
func (e *Entry) clone() Entry {
	c := *e
	c.Peers = slices.Clone(e.Peers)
	return c
}

// HasUntried reports whether the queue has an entry after inForce with no failed fetch.
func (q *Queue) HasUntried(inForce revision.Revision) bool {
	return slices.ContainsFunc(q.entries, func(e *Entry) bool { return e.failures == 0 && e.Revision.After(inForce) })
}

// RecordFailure records a failed fetch and delays the next one by a pause that
// doubles with each failure, up to maxRetryPause. The pause is multiplied by a
// jitter of 0.5 + share, where share is from 0 to 1. The peers of the entry are
// forgotten, since the fetch from them failed too.
func (q *Queue) RecordFailure(at revision.Revision, now time.Time, share float64) {
	for _, e := range q.entries {
		if e.Revision != at {
			continue
		}
		pause := min(minRetryPause<<min(e.failures, 10), maxRetryPause)
		e.notBefore = now.Add(time.Duration(float64(pause) * (0.5 + share)))
		e.failures++
		e.Peers = nil
	}
}

// Refuse drops a table and ignores later announcements of it.
func (q *Queue) Refuse(at revision.Revision) {
	q.entries = slices.DeleteFunc(q.entries, func(e *Entry) bool { return e.Revision == at })
	q.refused = append(q.refused, at)
	if len(q.refused) > maxRefused {
		q.refused = q.refused[1:]
	}
}
