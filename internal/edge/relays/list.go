// Package relays provides the instances that serve requests for this one while it has no path to
// the endpoints of a service.
//
// Callers pass the time in; the package does no I/O.
package relays

// This file defines List and Relay.

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	lifetime    = 3 * time.Second // for which the instances that the coordinator named are believed
	avoidTime   = time.Second     // for which an instance that failed is avoided
	maxFailures = 256             // failed instances that are remembered
)

// Relay is an instance that serves requests for others.
type Relay struct {
	Address string // at which it does so
	Centre  string // its data centre
}

// List is safe for concurrent use.
type List struct {
	centre string

	mu     sync.Mutex
	known  []Relay
	at     time.Time            // when known was learned
	failed map[string]time.Time // last failure, by address
}

// New returns the empty list of an instance in the given data centre.
func New(centre string) *List { return &List{centre: centre, failed: make(map[string]time.Time)} }

// Learn replaces the list.
func (l *List) Learn(known []Relay, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known, l.at = known, now
}

// Failed records that an instance could not be reached or broke off a response.
func (l *List) Failed(address string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.failed) >= maxFailures {
		clear(l.failed)
	}
	l.failed[address] = now
}

// Pick returns the address of an instance that was not tried for a request and is in a data centre to which the
// request may go, and false if none is known. One of the own data centre is preferred, and one that has not failed lately.
func (l *List) Pick(tried []string, mayGoTo func(centre string) bool, now time.Time) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.at) > lifetime {
		return "", false
	}
	best, rank := "", 0
	for _, i := range rand.Perm(len(l.known)) {
		r := l.known[i]
		if slices.Contains(tried, r.Address) || !mayGoTo(r.Centre) {
			continue
		}
		own := 1
		if r.Centre == l.centre {
			own = 2
		}
		if at, ok := l.failed[r.Address]; !ok || now.Sub(at) > avoidTime {
			own += 2
		}
		if own > rank {
			best, rank = r.Address, own
		}
	}
	return best, rank > 0
}
