// Package offer decides which of the tables that an instance has heard of it
// fetches next. It has no clock and no sockets of its own.
package offer

// This file defines Set and Offer.

import (
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/table/revision"
)

const (
	firstRetry  = 250 * time.Millisecond
	mostRetry   = 5 * time.Second
	mostOffers  = 8
	mostHolders = 8
	mostRefused = 64
)

// Offer is a table that was heard of.
type Offer struct {
	At      revision.Revision
	Data    []byte   // the manifest; nil where only peers told of the table
	Holders []string // names of peers that have it in force

	next     time.Time // when it may be fetched
	failures int
}

// Set holds the offers after the table in force. It is not safe for concurrent use.
type Set struct {
	offers  []*Offer
	refused []revision.Revision // the oldest first
}

// New returns an empty set.
func New() *Set { return new(Set) }

// Platform notes a manifest that the platform gave, to be fetched at ready.
func (s *Set) Platform(at revision.Revision, data []byte, ready time.Time) {
	o := s.offer(at, ready)
	if o != nil && o.Data == nil {
		o.Data = data
	}
}

// Peer notes that a peer has a table in force. It can be fetched at once,
// unless fetching it has failed.
func (s *Set) Peer(at revision.Revision, name string, now time.Time) {
	o := s.offer(at, now)
	if o == nil {
		return
	}
	if o.failures == 0 && now.Before(o.next) {
		o.next = now
	}
	if len(o.Holders) < mostHolders && !slices.Contains(o.Holders, name) {
		o.Holders = append(o.Holders, name)
	}
}

// Holders returns the peers that hold a table, as far as is known.
func (s *Set) Holders(at revision.Revision) []string {
	for _, o := range s.offers {
		if o.At == at {
			return slices.Clone(o.Holders)
		}
	}
	return nil
}

// offer returns the offer of a table, a new one where there is none. It is nil
// for a table that was refused.
func (s *Set) offer(at revision.Revision, ready time.Time) *Offer {
	if slices.Contains(s.refused, at) {
		return nil
	}
	for _, o := range s.offers {
		if o.At == at {
			return o
		}
	}
	o := &Offer{At: at, next: ready}
	s.offers = append(s.offers, o)
	slices.SortFunc(s.offers, func(a, b *Offer) int { return b.At.Compare(a.At) })
	if len(s.offers) > mostOffers {
		s.offers = s.offers[:mostOffers]
	}
	return o
}

// Best returns the highest offer after inForce that may be fetched now. Where
// there is none, ok is false and wait tells when to ask again, zero for never.
// Offers that are not after inForce are dropped.
func (s *Set) Best(now time.Time, inForce revision.Revision) (best Offer, wait time.Duration, ok bool) {
	s.offers = slices.DeleteFunc(s.offers, func(o *Offer) bool { return !o.At.After(inForce) })
	for _, o := range s.offers {
		if !now.Before(o.next) {
			return o.copied(), 0, true
		}
		if d := o.next.Sub(now); wait == 0 || d < wait {
			wait = d
		}
	}
	return Offer{}, wait, false
}

func (o *Offer) copied() Offer {
	c := *o
	c.Holders = slices.Clone(o.Holders)
	return c
}

// Fresh reports whether an offer after inForce waits that was not tried in vain.
func (s *Set) Fresh(inForce revision.Revision) bool {
	return slices.ContainsFunc(s.offers, func(o *Offer) bool { return o.failures == 0 && o.At.After(inForce) })
}

// Failed puts off an offer that could not be fetched, for longer each time.
// Half to one and a half of the pause is taken, as share says from 0 to 1.
func (s *Set) Failed(at revision.Revision, now time.Time, share float64) {
	for _, o := range s.offers {
		if o.At != at {
			continue
		}
		pause := min(firstRetry<<min(o.failures, 10), mostRetry)
		o.next = now.Add(time.Duration(float64(pause) * (0.5 + share)))
		o.failures++
		o.Holders = nil
	}
}

// Refuse drops an offer for good: it is not fetched again.
func (s *Set) Refuse(at revision.Revision) {
	s.offers = slices.DeleteFunc(s.offers, func(o *Offer) bool { return o.At == at })
	s.refused = append(s.refused, at)
	if len(s.refused) > mostRefused {
		s.refused = s.refused[1:]
	}
}
