// Package registry keeps the endpoints that are registered in the platform's
// metadata store and their states. It answers outages of the store: registrations
// that expire while endpoints cannot renew them don't remove these endpoints from
// service. It also answers a store that comes back from a copy some seconds old: an
// endpoint that left is not used again because the copy still has it, and one that
// registered after the copy stays in use while it can register again. Endpoints of drained
// data centres accept no new work. Callers pass the time in; the package does no I/O.
package registry

// This file defines Registry and how registrations change it.

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// ReregisterTimeout is the time after an outage of the store during which an endpoint
// whose registration is missing is still assumed to be alive. The platform promises that
// live endpoints register again within about 2 s.
const ReregisterTimeout = 2200 * time.Millisecond

// missedHeartbeats is the number of renewals that an endpoint must fail to make before its registration expires.
const missedHeartbeats = 3

// Registry holds the registered endpoints and calls a function with all of them
// after each change. It is safe for concurrent use.
type Registry struct {
	heartbeat time.Duration // interval at which endpoints renew their registrations

	mu          sync.Mutex
	endpoints   map[string]*Endpoint // by id; values are immutable
	lapsed      map[string]time.Time // when the registration of a lapsed endpoint went missing, by id
	unreachable bool                 // whether the store is unreachable
	reachedAt   time.Time            // end of the last outage in which registrations may have expired; zero if there was none
	departed    departures
	hidden      map[string]Endpoint // registrations in a copy of the store that had been removed, by id
	drained     map[string]bool     // drained data centres
	onChange    func([]*Endpoint)
	held        bool // whether calls of onChange are delayed
	pending     bool // whether a delayed call is due
}

// New returns an empty registry of endpoints that renew their registrations at the interval
// heartbeat; if it is zero, registrations may expire in any outage. It calls onChange with
// all endpoints, sorted by id, after each change, or once at the release of Hold. It holds
// a lock during the call, so onChange must not call methods of the registry.
func New(heartbeat time.Duration, onChange func([]*Endpoint)) *Registry {
	return &Registry{
		heartbeat: heartbeat,
		endpoints: make(map[string]*Endpoint), lapsed: make(map[string]time.Time), departed: newDepartures(),
		hidden: make(map[string]Endpoint), onChange: onChange,
	}
}

// Hold delays the call of onChange until release is called, which then makes one
// call for all changes. The cost of a call grows with the number of endpoints, so
// one call for each of thousands of simultaneous changes would be too slow.
func (r *Registry) Hold() (release func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = true
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.held = false
		if r.pending {
			r.publish()
		}
	}
}

// Put adds or replaces a registration. A process that said that it leaves stays
// Draining, whatever its registration says.
func (r *Registry) Put(e Endpoint, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.departed.removed, e.Name())
	r.put(e, now)
	r.publish()
}

func (r *Registry) put(e Endpoint, now time.Time) {
	delete(r.lapsed, e.ID)
	delete(r.hidden, e.ID)
	e.name = ""
	e.name = e.Name()
	e.Drained = r.drained[e.Centre]
	if e.State == Draining {
		r.departed.markLeaving(e.Name(), now)
	} else if r.departed.isLeaving(&e) {
		e.State = Draining
	}
	r.endpoints[e.ID] = &e
}

// MarkLeaving records that the process with this Endpoint.Name said that it leaves:
// it is Draining from now on. It reports whether that was not known yet.
func (r *Registry) MarkLeaving(name string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isNew := r.departed.markLeaving(name, now)
	for id, e := range r.endpoints {
		if e.Name() == name && e.State != Draining {
			leaving := *e
			leaving.State = Draining
			r.endpoints[id] = &leaving
			r.publish()
		}
	}
	return isNew
}

// SetDrained replaces the drained data centres, whose endpoints accept no new work.
func (r *Registry) SetDrained(centres []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drained = make(map[string]bool, len(centres))
	for _, centre := range centres {
		r.drained[centre] = true
	}
	changed := false
	for id, e := range r.endpoints {
		if e.Drained != r.drained[e.Centre] {
			other := *e
			other.Drained = !e.Drained
			r.endpoints[id] = &other
			changed = true
		}
	}
	if changed {
		r.publish()
	}
}

// Remove records that a registration is missing, and reports whether the endpoint
// was removed. While the store is unreachable, and for ReregisterTimeout after an
// outage in which registrations may have expired, an endpoint that was not draining
// is kept as Lapsed instead.
func (r *Registry) Remove(id string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.endpoints[id]
	gone := r.remove(id, now)
	if known {
		r.publish()
	}
	return gone
}

func (r *Registry) remove(id string, now time.Time) bool {
	delete(r.hidden, id)
	e, known := r.endpoints[id]
	if !known {
		return true
	}
	if e.State == Draining || !r.settling(now) {
		r.drop(id, now)
		return true
	}
	if _, ok := r.lapsed[id]; !ok {
		r.lapsed[id] = now
		lapsed := *e
		lapsed.State = Lapsed
		r.endpoints[id] = &lapsed
	}
	return false
}

// drop removes an endpoint and its lapse, and remembers that it was removed.
func (r *Registry) drop(id string, now time.Time) {
	r.departed.removed[r.endpoints[id].Name()] = now
	delete(r.endpoints, id)
	delete(r.lapsed, id)
}

// Sync replaces all registrations by a complete list. Endpoints that are not in
// the list are treated as by Remove.
func (r *Registry) Sync(list []Endpoint, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sync(list, now)
}

// SyncRestored replaces all registrations by a complete list of a store that came back
// from a copy. The copy may lack registrations and still have some that were removed:
// an endpoint that is missing is kept as after an outage, and one that was removed
// stays so until it registers again, or until its registration in the copy has not
// expired for removalRetention. A registration of an earlier process than the known
// one counts as missing.
func (r *Registry) SyncRestored(list []Endpoint, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reachedAt = now
	var believed, hidden []Endpoint
	for _, e := range list {
		known := r.endpoints[e.ID]
		switch {
		case known != nil && e.StartTime < known.StartTime:
		case r.departed.wasRemoved(e.Name(), now):
			hidden = append(hidden, e)
		default:
			believed = append(believed, e)
		}
	}
	r.sync(believed, now)
	for _, e := range hidden {
		r.hidden[e.ID] = e
	}
}

func (r *Registry) sync(list []Endpoint, now time.Time) {
	present := make(map[string]bool, len(list))
	for _, e := range list {
		present[e.ID] = true
		r.put(e, now)
	}
	clear(r.hidden)
	for id := range r.endpoints {
		if !present[id] {
			r.remove(id, now)
		}
	}
	r.publish()
}

// SetUnreachable records that the store is unreachable. No endpoint expires until it is reachable.
func (r *Registry) SetUnreachable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachable = true
}

// SetReachable records that the store is reachable again after an outage of at most the given
// time: it answered some instance before and after it. It reports whether registrations may
// have expired in the outage. A failed call alone is no reason to assume that, as the store
// may cut a watch or limit the rate of calls at any time.
func (r *Registry) SetReachable(outage time.Duration, now time.Time) (mayHaveExpired bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.unreachable {
		return false
	}
	r.unreachable = false
	if outage < (missedHeartbeats-1)*r.heartbeat {
		return false
	}
	r.reachedAt = now
	return true
}

// UntilExpiry returns the time until RemoveExpired is to be called, and false if no endpoint
// is Lapsed or the store is unreachable.
func (r *Registry) UntilExpiry(now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lapsed) == 0 || r.unreachable {
		return 0, false
	}
	return max(0, r.reachedAt.Add(ReregisterTimeout).Sub(now)), true
}

// RemoveExpired removes the lapsed endpoints that did not register again within
// ReregisterTimeout after the end of an outage, and returns their ids. It also makes
// the endpoints available whose registration in a restored store has not expired.
func (r *Registry) RemoveExpired(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.departed.prune(now)
	r.revealHidden(now)
	if len(r.lapsed) == 0 || r.settling(now) {
		return nil
	}
	gone := slices.Sorted(maps.Keys(r.lapsed))
	for _, id := range gone {
		r.drop(id, now)
	}
	r.publish()
	return gone
}

func (r *Registry) revealHidden(now time.Time) {
	for id, e := range r.hidden {
		if !r.departed.wasRemoved(e.Name(), now) {
			r.put(r.hidden[id], now)
			r.publish()
		}
	}
}

// settling reports whether a missing registration may be due to an outage of the
// store.
func (r *Registry) settling(now time.Time) bool {
	return r.unreachable || !r.reachedAt.IsZero() && now.Sub(r.reachedAt) < ReregisterTimeout
}

// publish calls onChange with the endpoints, sorted by id.
func (r *Registry) publish() {
	if r.held {
		r.pending = true
		return
	}
	r.pending = false
	all := slices.Collect(maps.Values(r.endpoints))
	slices.SortFunc(all, func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
	r.onChange(all)
}
