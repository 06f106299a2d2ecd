// Package permit shares out the requests that endpoints with a limit take.
//
// It answers a service all of whose endpoints limit the requests of all instances, while more
// come: the requests wait for their turn in order of urgency, and those that would not have it in
// time are rejected at once, with the time to come back after. The coordinator runs the only
// queue, so that an urgent request at one instance goes before a less urgent one at another.
package permit

// This file defines Queue, Request and Refusal.

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/routing/cooldown"
	"github.com/jacinthstile/jacinthstile/internal/routing/ratelimit"
)

const (
	minRetryAfter   = 250 * time.Millisecond // least time after which a rejected caller is told to retry
	recheckInterval = 100 * time.Millisecond // between two looks at limits that may have changed
	maxWaiting      = 1024                   // requests that wait for one service
)

// Request asks for one request to an endpoint of a service.
type Request struct {
	Service   string
	Endpoints []string  // names of the endpoints that may take it
	Rank      int       // scheduling priority; zero is the most urgent
	Latest    time.Time // latest time at which sending it is still useful; zero if it does not wait
}

// Refusal is the error of a request that gets no endpoint in time.
type Refusal struct {
	Wait       time.Duration // predicted time until its turn
	RetryAfter time.Duration // time after which a retry is worthwhile
}

var _ error = (*Refusal)(nil)

// Error returns the predicted wait and the time to retry after.
func (r *Refusal) Error() string {
	return fmt.Sprintf("all endpoints limit their requests: its turn would come in %s; again after %s", r.Wait, r.RetryAfter)
}

// Queue shares out requests. It is safe for concurrent use.
type Queue struct {
	limits *ratelimit.Tracker
	pauses *cooldown.Tracker

	mu       sync.Mutex
	services map[string]*service
}

// service holds the requests that wait for the endpoints of one service.
type service struct {
	waiting  []*waiter // the most urgent first
	reserved int       // requests that will come once their preparation is done
	timer    *time.Timer
}

// waiter is a waiting request. Its channel has a buffer of one element.
type waiter struct {
	Request
	turn chan outcome
}

type outcome struct {
	endpoint string
	refusal  *Refusal
}

// New returns a queue that takes requests from limits, and none for endpoints in a pause.
func New(limits *ratelimit.Tracker, pauses *cooldown.Tracker) *Queue {
	return &Queue{limits: limits, pauses: pauses, services: make(map[string]*service)}
}

// Take takes a request from the limit of one of the endpoints, and returns the name of the
// endpoint. It waits for its turn, unless that would come too late. The error is a *Refusal
// or that of the context.
func (q *Queue) Take(ctx context.Context, r Request) (string, error) {
	w := &waiter{Request: r, turn: make(chan outcome, 1)}
	q.mu.Lock()
	now := time.Now()
	s := q.service(r.Service)
	if refusal := q.join(s, w, now); refusal != nil {
		q.mu.Unlock()
		return "", refusal
	}
	q.serve(s, now)
	q.mu.Unlock()
	select {
	case out := <-w.turn:
		return out.result()
	case <-ctx.Done():
		return "", q.leave(s, w, ctx.Err())
	}
}

func (o outcome) result() (string, error) {
	if o.refusal != nil {
		return "", o.refusal
	}
	return o.endpoint, nil
}

// leave removes a waiter whose context has ended, and returns the error of the context.
func (q *Queue) leave(s *service, w *waiter, err error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	s.waiting = slices.DeleteFunc(s.waiting, func(k *waiter) bool { return k == w })
	return err
}

// Check returns the refusal that Take would return now, or nil.
func (q *Queue) Check(r Request) *Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.service(r.Service)
	return q.refusal(&r, s.ahead(&r)+s.reserved, time.Now())
}

// Reserve counts a request that was admitted and will come later. The returned function ends
// the reservation.
func (q *Queue) Reserve(name string) (release func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.service(name)
	s.reserved++
	return sync.OnceFunc(func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		s.reserved--
	})
}

func (q *Queue) service(name string) *service {
	s := q.services[name]
	if s == nil {
		s = new(service)
		q.services[name] = s
	}
	return s
}

// less orders requests: by rank, then by the latest time.
func less(a, b *Request) bool {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), a.Latest.Compare(b.Latest)) < 0
}

// ahead returns the number of waiting requests that go before r.
func (s *service) ahead(r *Request) int {
	i, _ := slices.BinarySearchFunc(s.waiting, r, func(w *waiter, r *Request) int {
		if less(r, &w.Request) {
			return 1
		}
		return -1
	})
	return i
}

// join adds a waiter, unless its turn would come too late. The caller holds the lock.
func (q *Queue) join(s *service, w *waiter, now time.Time) *Refusal {
	at := s.ahead(&w.Request)
	refusal := q.refusal(&w.Request, at, now)
	if refusal == nil && len(s.waiting) >= maxWaiting {
		refusal = &Refusal{RetryAfter: minRetryAfter}
	}
	if refusal != nil {
		return refusal
	}
	s.waiting = slices.Insert(s.waiting, at, w)
	return nil
}

// refusal returns why a request with a number of others ahead is rejected, or nil. The caller
// holds the lock.
func (q *Queue) refusal(r *Request, ahead int, now time.Time) *Refusal {
	rate, first := 0.0, time.Duration(-1)
	for _, name := range r.Endpoints {
		left, ok := q.left(name, now)
		if !ok {
			continue
		}
		if own, limited := q.limits.Rate(name); !limited {
			return nil // the limit has ended
		} else if rate += own; first < 0 || left < first {
			first = left
		}
	}
	if first < 0 || rate <= 0 {
		return &Refusal{RetryAfter: minRetryAfter}
	}
	wait := first + time.Duration(float64(ahead)/rate*float64(time.Second))
	if until := r.Latest.Sub(now); r.Latest.IsZero() && wait > 0 || !r.Latest.IsZero() && wait > until {
		return &Refusal{Wait: wait, RetryAfter: max(minRetryAfter, wait-max(0, until)/2)}
	}
	return nil
}

// left returns the time until an endpoint takes a request, and false if it does not.
func (q *Queue) left(name string, now time.Time) (time.Duration, bool) {
	left, ok := q.limits.Left(name, now)
	return max(left, q.pauses.Left(name, now)), ok
}

// serve gives the waiting requests their turns, rejects those whose turn would come too late,
// and sets the timer for the next look. The caller holds the lock.
func (q *Queue) serve(s *service, now time.Time) {
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		if name := q.grant(w, now); name != "" {
			w.turn <- outcome{endpoint: name}
		} else if refusal := q.refusal(&w.Request, len(kept), now); refusal != nil {
			w.turn <- outcome{refusal: refusal}
		} else {
			kept = append(kept, w)
		}
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
	if len(kept) == 0 {
		return
	}
	next := recheckInterval
	for _, name := range kept[0].Endpoints {
		if left, ok := q.left(name, now); ok {
			next = min(next, left)
		}
	}
	if s.timer != nil {
		s.timer.Stop()
	}
	s.timer = time.AfterFunc(max(time.Millisecond, next), func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.serve(s, time.Now())
	})
}

// grant takes the request from one of its endpoints, and returns the name of the endpoint;
// empty if none takes it now.
func (q *Queue) grant(w *waiter, now time.Time) string {
	for _, name := range w.Endpoints {
		if q.pauses.Allows(name, cooldown.Usual, now) && q.limits.Take(name, now) {
			return name
		}
	}
	return ""
}
