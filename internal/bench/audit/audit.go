// Package audit checks the promises that the system makes to callers against the
// executions that the stand-ins recorded and the outcomes that the callers
// received. It does no I/O.
package audit

// This file defines Audit, Promise and Violation, and the checks of requests.

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/bench/caller"
	"github.com/jacinthstile/jacinthstile/internal/result/class"
	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
)

// Promise is a guarantee of the system that must hold under every fault.
type Promise string

// Promises.
const (
	OwnResult    Promise = "own result"     // no stage result is lost, duplicated or given to another request
	WholeAnswer  Promise = "whole answer"   // every caller gets the complete answer to its own request
	NotRun       Promise = "not run"        // a request refused as "not run" was not executed by any endpoint
	AtMostOnce   Promise = "at most once"   // a non-idempotent call runs at most once
	Leaving      Promise = "leaving"        // an endpoint that leaves gets no new work a few seconds after the change
	Graceful     Promise = "graceful stop"  // a graceful stop interrupts no request in flight
	TableInForce Promise = "table in force" // an accepted change is in force within seconds and never reverts
	AccountCap   Promise = "account cap"    // an account has no more requests in flight than its cap
	Recovery     Promise = "recovery"       // requests are answered where an endpoint can still be reached, and all of them once the fault has ended
)

// Promises lists all promises.
var Promises = []Promise{OwnResult, WholeAnswer, NotRun, AtMostOnce, Leaving, Graceful, TableInForce, AccountCap, Recovery}

// Violation is one observed breach of a promise.
type Violation struct {
	Promise Promise `json:"promise"`
	Detail  string  `json:"detail"`
}

// String returns the promise and the detail.
func (v Violation) String() string { return string(v.Promise) + ": " + v.Detail }

// Audit holds the record of a run and the violations found in it. Add may be
// called concurrently; the other methods are to be called once the run is over.
type Audit struct {
	Entries  []ledger.Entry   // executions at the stand-ins
	Outcomes []caller.Outcome // what callers received
	// Excused reports whether the injected fault itself deprived the caller of
	// the answer, such as by killing the instance that it was connected to. The
	// index is that of the outcome in Outcomes. Nil excuses none.
	Excused func(i int, o caller.Outcome) bool

	mu         sync.Mutex
	violations []Violation
}

// Add records a violation that a check outside this package found.
func (a *Audit) Add(p Promise, format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.violations = append(a.violations, Violation{Promise: p, Detail: fmt.Sprintf(format, args...)})
}

// Violations returns all violations recorded so far.
func (a *Audit) Violations() []Violation { return a.violations }

// CheckRequests checks the promises about single requests: own result, whole answer,
// not run and at most once. Bookings are told apart by their bodies.
func (a *Audit) CheckRequests() {
	runs := make(map[string]int)
	bookings := make(map[string]int)
	for _, e := range a.Entries {
		runs[e.Request]++
		if e.Body != "" {
			bookings[e.Body]++
		}
	}
	for body, n := range bookings {
		if n > 1 {
			a.Add(AtMostOnce, "booking %s ran %d times: %s", body, n, a.describe(body))
		}
	}
	for i, o := range a.Outcomes {
		a.checkOutcome(i, o, runs[o.RequestID], bookings)
	}
}

// describe returns the executions of a booking, which tell whose they are.
func (a *Audit) describe(body string) string {
	var list []string
	for _, e := range a.Entries {
		if e.Body == body {
			list = append(list, fmt.Sprintf("%s of request %s at %s, arrived %s, began %s, ended %s", e.Stage, e.Request, e.Endpoint,
				e.Arrival.Format(time.StampMicro), e.Start.Format(time.StampMicro), e.End.Format(time.StampMicro)))
		}
	}
	return strings.Join(list, "; ")
}

func (a *Audit) checkOutcome(i int, o caller.Outcome, runs int, bookings map[string]int) {
	switch o.Verdict {
	case caller.Wrong:
		p := OwnResult
		if o.Partial {
			p = WholeAnswer
		}
		a.Add(p, "%s %s: %s", o.Kind, o.RequestID, o.Detail)
	case caller.Truncated, caller.NoResponse:
		if a.Excused == nil || !a.Excused(i, o) {
			a.Add(WholeAnswer, "%s %s was %s: %s", o.Kind, o.RequestID, o.Verdict, o.Detail)
		}
	case caller.Refused:
		if o.Class == class.NotRun && runs > 0 {
			a.Add(NotRun, "%s %s got code %d and ran %d times", o.Kind, o.RequestID, o.Code, runs)
		}
		if o.Class == class.Failed && o.Body != "" && bookings[o.Body] == 0 {
			a.Add(NotRun, "%s %s got code %d, which says that it ran, and did not run", o.Kind, o.RequestID, o.Code)
		}
	case caller.Answered, caller.Overdue, caller.Failed:
		a.checkExecuted(o, runs, bookings)
	default:
		panic(fmt.Sprintf("audit: got verdict %q, want one of package caller", o.Verdict))
	}
}

// checkExecuted checks that a request that was answered was executed at all. A
// ticket needs no execution.
func (a *Audit) checkExecuted(o caller.Outcome, runs int, bookings map[string]int) {
	switch {
	case o.Kind == "ticket":
	case o.Body != "" && bookings[o.Body] == 0:
		a.Add(OwnResult, "%s %s was answered and did not run", o.Kind, o.RequestID)
	case o.Body == "" && runs == 0:
		a.Add(OwnResult, "%s %s was answered and did not run", o.Kind, o.RequestID)
	}
}
