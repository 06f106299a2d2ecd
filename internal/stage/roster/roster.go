// Package roster keeps what the instances that follow this one say of their paths to endpoints.
// No instance has a list of all others; the coordinator, which all of them poll, names some that
// can serve the requests of one that is cut off.
//
// Callers pass the time in; the package does no I/O.
package roster

// This file defines Roster.

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/relays"
)

const (
	// timeout is the time after its last poll at which an instance is no longer named: three
	// poll intervals.
	timeout = 900 * time.Millisecond
	// numNamed is how many instances are named in one answer. It spreads the load of many that
	// are cut off, as each is named others.
	numNamed = 8
)

// Roster is safe for concurrent use.
type Roster struct {
	mu        sync.Mutex
	instances map[string]instance // by address of the relay
	pruned    time.Time
}

type instance struct {
	relay       relays.Relay
	unreachable []string // services that it cannot reach
	seen        time.Time
}

// New returns an empty roster.
func New() *Roster { return &Roster{instances: make(map[string]instance)} }

// Record records what an instance said in a poll. One without an address serves no requests for
// others.
func (r *Roster) Record(relay relays.Relay, unreachable []string, now time.Time) {
	if relay.Address == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances[relay.Address] = instance{relay: relay, unreachable: unreachable, seen: now}
	if now.Sub(r.pruned) > timeout {
		r.pruned = now
		maps.DeleteFunc(r.instances, func(_ string, i instance) bool { return now.Sub(i.seen) > timeout })
	}
}

// Doubtful returns the services that some instances cannot reach, sorted.
func (r *Roster) Doubtful(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for _, i := range r.instances {
		if now.Sub(i.seen) <= timeout {
			names = append(names, i.unreachable...)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Name returns some instances that reach all of the given services, for an instance in the given
// data centre: those in its own one first.
func (r *Roster) Name(asking relays.Relay, services []string, now time.Time) []relays.Relay {
	r.mu.Lock()
	defer r.mu.Unlock()
	var near, far []relays.Relay
	for _, i := range r.instances {
		cut := slices.ContainsFunc(services, func(s string) bool { return slices.Contains(i.unreachable, s) })
		switch {
		case cut || i.relay.Address == asking.Address || now.Sub(i.seen) > timeout:
		case i.relay.Centre == asking.Centre:
			near = append(near, i.relay)
		default:
			far = append(far, i.relay)
		}
	}
	for _, list := range [][]relays.Relay{near, far} {
		rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	}
	return append(near[:min(len(near), numNamed)], far[:min(len(far), numNamed/2)]...)
}
