// Package election elects the coordinator: the instance that batches the stage
// work of all instances. A call to a stage costs the same whether it carries
// one piece or many, and one queue for all instances fills the calls where many
// small queues would not.
//
// The election uses no consensus protocol. Each instance follows the best
// candidate among those that it can reach, and all instances rank candidates by
// the same order, so they normally follow the same one. If two instances act as
// coordinator at once, or none does for a second, calls are less full and some
// pieces are executed twice.
//
// An Election reads no clock and does no I/O. Its caller passes the current time,
// polls the other instances and records their answers.
package election

// This file defines Election and Candidate.

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/peer/rendezvous"
)

const (
	// LeaderTimeout is the time without an answer after which the followed candidate
	// counts as failed: another one is followed, and calls to it are cancelled. It is
	// three poll intervals, so that a leader that is paused or cut off is soon replaced.
	LeaderTimeout = 900 * time.Millisecond
	// candidateTimeout is the time without an answer after which a candidate that
	// is not followed cannot become the leader. It is about two poll intervals: to save
	// calls, such candidates are polled only every 1.2 s.
	candidateTimeout = 2500 * time.Millisecond
	// candidateExpiry is the time after which a candidate is removed if neither
	// this instance nor any peer has been in contact with it: about four poll intervals.
	candidateExpiry = 5 * time.Second
	// youngTime is the time for which a candidate counts as young. It covers the starts of all instances after
	// a loss of power, until one of them is the coordinator.
	youngTime = 3 * time.Second
	// MaxCandidates is the maximum number of candidates in one message between
	// instances, the sender included. It also bounds how many candidates an instance
	// polls, so that polls do not grow with the size of the fleet.
	MaxCandidates = 4
)

// Candidate is an instance that can be elected coordinator.
type Candidate struct {
	Address     string
	MilliCPU    int       // processor share, in thousandths of a core
	StartTime   int64     // start of its process by its own clock, in milliseconds of the Unix epoch
	LeaderSince int64     // when it became the coordinator, in the same unit; zero if it is not the coordinator
	Eligible    bool      // whether it reports that it can act as coordinator
	Degraded    bool      // whether it reports that other instances may be better suited
	Started     time.Time // start of its process by this instance's clock; zero if it does not report it
	LastSeen    time.Time // when it last answered or polled any instance, by this instance's clock
}

// record is what this instance knows of one candidate.
type record struct {
	Candidate
	lastAnswer time.Time // when it last answered this instance; zero if it never did
	failed     bool      // whether the last poll of it, or a later call to it, failed
}

// Election keeps what one instance knows of the candidates and chooses the one
// that this instance follows. It is safe for concurrent use.
type Election struct {
	seeds []string

	mu      sync.Mutex
	self    Candidate
	leader  string // last result of Leader; empty before the first call
	records map[string]*record
}

// New returns the election of the instance self. Seeds are the addresses of
// instances that are polled even if no peer has reported them; self may be among
// them. The instance is not eligible until SetState says so.
func New(self Candidate, seeds []string) *Election {
	return &Election{self: self, seeds: seeds, records: make(map[string]*record)}
}

// SetState sets whether this instance can act as coordinator, and whether other
// instances may be better suited. A degraded instance is still elected if every
// eligible candidate is degraded.
func (e *Election) SetState(eligible, degraded bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.self.Eligible, e.self.Degraded = eligible, degraded
}

// RecordAnswer records that the instance at address answered a poll at the time now,
// with a list of candidates that contains itself.
func (e *Election) RecordAnswer(address string, list []Candidate, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.merge(list)
	if r := e.records[address]; r != nil {
		r.lastAnswer, r.failed = now, false
	}
}

// RecordPoll records the list of candidates that a peer sent when it polled this
// instance. It does not count as an answer of that peer: this instance may be
// unable to reach it.
func (e *Election) RecordPoll(list []Candidate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.merge(list)
}

// merge adds candidates to the records, and replaces a record if the candidate's
// state is newer. The caller holds e.mu.
func (e *Election) merge(list []Candidate) {
	for _, c := range list {
		if c.Address == e.self.Address || c.Address == "" {
			continue
		}
		r := e.records[c.Address]
		if r == nil {
			r = new(record)
			e.records[c.Address] = r
		}
		if c.LastSeen.After(r.LastSeen) {
			r.Candidate = c
		}
	}
}

// RecordFailure records that a poll of the candidate, or another call to it, failed. It
// is not followed until it answers a poll.
func (e *Election) RecordFailure(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.records[address]; r != nil {
		r.failed = true
	}
}

// RecordAlive records that the candidate, which is followed, is slow to answer polls but alive. It stays
// followed: to take up its work elsewhere would cost more than to wait.
func (e *Election) RecordAlive(address string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.records[address]; r != nil && !r.failed {
		r.lastAnswer = now
	}
}

// Leader returns the address of the instance to follow, which may be this one. It
// is the best eligible candidate that has answered this instance in time. If no
// instance is eligible, it is this one.
func (e *Election) Leader(now time.Time) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	best, found := e.self, e.self.Eligible
	for _, r := range e.records {
		timeout := candidateTimeout
		if r.Address == e.leader {
			timeout = LeaderTimeout
		}
		if !r.Eligible || r.failed || now.Sub(r.lastAnswer) > timeout {
			continue
		}
		if !found || preferred(&r.Candidate, &best, now) {
			best, found = r.Candidate, true
		}
	}
	e.leader = best.Address
	return best.Address
}

// UpdateClaim updates since when this instance reports itself as the coordinator. If
// it follows itself, the first call sets the time to now and later calls keep it;
// otherwise the time is cleared. Candidates of the same processor share rank behind
// the one that is the coordinator already, so that the work moves as rarely as
// possible.
func (e *Election) UpdateClaim(now time.Time) {
	leading := e.Leader(now) == e.self.Address
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !leading:
		e.self.LeaderSince = 0
	case e.self.LeaderSince == 0:
		e.self.LeaderSince = now.UnixMilli()
	}
}

// InContact reports whether another instance has answered a poll in time, or none is known
// that could: there are neither seeds nor candidates but this one.
func (e *Election) InContact(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	alone := !slices.ContainsFunc(e.seeds, func(s string) bool { return s != e.self.Address })
	for _, r := range e.records {
		if !r.failed && now.Sub(r.lastAnswer) <= candidateTimeout {
			return true
		}
		alone = false
	}
	return alone
}

// Keepers returns n other instances that have answered this one in time: for one half
// the best candidates, for the other half seeds, chosen by this instance's address, so that they are
// seldom lost together. Where there are too few seeds, further candidates take their places. Every instance
// knows all of these addresses.
func (e *Election) Keepers(n int, now time.Time) []Candidate {
	e.mu.Lock()
	defer e.mu.Unlock()
	var candidates, seeds []string
	for _, c := range e.best(n+len(e.seeds), now, func(r *record) bool { return !r.failed && now.Sub(r.lastAnswer) <= candidateTimeout }) {
		candidates = append(candidates, c.Address)
	}
	list := slices.Clone(candidates[:min(len(candidates), n/2)])
	for _, s := range e.seeds {
		if s != e.self.Address && !slices.Contains(list, s) && e.inContact(s, now) {
			seeds = append(seeds, s)
		}
	}
	list = append(list, rendezvous.Choose(e.self.Address, seeds, n-len(list))...)
	for _, c := range candidates {
		if len(list) < n && !slices.Contains(list, c) {
			list = append(list, c)
		}
	}
	keepers := make([]Candidate, len(list))
	for i, address := range list {
		keepers[i] = e.records[address].Candidate
	}
	return keepers
}

// inContact reports whether the instance at address has answered a poll in time. The caller holds e.mu.
func (e *Election) inContact(address string, now time.Time) bool {
	r := e.records[address]
	return r != nil && !r.failed && now.Sub(r.lastAnswer) <= candidateTimeout
}

// Reachable returns the addresses of instances that may answer a call: the best candidates, as
// many as are told to others, and the seeds, this one left out.
func (e *Election) Reachable(now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []string
	for _, c := range e.best(MaxCandidates, now, anyCandidate) {
		list = append(list, c.Address)
	}
	for _, s := range e.seeds {
		if s != e.self.Address && !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	return list
}

// TimedOut reports whether a candidate is unknown or has not answered a poll for so
// long that calls to it should be cancelled.
func (e *Election) TimedOut(address string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.records[address]
	return r == nil || now.Sub(r.lastAnswer) > LeaderTimeout
}

// PollTargets returns the addresses to poll next: the active ones, which are the
// instances that work on orders of this one, and the leader if it is another
// instance. If all is set, it adds the best candidates that have not expired, up
// to MaxCandidates-1 addresses besides the active ones, and then all seeds.
func (e *Election) PollTargets(active []string, all bool, now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	targets := slices.Clone(active)
	if e.leader != "" && e.leader != e.self.Address && !slices.Contains(targets, e.leader) {
		targets = append(targets, e.leader)
	}
	if !all {
		return targets
	}
	for _, c := range e.best(len(targets)+MaxCandidates-1, now, anyCandidate) {
		if !slices.Contains(targets, c.Address) && len(targets) < len(active)+MaxCandidates-1 {
			targets = append(targets, c.Address)
		}
	}
	for _, s := range e.seeds {
		if s != e.self.Address && !slices.Contains(targets, s) {
			targets = append(targets, s)
		}
	}
	return targets
}

// Candidates returns the candidates to send to peers: this instance first, then the best
// others, MaxCandidates in all.
func (e *Election) Candidates(now time.Time) []Candidate {
	e.mu.Lock()
	defer e.mu.Unlock()
	self := e.self
	self.LastSeen = now
	return append([]Candidate{self}, e.best(MaxCandidates-1, now, anyCandidate)...)
}

func anyCandidate(*record) bool { return true }

// best removes the expired candidates and returns the best eligible ones among those that pass, n at
// most, best first. It is called for each poll of each instance, so it sorts no more than it returns.
// The caller holds e.mu.
func (e *Election) best(n int, now time.Time, passes func(*record) bool) []Candidate {
	list := make([]*record, 0, n+1)
	for address, r := range e.records {
		if now.Sub(r.LastSeen) > candidateExpiry {
			delete(e.records, address)
			continue
		}
		if !r.Eligible || len(list) == n && !preferred(&r.Candidate, &list[n-1].Candidate, now) || !passes(r) {
			continue
		}
		i := len(list)
		for i > 0 && preferred(&r.Candidate, &list[i-1].Candidate, now) {
			i--
		}
		list = slices.Insert(list, i, r)[:min(len(list)+1, n)]
	}
	candidates := make([]Candidate, len(list))
	for i, r := range list {
		candidates[i] = r.Candidate
	}
	return candidates
}

// preferred reports whether candidate a ranks before b. All instances use this
// order: candidates that are not degraded come first, then those with the larger
// processor share, then the one that is the coordinator already; of several, the one
// that has been for the longest time. If none is, those that are not young come first, and of them
// the one that started last: when instances are restarted one after the other, it is the
// least likely to be restarted next. Of the young ones the one that started first comes first: when all
// start at once, the leader must not change with each one that is heard of.
// All instances compare the values that a candidate reports of itself, so clocks
// that differ between instances do not lead to different orders.
func preferred(a, b *Candidate, now time.Time) bool {
	if a.Degraded != b.Degraded {
		return b.Degraded
	}
	if (a.LeaderSince == 0) != (b.LeaderSince == 0) && a.MilliCPU == b.MilliCPU {
		return a.LeaderSince != 0
	}
	if order := cmp.Or(cmp.Compare(b.MilliCPU, a.MilliCPU), cmp.Compare(a.LeaderSince, b.LeaderSince)); order != 0 {
		return order < 0
	}
	if young := a.young(now); young != b.young(now) {
		return !young
	} else if young {
		a, b = b, a
	}
	return cmp.Or(cmp.Compare(b.StartTime, a.StartTime), cmp.Compare(a.Address, b.Address)) < 0
}

// young reports whether the candidate's process has just started.
func (c *Candidate) young(now time.Time) bool { return now.Sub(c.Started) < youngTime }
