// Package workload records how busy an instance is: the messages of other instances that it
// handles, the orders that it works on, the share of a processor that it uses, and how late work
// that is ready runs. A coordinator that is late judges orders when their time is nearly over.
package workload

// This file defines Recorder and Report.

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"github.com/jacinthstile/jacinthstile/internal/base/pause"
)

const (
	probeInterval  = 100 * time.Millisecond
	reportInterval = time.Second
	// lateBound is the lag from which an instance that is not the coordinator logs its reports.
	lateBound = 100 * time.Millisecond
)

// Report is what an instance did in one interval.
type Report struct {
	Orders    int           // that other instances sent
	Refused   int           // of these
	Polls     int           // that other instances sent
	Waiting   int           // orders that have no answer yet
	Processor float64       // share of one core that the process used
	Lag       time.Duration // longest time for which a timer that had fired waited for the processor
	Poll      time.Duration // longest poll of the coordinator, whether it was answered or not
}

// Recorder counts what an instance does and reports it each second. It is safe for concurrent use.
type Recorder struct {
	leads func() bool // whether this instance is the coordinator
	scope tally.Scope
	log   logr.Logger

	mu      sync.Mutex
	current Report // of the interval that has not ended
	waiting int
}

// New returns a recorder of an instance that is the coordinator while leads reports so.
func New(leads func() bool, scope tally.Scope, log logr.Logger) *Recorder {
	return &Recorder{leads: leads, scope: scope, log: log}
}

// Order records an order of another instance. The caller calls answered with its answer.
func (r *Recorder) Order() (answered func(refused bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current.Orders++
	r.waiting++
	return func(refused bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.waiting--
		if refused {
			r.current.Refused++
		}
	}
}

// Polled records a poll of another instance.
func (r *Recorder) Polled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current.Polls++
}

// PollEnded records how long a poll of the coordinator took, whether it was answered or not.
func (r *Recorder) PollEnded(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current.Poll = max(r.current.Poll, took)
}

// Run measures the lag and reports until the context ends.
func (r *Recorder) Run(ctx context.Context) {
	used, since := processorTime(), time.Now()
	for {
		start := time.Now()
		if !pause.For(ctx, probeInterval) {
			return
		}
		now := time.Now()
		r.recordLag(now.Sub(start) - probeInterval)
		if elapsed := now.Sub(since); elapsed >= reportInterval {
			total := processorTime()
			r.report(r.end((total - used).Seconds() / elapsed.Seconds()))
			used, since = total, now
		}
	}
}

func (r *Recorder) recordLag(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current.Lag = max(r.current.Lag, lag)
}

// end begins a new interval and returns the report of the one that has ended.
func (r *Recorder) end(processor float64) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended := r.current
	ended.Waiting, ended.Processor = r.waiting, processor
	r.current = Report{}
	return ended
}

func (r *Recorder) report(p Report) {
	r.scope.Counter("peer_orders").Inc(int64(p.Orders))
	r.scope.Counter("peer_polls").Inc(int64(p.Polls))
	r.scope.Gauge("peer_orders_waiting").Update(float64(p.Waiting))
	r.scope.Gauge("processor_share").Update(p.Processor)
	r.scope.Gauge("processor_lag_seconds").Update(p.Lag.Seconds())
	r.scope.Gauge("leader_poll_seconds").Update(p.Poll.Seconds())
	if leads := r.leads(); leads || max(p.Lag, p.Poll) >= lateBound {
		r.log.Info("load", "leads", leads, "orders", p.Orders, "refused", p.Refused, "polls", p.Polls, "waiting", p.Waiting,
			"processor", fmt.Sprintf("%.3f", p.Processor), "lag", p.Lag.String(), "poll", p.Poll.String())
	}
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		// The call fails for invalid arguments only.
		panic("workload: reading the processor time: " + err.Error())
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
