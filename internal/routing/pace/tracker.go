// Package pace finds how many requests an endpoint may get that has just started or come back.
//
// It answers bursts in which such an endpoint, which has nothing to do, is the best choice for every
// request: one that is slow at first, or does not work yet, gets them all before its first answer.
// The number of its requests without an answer is limited, from a part of its slots on; each answer
// raises that by one, answers that take much longer than its own fastest ones and failures halve it. An endpoint
// that has answered for a time without getting slower has recovered. Endpoints at their limit are
// left out only while others can take a request.
//
// Callers pass the time in; the package does no I/O.
package pace

// This file defines Tracker.

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
)

const (
	// A request that ends without an answer after overdueFactor times the time that its answer should
	// have taken, and minOverdue at least, counts as failed by its endpoint.
	overdueFactor = 4.0
	minOverdue    = time.Second
	// crowdedFactor is how many times as many unanswered requests as all endpoints in the mean others may have
	// before caution ends.
	crowdedFactor = 2.0
	maxRequestAge = 30 * time.Second // of a request without an answer; the end of an older one was not reported
)

// Tracker keeps the pace of the endpoints of the services that ask for it. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	services  map[string]bool
	observed  bool                 // Observe was called with endpoints
	endpoints map[string]*endpoint // by Endpoint.Name
	returns   map[string]*returns  // by Endpoint.ID, as a flapping endpoint may have another process each time
	requests  map[string]request   // without an answer, by id
}

// request is a request without an answer.
type request struct {
	endpoint string
	sent     time.Time
	expected time.Duration // time to its answer
}

// New returns a tracker of no service.
func New() *Tracker {
	return &Tracker{services: make(map[string]bool), endpoints: make(map[string]*endpoint), returns: make(map[string]*returns), requests: make(map[string]request)}
}

// SetServices sets the services whose endpoints have to show their pace, of which asked says whether they do.
func (t *Tracker) SetServices(services map[string]*catalog.Service, asked func(*catalog.Service) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.services)
	for name, s := range services {
		if asked(s) {
			t.services[name] = true
		}
	}
}

// Observe records the endpoints that are registered now. Those that start, or accept work again, have
// to show their pace, but for the ones that this instance finds when it starts itself.
func (t *Tracker) Observe(all []*registry.Endpoint, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	present, ids := make(map[string]bool, len(all)), make(map[string]bool, len(all))
	for _, e := range all {
		if !t.services[e.Service] {
			continue
		}
		name := e.Name()
		present[name], ids[e.ID] = true, true
		p := t.endpoints[name]
		switch {
		case p == nil:
			p = &endpoint{slots: e.Slots, absent: !e.AcceptsWork(), returns: t.returnsOf(e.ID)}
			t.endpoints[name] = p
			if t.observed && !p.absent {
				changes = append(changes, t.begin(name, p, Started, now))
			}
		case p.absent && e.AcceptsWork():
			p.absent = false
			changes = append(changes, t.begin(name, p, Returned, now))
		default:
			p.absent = !e.AcceptsWork()
		}
	}
	for name := range t.endpoints {
		if !present[name] {
			delete(t.endpoints, name)
		}
	}
	maps.DeleteFunc(t.returns, func(id string, r *returns) bool { return !ids[id] && r.before(now.Add(-flapWindow)) })
	t.observed = t.observed || len(present) > 0
	return changes
}

// returnsOf returns the returns of an endpoint. The caller holds the lock.
func (t *Tracker) returnsOf(id string) *returns {
	r := t.returns[id]
	if r == nil {
		r = new(returns)
		t.returns[id] = r
	}
	return r
}

// Cool makes an endpoint show its pace that got cold.
func (t *Tracker) Cool(name string, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.endpoints[name]
	if p == nil || p.limited {
		return nil
	}
	return []Change{t.begin(name, p, Cold, now)}
}

// Fail records that an endpoint failed a request.
func (t *Tracker) Fail(name string, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fail(name, now)
}

// fail is Fail for callers that hold the lock.
func (t *Tracker) fail(name string, now time.Time) []Change {
	p := t.endpoints[name]
	switch {
	case p == nil:
		return nil
	case p.limited:
		p.failed(now)
		return nil
	default:
		return []Change{t.begin(name, p, Failed, now)}
	}
}

// begin is endpoint.begin for callers that hold the lock.
func (t *Tracker) begin(name string, p *endpoint, reason Reason, now time.Time) Change {
	p.begin(reason, now)
	return Change{Endpoint: name, Reason: reason, Window: p.window, Returns: p.returns.number()}
}

// Free returns the endpoints that may get one more request. It returns all of them if none may, or if
// those that may have far more unanswered requests than the others, so that caution starves no endpoint and no caller.
func (t *Tracker) Free(list []*registry.Endpoint) []*registry.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.endpoints) == 0 || !slices.ContainsFunc(list, func(e *registry.Endpoint) bool { return t.endpoints[e.Name()].full() }) {
		return list
	}
	free := make([]*registry.Endpoint, 0, len(list))
	ofFree, ofAll := 0, 0 // unanswered requests
	for _, e := range list {
		p := t.endpoints[e.Name()]
		ofAll += p.numUnanswered()
		if !p.full() {
			free = append(free, e)
			ofFree += p.numUnanswered()
		}
	}
	mean := float64(ofAll) / float64(len(list))
	if float64(ofFree) >= (1+crowdedFactor*mean)*float64(len(free)) {
		return list
	}
	return free
}

// Sent records that a request is sent to an endpoint, and when its answer should begin. One that was
// sent before, under the same id, is replaced.
func (t *Tracker) Sent(id, name string, expected time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end(id)
	if p := t.endpoints[name]; p != nil {
		p.unanswered++
		t.requests[id] = request{endpoint: name, sent: now, expected: expected}
	}
}

// Answer records that the answer to a request has begun, and returns what that changes.
func (t *Tracker) Answer(id string, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.end(id)
	if !ok {
		return nil
	}
	p := t.endpoints[r.endpoint]
	if p == nil || !p.limited {
		return nil
	}
	p.answered(now.Sub(r.sent).Seconds()/max(r.expected, time.Millisecond).Seconds(), r.sent, now)
	if !p.recovered(now) {
		return nil
	}
	return []Change{t.recover(r.endpoint, p)}
}

// End records that a request has ended, and returns what that changes. One that ends long after its answer
// should have begun counts as failed. It ignores requests that are not known.
func (t *Tracker) End(id string, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.end(id)
	if !ok {
		return nil
	}
	if now.Sub(r.sent) < max(minOverdue, time.Duration(overdueFactor*float64(r.expected))) {
		return nil
	}
	return t.fail(r.endpoint, now)
}

// end removes a request and returns it, if it is known. The caller holds the lock.
func (t *Tracker) end(id string) (r request, known bool) {
	if r, known = t.requests[id]; !known {
		return request{}, false
	}
	delete(t.requests, id)
	if p := t.endpoints[r.endpoint]; p != nil {
		p.unanswered--
	}
	return r, true
}

// Sweep ends the requests whose end was not reported, and the caution about endpoints that have failed
// nothing for long; it returns what that changes. An instance that doesn't choose endpoints sees no answers, and
// may choose them later.
func (t *Tracker) Sweep(now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.requests {
		if now.Sub(r.sent) > maxRequestAge {
			t.end(id)
		}
	}
	var changes []Change
	for name, p := range t.endpoints {
		if p.limited && now.Sub(p.since) >= maxTime {
			changes = append(changes, t.recover(name, p))
		}
	}
	return changes
}

// recover ends the caution about an endpoint. The caller holds the lock.
func (t *Tracker) recover(name string, p *endpoint) Change {
	p.limited = false
	return Change{Endpoint: name, Recovered: true, Reason: p.reason, Window: p.window, Returns: p.returns.number()}
}

// Limited returns the number of endpoints that have not shown their pace.
func (t *Tracker) Limited() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.endpoints {
		if p.limited {
			n++
		}
	}
	return n
}
