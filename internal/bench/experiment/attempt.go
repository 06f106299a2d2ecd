package experiment

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

// request is one request on its way through its pipeline.
type request struct {
	id       int
	account  *account.Account
	pipeline *pipeline.Pipeline
	blocks   []uint64
	entry    *entry
	arrived  time.Time
	deadline time.Time
	index    int // the stage at work
	attempts int // of this stage
	tried    []string
	flying   []*attempt
	item     *queue.Item[*request]
	entered  time.Time // when the stage was entered
	over     bool
	counted  bool // arrived after the warm-up
	chat     bool
	trace    []string
}

func (r *request) stage() *pipeline.Stage { return &r.pipeline.Stages[r.index] }

func (r *request) note(now time.Time, format string, args ...any) {
	if r.entry.bench.options.Traces > 0 {
		r.trace = append(r.trace, fmt.Sprintf("%6dms ", now.Sub(r.arrived).Milliseconds())+fmt.Sprintf(format, args...))
	}
}

// attempt is one call of one stage to one worker.
type attempt struct {
	number  int
	request *request
	stage   int
	worker  *worker
	sent    time.Time
	began   time.Time
	first   time.Duration // until the first token
	busy    time.Duration
	far     time.Duration
	reached bool
	serving bool
	ended   bool
}

func sortedAttempts(set map[*attempt]bool) []*attempt {
	list := make([]*attempt, 0, len(set))
	for a := range set {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int { return cmp.Compare(a.number, b.number) })
	return list
}

func (a *attempt) after(f func()) {
	a.worker.line.after(a.far, func() {
		if !a.ended {
			f()
		}
	})
}

// token tells the sender of the first token.
func (a *attempt) token() {
	a.after(func() { a.first = a.worker.line.now.Sub(a.sent) })
}

// succeed tells the sender of the whole answer.
func (a *attempt) succeed() {
	a.after(func() { a.request.entry.succeeded(a) })
	if a.ended {
		a.worker.wasted += a.busy
	}
}

// fail tells the sender of a failure.
func (a *attempt) fail(k failure.Kind) {
	a.worker.wasted += a.busy
	a.after(func() { a.request.entry.failed(a, k) })
}
