// Package election decides which instance gathers the stage work of all. It
// answers stage calls that cost the same whether they hold one piece or many:
// one queue for all instances fills them, many small queues do not.
//
// Nothing is agreed on. Each instance follows the best candidate that it
// reaches itself, all by the same order, so that they mostly follow the same
// one. Where two gather at once, or none for a second, calls are less full and
// some pieces are made twice. An Election has no clock and does no input or
// output.
package election

// This file defines Election and Candidate.

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// Silence is the time without an answer after which a candidate is not followed.
	Silence = 900 * time.Millisecond
	// standby is the same for one that is not followed yet: it is asked less often.
	standby = 2500 * time.Millisecond
	// stale is the time without any news after which a candidate is forgotten.
	stale = 5 * time.Second
	// Most is how many candidates instances tell each other of.
	Most = 4
)

// Candidate is an instance that could gather.
type Candidate struct {
	Address string
	Power   int       // thousandths of a core
	Since   int64     // start of its process, by its own clock, in milliseconds of the Unix epoch
	Leads   int64     // when it began to gather for others, likewise; zero while it does not
	Fit     bool      // whether it says that it can gather
	Doubt   bool      // whether it says that others may be better placed
	Heard   time.Time // when anybody last heard it
}

type record struct {
	Candidate
	answered time.Time // when it last answered this instance; zero for never
	failed   bool      // whether the last question to it failed
}

// Election is what one instance knows of the candidates. It is safe for
// concurrent use.
type Election struct {
	seeds []string

	mu     sync.Mutex
	self   Candidate
	leader string // that was returned last
	known  map[string]*record
}

// New returns an election for an instance that knows the addresses of some others.
func New(self Candidate, seeds []string) *Election {
	return &Election{self: self, seeds: seeds, known: make(map[string]*record)}
}

// SetState sets whether this instance can gather for others, and whether
// others may be better placed, which matters only where some are.
func (e *Election) SetState(fit, doubt bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.self.Fit, e.self.Doubt = fit, doubt
}

// Answered records what a candidate said of itself and of others.
func (e *Election) Answered(address string, list []Candidate, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.learn(list)
	if r := e.known[address]; r != nil {
		r.answered, r.failed = now, false
	}
}

// Heard records what an instance said that asked this one.
func (e *Election) Heard(list []Candidate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.learn(list)
}

func (e *Election) learn(list []Candidate) {
	for _, c := range list {
		if c.Address == e.self.Address || c.Address == "" {
			continue
		}
		r := e.known[c.Address]
		if r == nil {
			r = new(record)
			e.known[c.Address] = r
		}
		if c.Heard.After(r.Heard) {
			r.Candidate = c
		}
	}
}

// Failed records that a candidate did not answer.
func (e *Election) Failed(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.known[address]; r != nil {
		r.failed = true
	}
}

// Leader returns the address of the instance to follow, which may be this one.
func (e *Election) Leader(now time.Time) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	best, found := e.self, e.self.Fit
	for _, r := range e.known {
		bound := standby
		if r.Address == e.leader {
			bound = Silence
		}
		if !r.Fit || r.failed || now.Sub(r.answered) > bound {
			continue
		}
		if !found || before(r.Candidate, best) {
			best, found = r.Candidate, true
		}
	}
	e.leader = best.Address
	return best.Address
}

// Claim has this instance say that it gathers, from the given time on, while it
// follows itself. It keeps an earlier claim. Others then follow it as long as it
// can gather, so that the work moves as seldom as can be.
func (e *Election) Claim(now time.Time) {
	leads := e.Leader(now) == e.self.Address
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !leads:
		e.self.Leads = 0
	case e.self.Leads == 0:
		e.self.Leads = now.UnixMilli()
	}
}

// Silent reports whether a candidate has not answered for so long that what
// was asked of it is given up.
func (e *Election) Silent(address string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.known[address]
	return r == nil || now.Sub(r.answered) > Silence
}

// Ask returns the addresses to ask next: those that work for this instance and
// the one that it follows, and with others also the best candidates that may
// still live, and the seeds.
func (e *Election) Ask(working []string, others bool, now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	asked := slices.Clone(working)
	if e.leader != "" && e.leader != e.self.Address && !slices.Contains(asked, e.leader) {
		asked = append(asked, e.leader)
	}
	if !others {
		return asked
	}
	for _, c := range e.best(now) {
		if !slices.Contains(asked, c.Address) && len(asked) < len(working)+Most-1 {
			asked = append(asked, c.Address)
		}
	}
	for _, s := range e.seeds {
		if s != e.self.Address && !slices.Contains(asked, s) {
			asked = append(asked, s)
		}
	}
	return asked
}

// Tell returns what to tell others: this instance and the best candidates.
func (e *Election) Tell(now time.Time) []Candidate {
	e.mu.Lock()
	defer e.mu.Unlock()
	self := e.self
	self.Heard = now
	list := []Candidate{self}
	for _, c := range e.best(now) {
		if len(list) < Most {
			list = append(list, c)
		}
	}
	return list
}

// best returns the fit candidates that were heard lately, in order.
func (e *Election) best(now time.Time) []Candidate {
	var list []Candidate
	for address, r := range e.known {
		if now.Sub(r.Heard) > stale {
			delete(e.known, address)
			continue
		}
		if r.Fit {
			list = append(list, r.Candidate)
		}
	}
	slices.SortFunc(list, func(a, b Candidate) int {
		if before(a, b) {
			return -1
		}
		return 1
	})
	return list
}

// before is the order in which all instances follow candidates: those without
// doubt first, then those with the most processor, then the one that gathers
// already. Where none does, the one that started last is the least likely to be
// restarted next, where instances are restarted in turn. All go by the same
// figures, so clocks that differ do not make two orders.
func before(a, b Candidate) bool {
	if a.Doubt != b.Doubt {
		return b.Doubt
	}
	if (a.Leads == 0) != (b.Leads == 0) && a.Power == b.Power {
		return a.Leads != 0
	}
	return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(a.Leads, b.Leads), cmp.Compare(b.Since, a.Since),
		cmp.Compare(a.Address, b.Address)) < 0
}
