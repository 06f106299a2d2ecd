package experiment

// This file defines tally, what one run counts.

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

type outcome int

const (
	answered outcome = iota
	refused          // not run
	failed
	late
)

var outcomes = [...]string{answered: "answered", refused: "refused", failed: "failed", late: "late"}

// tally counts the requests that arrived after the warm-up.
type tally struct {
	traces   int
	offered  int
	by       [len(outcomes)]int
	accounts map[string]*[2]int // offered and answered
	latency  *hdrhistogram.Histogram
	first    int // first attempts of a stage
	extra    int // further attempts that reached an endpoint
	hedges   int
	chats    int // chats that were answered
	notes    []string
}

func newTally(traces int) *tally {
	return &tally{traces: traces, accounts: make(map[string]*[2]int), latency: hdrhistogram.New(1, 60_000, 3)}
}

func (t *tally) count(r *request, o outcome, now time.Time) {
	if !r.counted {
		return
	}
	t.offered++
	t.by[o]++
	a := t.accounts[r.account.Name]
	if a == nil {
		a = new([2]int)
		t.accounts[r.account.Name] = a
	}
	a[0]++
	if o == answered {
		a[1]++
		if r.chat {
			t.chats++
		}
		_ = t.latency.RecordValue(now.Sub(r.arrived).Milliseconds())
		return
	}
	if len(t.notes) < t.traces {
		head := fmt.Sprintf("request %d of %s, %s: %s\n  ", r.id, r.account.Name, r.pipeline.Name, outcomes[o])
		t.notes = append(t.notes, head+strings.Join(r.trace, "\n  "))
	}
}
