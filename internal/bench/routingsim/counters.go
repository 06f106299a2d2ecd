package routingsim

// This file defines outcome and counters.

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is how a request ended.
type outcome int

const (
	answered outcome = iota
	refused          // not run: refused on arrival or evicted from a full queue
	failed           // ended without an answer before its deadline
	late             // expired at its deadline
)

var outcomes = [...]string{answered: "answered", refused: "refused", failed: "failed", late: "late"}

// counters holds the counts of one run. Only requests that arrived after the warm-up
// are counted by outcome.
type counters struct {
	maxTraces     int
	offered       int
	byOutcome     [len(outcomes)]int
	accounts      map[string]*[2]int      // numbers of requests offered and answered, by account
	latency       *hdrhistogram.Histogram // of answered requests, in milliseconds
	firstAttempts int                     // first attempts of a stage
	extraAttempts int                     // further attempts that reached an endpoint
	hedges        int
	answeredChats int
	traces        []string // traces of requests that were not answered, maxTraces at most
}

func newCounters(maxTraces int) *counters {
	return &counters{maxTraces: maxTraces, accounts: make(map[string]*[2]int), latency: hdrhistogram.New(1, 60_000, 3)}
}

// record counts a request that has ended.
func (c *counters) record(r *request, o outcome, now time.Time) {
	if !r.measured {
		return
	}
	c.offered++
	c.byOutcome[o]++
	account := c.accounts[r.account.Name]
	if account == nil {
		account = new([2]int)
		c.accounts[r.account.Name] = account
	}
	account[0]++
	if o == answered {
		account[1]++
		if r.isChat {
			c.answeredChats++
		}
		_ = c.latency.RecordValue(now.Sub(r.arrived).Milliseconds())
		return
	}
	if len(c.traces) < c.maxTraces {
		head := fmt.Sprintf("request %d of %s, %s: %s\n  ", r.id, r.account.Name, r.pipeline.Name, outcomes[o])
		c.traces = append(c.traces, head+strings.Join(r.trace, "\n  "))
	}
}
