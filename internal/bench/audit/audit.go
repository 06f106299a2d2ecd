// Package audit compares the promises to callers with what the stand-ins
// counted and what the callers received.
package audit

// This file defines Audit, its violations, and the checks of requests.

import (
	"fmt"
	"sync"

	"github.com/jacinthstile/jacinthstile/internal/bench/caller"
	"github.com/jacinthstile/jacinthstile/internal/result/class"
	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
)

// Promise is one of the things that must always hold.
type Promise string

// Promises.
const (
	Own      Promise = "own result"     // no stage result is lost, doubled or handed to another request
	Whole    Promise = "whole answer"   // every caller gets the whole answer to its own request
	NotRun   Promise = "not run"        // a refusal that says "not run" means it
	Once     Promise = "at most once"   // a non-idempotent call runs at most once
	Leaving  Promise = "leaving"        // a leaving endpoint gets no new work after seconds
	Graceful Promise = "graceful stop"  // a graceful stop cuts off no request in flight
	Table    Promise = "table in force" // an accepted change is in force within seconds and never reverts
	Cap      Promise = "account cap"    // no more requests of an account in flight than its cap
	Recovery Promise = "recovery"       // requests are answered where a way is left, and all after a fault
)

// Promises lists all promises.
var Promises = []Promise{Own, Whole, NotRun, Once, Leaving, Graceful, Table, Cap, Recovery}

// Violation is a broken promise.
type Violation struct {
	Promise Promise `json:"promise"`
	Detail  string  `json:"detail"`
}

// String returns the promise and the detail.
func (v Violation) String() string { return string(v.Promise) + ": " + v.Detail }

// Audit holds what happened in a run.
type Audit struct {
	Entries  []ledger.Entry
	Outcomes []caller.Outcome
	// Excused reports whether the run itself took the answer from the caller,
	// such as by killing the instance that it talked to.
	Excused func(i int, o caller.Outcome) bool // i counts in Outcomes

	mu         sync.Mutex
	violations []Violation
}

// Add records a violation that was seen elsewhere.
func (a *Audit) Add(p Promise, format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.violations = append(a.violations, Violation{Promise: p, Detail: fmt.Sprintf(format, args...)})
}

// Violations returns all violations found so far.
func (a *Audit) Violations() []Violation { return a.violations }

// Requests checks what holds for each request: own result, whole answer, not run, at most once.
func (a *Audit) Requests() {
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
			a.Add(Once, "booking %s ran %d times", body, n)
		}
	}
	for i, o := range a.Outcomes {
		a.outcome(i, o, runs[o.Request], bookings)
	}
}

func (a *Audit) outcome(i int, o caller.Outcome, runs int, bookings map[string]int) {
	switch o.Verdict {
	case caller.Wrong:
		p := Own
		if o.Partial {
			p = Whole
		}
		a.Add(p, "%s %s: %s", o.Kind, o.Request, o.Detail)
	case caller.Cut, caller.Gone:
		if a.Excused == nil || !a.Excused(i, o) {
			a.Add(Whole, "%s %s was %s: %s", o.Kind, o.Request, o.Verdict, o.Detail)
		}
	case caller.Refused:
		if o.Class == class.NotRun && runs > 0 {
			a.Add(NotRun, "%s %s got code %d and ran %d times", o.Kind, o.Request, o.Code, runs)
		}
		if o.Class == class.Failed && o.Body != "" && bookings[o.Body] == 0 {
			a.Add(NotRun, "%s %s got code %d, which says that it ran, and did not run", o.Kind, o.Request, o.Code)
		}
	case caller.Answered, caller.Overdue, caller.Failed:
		a.answered(o, runs, bookings)
	default:
		panic(fmt.Sprintf("audit: got verdict %q, want one that is known", o.Verdict))
	}
}

// answered checks that what was answered was run at all.
func (a *Audit) answered(o caller.Outcome, runs int, bookings map[string]int) {
	switch {
	case o.Kind == "ticket":
	case o.Body != "" && bookings[o.Body] == 0:
		a.Add(Own, "%s %s was answered and did not run", o.Kind, o.Request)
	case o.Body == "" && runs == 0:
		a.Add(Own, "%s %s was answered and did not run", o.Kind, o.Request)
	}
}
