package routingsim

// This file defines request and attempt.

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/queue"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/table/account"
	"github.com/jacinthstile/jacinthstile/internal/table/pipeline"
)

// request is one request, which runs the stages of its pipeline one after the other.
type request struct {
	id         int
	account    *account.Account
	pipeline   *pipeline.Pipeline
	blocks     []uint64  // hashes of the prompt's blocks
	instance   *instance // which received the request
	arrived    time.Time
	deadline   time.Time
	stageIndex int      // index of the current stage
	attempts   int      // attempts of the current stage
	tried      []string // endpoints that failed or are being hedged in the current stage
	inFlight   []*attempt
	queued     *queue.Item[*request] // entry in the role's queue, nil if not queued
	stageStart time.Time             // when the current stage was started
	done       bool
	measured   bool // arrived after the warm-up, and so counts in the results
	isChat     bool
	trace      []string // trace lines
}

func (r *request) stage() *pipeline.Stage { return &r.pipeline.Stages[r.stageIndex] }

// tracef adds a line to the request's trace if traces are wanted.
func (r *request) tracef(now time.Time, format string, args ...any) {
	if r.instance.sim.options.MaxTraces > 0 {
		r.trace = append(r.trace, fmt.Sprintf("%6dms ", now.Sub(r.arrived).Milliseconds())+fmt.Sprintf(format, args...))
	}
}

// attempt is one call of one stage to one endpoint.
type attempt struct {
	id           int
	request      *request
	stageIndex   int
	endpoint     *fakeEndpoint
	sentAt       time.Time
	started      time.Time     // when the endpoint started to serve it
	firstToken   time.Duration // from sentAt until the instance received the first token, zero before that
	busyTime     time.Duration // how long it occupied a slot, zero for requests that are not measured
	networkDelay time.Duration // one way between the instance and the endpoint
	delivered    bool          // the endpoint accepted it
	serving      bool          // it occupies or occupied a slot
	ended        bool          // the instance has recorded its end
}

// sortedAttempts returns the attempts of a set in the order of their sending.
func sortedAttempts(set map[*attempt]bool) []*attempt {
	list := make([]*attempt, 0, len(set))
	for a := range set {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	return list
}

// notify runs f at the instance after the network delay, unless the instance has
// ended the attempt by then.
func (a *attempt) notify(f func()) {
	a.endpoint.loop.schedule(a.networkDelay, func() {
		if !a.ended {
			f()
		}
	})
}

// reportFirstToken sends the first token to the instance.
func (a *attempt) reportFirstToken() {
	a.notify(func() { a.firstToken = a.endpoint.loop.now.Sub(a.sentAt) })
}

// succeed sends the complete response to the instance. The busy time is wasted if
// the instance has ended the attempt already.
func (a *attempt) succeed() {
	a.notify(func() { a.request.instance.onSuccess(a) })
	if a.ended {
		a.endpoint.wastedTime += a.busyTime
	}
}

// fail sends a failure to the instance. The busy time is wasted.
func (a *attempt) fail(k failure.Kind) {
	a.endpoint.wastedTime += a.busyTime
	a.notify(func() { a.request.instance.onFailure(a, k) })
}
