// Package reach tracks whether this instance has a path to the endpoints of each service.
// After a partition its connections to endpoints are refused or reset, or hang, while callers and
// other instances reach it as before; its requests are then served by other instances.
//
// A failed connection is a suspicion only, as the endpoint may have ended. So is a silence: none of
// the requests at a service has got a byte for some time. A suspicion is checked by connections to
// several endpoints of the service. Callers pass the time in; the package does no I/O apart from
// logging.
package reach

// This file defines Tracker.

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

const (
	// silenceLimit is the time without a byte from the endpoints of a service, while requests wait
	// for them, after which the path is checked.
	silenceLimit = time.Second
	// checkInterval is the least time between two checks of a service.
	checkInterval = 400 * time.Millisecond
	// confirmTime is how long a service is unreachable until that is confirmed: two more checks.
	confirmTime = 2 * checkInterval
	// othersInterval is the least time between two checks of the other services while one cannot be
	// reached.
	othersInterval = time.Second
	// hintInterval is the least time between two checks because another instance cannot reach a
	// service.
	hintInterval = 3 * time.Second
	// returnTime is the time after the end of a cut within which requests return to direct
	// connections, so that not all of them are made at the same moment.
	returnTime = time.Second
)

// Tracker knows the services that this instance cannot reach. It is safe for concurrent use.
type Tracker struct {
	serviceOf func(endpoint string) string
	log       logr.Logger
	wake      chan struct{}

	mu       sync.Mutex
	services map[string]*service
}

// service is what is known of the path to the endpoints of a service.
type service struct {
	waiting   int       // requests that have been sent and have not ended
	heard     time.Time // when a byte last came from an endpoint, or a request was sent while none waited
	suspected bool      // a connection has failed since the last check
	checked   time.Time
	cut       bool
	cutAt     time.Time // when cut was last set
	restored  time.Time // end of the last cut; zero for none
}

// New returns a tracker. serviceOf returns the service of an endpoint by its name; empty for
// unknown ones, which are ignored.
func New(serviceOf func(endpoint string) string, log logr.Logger) *Tracker {
	return &Tracker{serviceOf: serviceOf, log: log, wake: make(chan struct{}, 1), services: make(map[string]*service)}
}

// update calls f with the service of an endpoint.
func (t *Tracker) update(endpoint string, f func(s *service)) {
	name := t.serviceOf(endpoint)
	if name == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		s = new(service)
		t.services[name] = s
	}
	f(s)
}

// Dialed records the result of connecting to an endpoint.
func (t *Tracker) Dialed(endpoint string, err error, now time.Time) {
	t.update(endpoint, func(s *service) {
		if err == nil {
			s.heard = now
			return
		}
		s.suspected = true
		t.notify()
	})
}

// Started records that a request was sent to an endpoint.
func (t *Tracker) Started(endpoint string, now time.Time) {
	t.update(endpoint, func(s *service) {
		if s.waiting == 0 {
			s.heard = now
		}
		s.waiting++
	})
}

// Heard records that bytes came from an endpoint.
func (t *Tracker) Heard(endpoint string, now time.Time) {
	t.update(endpoint, func(s *service) { s.heard = now })
}

// Ended records the end of a request at an endpoint.
func (t *Tracker) Ended(endpoint string) {
	t.update(endpoint, func(s *service) { s.waiting = max(0, s.waiting-1) })
}

// Suspect makes services due for a check, unless they were checked just now.
func (t *Tracker) Suspect(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range names {
		s := t.services[name]
		if s == nil {
			s = new(service)
			t.services[name] = s
		}
		s.suspected = true
	}
	t.notify()
}

// Hint makes services due for a check that other instances cannot reach, unless they were checked not
// long ago: this one may be cut off too, and have no request that shows it.
func (t *Tracker) Hint(names []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range names {
		if s := t.services[name]; s != nil && now.Sub(s.checked) >= hintInterval {
			s.suspected = true
			t.notify()
		}
	}
}

// Wake returns a channel that receives when a suspicion is new.
func (t *Tracker) Wake() <-chan struct{} { return t.wake }

// Due returns the services whose path is to be checked now, and takes them for checked. While one
// cannot be reached, these are also services of known to which this instance has sent nothing yet: as
// the coordinator it would need them.
func (t *Tracker) Due(known []string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	anyCut := false
	for _, s := range t.services {
		anyCut = anyCut || s.cut
	}
	if anyCut {
		for _, name := range known {
			if t.services[name] == nil {
				t.services[name] = new(service)
			}
		}
	}
	var due []string
	for name, s := range t.services {
		silent := s.waiting > 0 && now.Sub(s.heard) >= silenceLimit
		since := now.Sub(s.checked)
		if (s.cut || s.suspected || silent) && since >= checkInterval || anyCut && since >= othersInterval {
			s.checked, s.suspected = now, false
			due = append(due, name)
		}
	}
	return due
}

// Checked records the result of a check: how many endpoints took a connection, of how many. Most
// of them must, as a path to a few of them is of little use.
func (t *Tracker) Checked(name string, reached, tried int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		return
	}
	cut := 2*reached < tried
	if reached > 0 && !cut {
		s.heard = now
	}
	if cut == s.cut {
		return
	}
	s.cut = cut
	if cut {
		s.cutAt = now
		t.checkOthers(s)
	} else {
		s.restored = now
	}
	t.log.Info("path to a service changed", "service", name, "reachable", !cut, "reached", reached, "tried", tried)
}

// checkOthers makes all services but one due for a check: a partition mostly separates from all. The
// caller holds the lock.
func (t *Tracker) checkOthers(than *service) {
	for _, s := range t.services {
		if s != than && !s.cut {
			s.checked = time.Time{}
		}
	}
	t.notify()
}

// notify wakes the receiver of Wake, if it is not awake already.
func (t *Tracker) notify() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// CutOff reports whether a request should be served by another instance. Soon after the end of a
// cut this is so for a part of the requests.
func (t *Tracker) CutOff(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	switch {
	case s == nil:
		return false
	case s.cut:
		return true
	case s.restored.IsZero() || now.Sub(s.restored) >= returnTime:
		return false
	default:
		return rand.Float64() >= float64(now.Sub(s.restored))/float64(returnTime)
	}
}

// IsPartitioned reports whether this instance cannot reach several services. If it is only one, its
// endpoints may have ended, as a request may crash all of a small service.
func (t *Tracker) IsPartitioned() bool { return len(t.Unreachable()) > 1 }

// Unreachable returns the services that this instance cannot reach, sorted.
func (t *Tracker) Unreachable() []string {
	return t.unreachable(func(*service) bool { return true })
}

// ConfirmedUnreachable returns those of Unreachable for which several checks in a row said so. A single check
// tries few endpoints, which may all have ended.
func (t *Tracker) ConfirmedUnreachable(now time.Time) []string {
	return t.unreachable(func(s *service) bool { return now.Sub(s.cutAt) >= confirmTime })
}

func (t *Tracker) unreachable(counts func(*service) bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, s := range t.services {
		if s.cut && counts(s) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
