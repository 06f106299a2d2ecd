// Package brittle tracks endpoints that fall over if they have to reject more than a number of
// requests a second for want of room, of all instances together.
//
// The endpoints of a service are brittle at the same time. Two rules keep the sum below the number. An instance has no more
// requests there than its part of the endpoint's slots, so that few are sent beyond what has room. And
// after a rejection it sends none for as long as the fleet needs to stay below the number if each
// instance does the same; to endpoints that have rejected none of its requests, not for a random part of
// that, as the others that were rejected turn to them too.
//
// Callers pass the time in; the package does no I/O.
package brittle

// This file defines Tracker.

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	minRate   = 0.1              // least number of rejections a second that is taken seriously
	maxJitter = 0.3              // greatest random addition to a pause, as a share of it
	memory    = 30 * time.Second // after which a service whose endpoints have not answered is forgotten
)

// Tracker knows the services with brittle endpoints. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	instances int
	services  map[string]*service
}

// service is a service whose endpoints are brittle, also those that have not said so yet.
type service struct {
	rate   float64 // rejections a second that an endpoint bears
	slots  int     // of an endpoint
	at     time.Time
	paused map[string]time.Time // until when endpoints get no requests, by name
	pause  time.Duration        // the last one; zero before the first rejection
}

// New returns a tracker for a single instance.
func New() *Tracker { return &Tracker{instances: 1, services: make(map[string]*service)} }

// SetInstances sets how many instances share the endpoints.
func (t *Tracker) SetInstances(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instances = max(1, n)
}

// Record records that the endpoints of a service, with a number of slots each, bear a number of
// rejections a second. It reports whether that is new.
func (t *Tracker) Record(name string, rate float64, slots int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(name, now)
	isNew := s == nil
	if isNew {
		s = &service{paused: make(map[string]time.Time)}
		t.services[name] = s
	}
	s.rate, s.slots, s.at = max(minRate, rate), slots, now
	return isNew
}

// Forget records that an endpoint of the service has answered and is not brittle. It reports whether
// they were.
func (t *Tracker) Forget(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.services[name]
	delete(t.services, name)
	return known
}

// get returns a service with brittle endpoints; nil for others. The caller holds the lock.
func (t *Tracker) get(name string, now time.Time) *service {
	s := t.services[name]
	if s != nil && now.Sub(s.at) > memory {
		delete(t.services, name)
		return nil
	}
	return s
}

// HasRoom reports whether this instance may send one more request to an endpoint of the service, at
// which it has a number of them.
func (t *Tracker) HasRoom(name, endpoint string, inFlight int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(name, now)
	if s == nil {
		return true
	}
	until, known := s.paused[endpoint]
	if !known && s.pause > 0 {
		until = now.Add(time.Duration(rand.Float64() * float64(s.pause)))
		s.paused[endpoint] = until
	}
	return !now.Before(until) && inFlight < max(1, int(math.Ceil(float64(s.slots)/float64(t.instances))))
}

// Reject records that an endpoint rejected a request for want of room, and returns for how long it
// gets none from this instance; zero if it is not brittle. The number of senders is that of the
// instances that send to it; zero for all.
func (t *Tracker) Reject(name, endpoint string, senders int, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(name, now)
	if s == nil {
		return 0
	}
	if senders == 0 {
		senders = t.instances
	}
	pause := time.Duration(float64(senders) / s.rate * (1 + maxJitter*rand.Float64()) * float64(time.Second))
	s.paused[endpoint], s.pause = now.Add(pause), pause
	return pause
}
