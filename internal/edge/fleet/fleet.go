// Package fleet keeps what is believed of the endpoints that register with the
// platform: which are ready, which leave, and which have only fallen silent
// while the platform was out of reach. It has no clock and does no input or
// output.
package fleet

// This file defines Fleet and how registrations change it.

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Settle is how long after the platform's return a missing registration is
// still taken for a lapse. The platform promises that live endpoints are back
// within about two seconds.
const Settle = 2200 * time.Millisecond

// Fleet is safe for concurrent use.
type Fleet struct {
	mu       sync.Mutex
	members  map[string]*Endpoint // by id; values are frozen
	missing  map[string]time.Time // ids whose registration lapsed, and since when
	outage   bool
	returned time.Time // when the platform was last reached again; zero for never
	changed  func([]*Endpoint)
	held     bool // whether changes are handed out later
	dirty    bool // whether there are such changes
}

// New returns an empty fleet. The function is called with all endpoints after
// each change that is not held; it must not call back.
func New(changed func([]*Endpoint)) *Fleet {
	return &Fleet{members: make(map[string]*Endpoint), missing: make(map[string]time.Time), changed: changed}
}

// Hold keeps changes back until release, which hands them out at once. Handing
// out takes time for all endpoints, which thousands of changes that come together
// would each take.
func (f *Fleet) Hold() (release func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = true
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.held = false
		if f.dirty {
			f.publish()
		}
	}
}

// Put records a registration.
func (f *Fleet) Put(e Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.put(e)
	f.publish()
}

func (f *Fleet) put(e Endpoint) {
	delete(f.missing, e.ID)
	f.members[e.ID] = &e
}

// Remove records that a registration is gone, and reports whether the endpoint
// is taken for gone. While the platform is out of reach, and shortly after, it
// may merely have lapsed.
func (f *Fleet) Remove(id string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	gone := f.remove(id, now)
	f.publish()
	return gone
}

func (f *Fleet) remove(id string, now time.Time) bool {
	e, known := f.members[id]
	if !known {
		return true
	}
	if e.State == Draining || !f.unsettled(now) {
		delete(f.members, id)
		delete(f.missing, id)
		return true
	}
	if _, ok := f.missing[id]; !ok {
		f.missing[id] = now
		lapsed := *e
		lapsed.State = Lapsed
		f.members[id] = &lapsed
	}
	return false
}

// Sync replaces all registrations by a complete list.
func (f *Fleet) Sync(list []Endpoint, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	present := make(map[string]bool, len(list))
	for _, e := range list {
		present[e.ID] = true
		f.put(e)
	}
	for id := range f.members {
		if !present[id] {
			f.remove(id, now)
		}
	}
	f.publish()
}

// Lose records that the platform is out of reach.
func (f *Fleet) Lose() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage = true
}

// Regain records that the platform answers again.
func (f *Fleet) Regain(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outage {
		f.outage = false
		f.returned = now
	}
}

// Tick drops the endpoints that did not come back, and returns their ids.
func (f *Fleet) Tick(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.missing) == 0 || f.unsettled(now) {
		return nil
	}
	gone := slices.Sorted(maps.Keys(f.missing))
	for _, id := range gone {
		delete(f.members, id)
	}
	clear(f.missing)
	f.publish()
	return gone
}

func (f *Fleet) unsettled(now time.Time) bool {
	return f.outage || !f.returned.IsZero() && now.Sub(f.returned) < Settle
}

// publish hands out the endpoints in a fixed order.
func (f *Fleet) publish() {
	if f.held {
		f.dirty = true
		return
	}
	f.dirty = false
	all := slices.Collect(maps.Values(f.members))
	slices.SortFunc(all, func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
	f.changed(all)
}
