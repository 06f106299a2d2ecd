// Package fleet keeps the endpoints that are registered in the platform's metadata
// store and their states. It answers outages of the store: registrations that
// expire while endpoints cannot renew them don't remove these endpoints from
// service. Callers pass the time in; the package does no I/O.
package fleet

// This file defines Fleet and how registrations change it.

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Settle is how long after the store is reachable again an endpoint with a missing
// registration is still assumed to be alive. The platform promises that live
// endpoints register again within about 2 s.
const Settle = 2200 * time.Millisecond

// Fleet holds the registered endpoints and calls a function with all of them
// after each change. It is safe for concurrent use.
type Fleet struct {
	mu          sync.Mutex
	endpoints   map[string]*Endpoint // by id; values are immutable
	lapsed      map[string]time.Time // when the registration of a lapsed endpoint went missing, by id
	unreachable bool                 // whether the store is unreachable
	reachedAt   time.Time            // end of the last outage of the store; zero if there was none
	onChange    func([]*Endpoint)
	held        bool // whether calls of onChange are delayed
	pending     bool // whether a delayed call is due
}

// New returns an empty fleet. It calls onChange with all endpoints, sorted by id,
// after each change, or once at the release of Hold. It holds a lock during the
// call, so onChange must not call methods of the fleet.
func New(onChange func([]*Endpoint)) *Fleet {
	return &Fleet{endpoints: make(map[string]*Endpoint), lapsed: make(map[string]time.Time), onChange: onChange}
}

// Hold delays the call of onChange until release is called, which then makes one
// call for all changes. The cost of a call grows with the number of endpoints, so
// one call for each of thousands of simultaneous changes would be too slow.
func (f *Fleet) Hold() (release func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = true
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.held = false
		if f.pending {
			f.publish()
		}
	}
}

// Put adds or replaces a registration.
func (f *Fleet) Put(e Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.put(e)
	f.publish()
}

func (f *Fleet) put(e Endpoint) {
	delete(f.lapsed, e.ID)
	f.endpoints[e.ID] = &e
}

// Remove records that a registration is missing, and reports whether the endpoint
// was removed. While the store is unreachable, and until Settle after that, an
// endpoint that was not draining is kept as Lapsed instead.
func (f *Fleet) Remove(id string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	gone := f.remove(id, now)
	f.publish()
	return gone
}

func (f *Fleet) remove(id string, now time.Time) bool {
	e, known := f.endpoints[id]
	if !known {
		return true
	}
	if e.State == Draining || !f.settling(now) {
		delete(f.endpoints, id)
		delete(f.lapsed, id)
		return true
	}
	if _, ok := f.lapsed[id]; !ok {
		f.lapsed[id] = now
		lapsed := *e
		lapsed.State = Lapsed
		f.endpoints[id] = &lapsed
	}
	return false
}

// Sync replaces all registrations by a complete list. Endpoints that are not in
// the list are treated as by Remove.
func (f *Fleet) Sync(list []Endpoint, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	present := make(map[string]bool, len(list))
	for _, e := range list {
		present[e.ID] = true
		f.put(e)
	}
	for id := range f.endpoints {
		if !present[id] {
			f.remove(id, now)
		}
	}
	f.publish()
}

// Lose records that the store is unreachable.
func (f *Fleet) Lose() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable = true
}

// Regain records that the store is reachable again.
func (f *Fleet) Regain(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable {
		f.unreachable = false
		f.reachedAt = now
	}
}

// Tick removes the lapsed endpoints that did not register again within Settle after
// the end of an outage, and returns their ids.
func (f *Fleet) Tick(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.lapsed) == 0 || f.settling(now) {
		return nil
	}
	gone := slices.Sorted(maps.Keys(f.lapsed))
	for _, id := range gone {
		delete(f.endpoints, id)
	}
	clear(f.lapsed)
	f.publish()
	return gone
}

// settling reports whether a missing registration may be due to an outage of the
// store.
func (f *Fleet) settling(now time.Time) bool {
	return f.unreachable || !f.reachedAt.IsZero() && now.Sub(f.reachedAt) < Settle
}

// publish calls onChange with the endpoints, sorted by id.
func (f *Fleet) publish() {
	if f.held {
		f.pending = true
		return
	}
	f.pending = false
	all := slices.Collect(maps.Values(f.endpoints))
	slices.SortFunc(all, func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
	f.onChange(all)
}
