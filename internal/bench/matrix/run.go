package matrix

// This file defines run, one cell at work.

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/bench/audit"
	"github.com/jacinthstile/jacinthstile/internal/bench/caller"
	"github.com/jacinthstile/jacinthstile/internal/bench/fleet"
	"github.com/jacinthstile/jacinthstile/internal/standin/platform"
	"github.com/jacinthstile/jacinthstile/internal/standin/trouble"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

// Times of a cell.
const (
	daemons       = 3
	drainWait     = 100 * time.Millisecond
	usualDeadline = 4 * time.Second
	shortDeadline = 300 * time.Millisecond // where the fault outlasts the deadline
	pauseMargin   = 200 * time.Millisecond
	giveUp        = 8 * time.Second // a caller waits no longer
	bound         = 3 * time.Second // in force, empty, and well again
	stopTimeout   = 10 * time.Second
	watchEvery    = 20 * time.Millisecond
	closeWatch    = 3 * time.Millisecond // where the fault offers an older table
	pollEvery     = 10 * time.Millisecond
	orderBound    = 6 * time.Second        // the bound, the closed ends of an issuer's turn, and a tick
	orderRest     = 200 * time.Millisecond // in which a late order may come
)

// run is one cell at work.
type run struct {
	cell    Cell
	ctx     context.Context
	fleet   *fleet.Fleet
	table   *fleettable.Table // as it was at the start
	trouble *trouble.Trouble
	callers *caller.Caller
	capped  *caller.Caller    // of the account with a low cap
	first   platform.Snapshot // before any change
	audit   audit.Audit
	once    sync.Once
	began   time.Time

	publishing sync.Mutex

	mu        sync.Mutex
	heals     []healing
	ofCapped  map[string]bool // requests of the capped account
	notes     []note
	lost      [daemons]bool      // the fault took or froze the daemon
	lostUntil [daemons]time.Time // when it was well again
	starts    [daemons]int       // how often the daemon started again
	stopped   [daemons]bool      // it was stopped gracefully
	apart     [daemons]bool      // it sees neither peers nor the newest table
	changed   time.Time          // when the last table was published
	drainedAt time.Time          // when the drain was in force everywhere
	inputs    int
	log       []string
}

// note is an outcome and the daemon that it came from.
type note struct {
	daemon  int
	outcome caller.Outcome
	healed  bool // the request was sent after the fault had ended
}

// Do runs the cell and returns what was broken, and a log of what happened.
func (c Cell) Do(ctx context.Context, start fleet.Start) ([]audit.Violation, []string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	table, err := c.newTable()
	if err != nil {
		panic(fmt.Sprintf("matrix: building table: %v", err))
	}
	r := &run{cell: c, ctx: ctx, trouble: trouble.New(), ofCapped: make(map[string]bool), began: time.Now()}
	f, stop, err := fleet.New(ctx, table, fleet.Options{
		Daemons: daemons, Timing: timing(), Drain: drainWait, Start: c.starter(start), Gated: true, Trouble: r.trouble,
	}, logr.Discard())
	if err != nil {
		r.fail(err)
		return r.audit.Violations(), r.log
	}
	defer stop()
	r.fleet, r.table, r.first = f, f.Table, f.Platform.Snapshot()
	var closeCallers func()
	r.callers, closeCallers = caller.New(accountKey, giveUp, false)
	defer closeCallers()
	var closeCapped func()
	r.capped, closeCapped = caller.New(cappedKey, giveUp, false)
	defer closeCapped()
	r.play(ctx)
	r.judge()
	return r.audit.Violations(), r.log
}

// play takes the cell from the start to the end of the fault and beyond.
func (r *run) play(ctx context.Context) {
	watched := r.watch(ctx)
	r.arm()
	companions := r.async(func() { r.accompany(ctx) })
	r.cell.Step.act(ctx, r)
	r.strike()
	if len(r.cell.Faults) == 1 && r.cell.hits(AtPlatform, AtList) {
		r.waitInForce()
	}
	companions()
	r.heal()
	r.again(ctx)
	r.waitInForce()
	if r.drainedAt.IsZero() {
		r.drainedAt = time.Now()
	}
	r.settle(ctx)
	watched()
}

// accompany makes requests of every kind at the daemons that the step does not use.
func (r *run) accompany(ctx context.Context) {
	if r.cell.Step.Name == Drain {
		return
	}
	r.read(ctx, last)
	if r.cell.Step.Name == Stop {
		r.book(ctx, other, last)
	} else {
		r.book(ctx, other, last, issuer)
	}
	r.pipeline(ctx, other)
}

func (r *run) heal() {
	r.mu.Lock()
	heals := r.heals
	r.heals = nil
	r.mu.Unlock()
	for _, last := range []bool{false, true} {
		for _, h := range heals {
			if h.last == last {
				h.end()
			}
		}
	}
	r.trouble.Clear()
	r.mark("healed")
}

// again starts the daemon that the step stopped.
func (r *run) again(context.Context) {
	for i, stopped := range r.stopped {
		if stopped {
			r.startAgain(i)
			r.awaitReady(i)
		}
	}
}

// settle asks every daemon for every kind of answer until it gives one, within the bound.
func (r *run) settle(ctx context.Context) {
	for i := range daemons {
		r.untilAnswered(i, func() caller.Outcome { return r.pipeline(ctx, i) })
		r.untilAnswered(i, func() caller.Outcome { return r.read(ctx, i) })
	}
	r.book(ctx, issuer, other, last)
	if r.cell.Step.Name == Order {
		r.awaitOrders(ctx)
		time.Sleep(orderRest)
		r.awaitOrders(ctx)
	}
}

func (r *run) untilAnswered(i int, ask func() caller.Outcome) {
	end := time.Now().Add(bound)
	for {
		o := ask()
		if o.Verdict == caller.Answered {
			return
		}
		if time.Now().After(end) {
			r.audit.Add(audit.Recovery, "daemon %d gives no answer after the fault: %s %d %s", i+1, o.Verdict, o.Code, o.Detail)
			return
		}
		time.Sleep(pollEvery)
	}
}

// note keeps an outcome.
func (r *run) note(daemon int, o caller.Outcome) caller.Outcome {
	r.mark("%s at entry-%d %s: %s %d %s", o.Kind, daemon+1, o.Request, o.Verdict, o.Code, o.Detail)
	r.mu.Lock()
	defer r.mu.Unlock()
	healed := !r.lost[daemon] || !r.lostUntil[daemon].IsZero() && o.Start.After(r.lostUntil[daemon])
	r.notes = append(r.notes, note{daemon: daemon, outcome: o, healed: healed})
	return o
}

// mark writes a line of the cell's log.
func (r *run) mark(format string, args ...any) {
	line := fmt.Sprintf("%8s ", time.Since(r.began).Round(100*time.Microsecond)) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log = append(r.log, line)
}

func (r *run) fail(err error) { r.audit.Add(audit.Recovery, "running the cell: %v", err) }

func (r *run) base(i int) string { return "http://" + r.fleet.Members()[i].Caller() }

func (r *run) names() []string {
	var names []string
	for _, m := range r.fleet.Members() {
		names = append(names, m.Name())
	}
	return names
}

func (r *run) deadline() time.Duration {
	if r.cell.meets(Late) || r.cell.meets(Paused) {
		return shortDeadline
	}
	return usualDeadline
}

// input returns text that no other request of the cell has.
func (r *run) input() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inputs++
	return fmt.Sprintf(`{"slot":%d}`, r.inputs)
}

// async runs f beside the cell and returns a function that waits for its end.
func (r *run) async(f func()) (wait func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	return func() { <-done }
}

func (r *run) loseDaemon(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost[i], r.lostUntil[i] = true, time.Time{}
}

func (r *run) startAgain(i int) {
	r.mu.Lock()
	r.starts[i]++
	r.mu.Unlock()
	if err := r.fleet.StartAgain(i); err != nil {
		r.fail(err)
	}
}

// awaitReady waits for a daemon that started again.
func (r *run) awaitReady(i int) {
	if err := r.fleet.WaitReady(r.ctx, r.fleet.Members()[i]); err != nil {
		r.fail(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lostUntil[i], r.stopped[i] = time.Now(), false
}

// stop ends a daemon gracefully.
func (r *run) stop(ctx context.Context, i int) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := r.fleet.Members()[i].Stop(ctx); err != nil {
		r.audit.Add(audit.Graceful, "stopping entry-%d: %v", i+1, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped[i] = true
}

func (r *run) publish(change func(*fleettable.Table)) {
	r.publishing.Lock()
	defer r.publishing.Unlock()
	if err := r.fleet.Change(change); err != nil {
		r.fail(err)
	}
	r.mark("published")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changed = time.Now()
}

// waitInForce waits until the published table is in force everywhere, within the bound.
func (r *run) waitInForce() {
	ctx, cancel := context.WithTimeout(r.ctx, bound)
	defer cancel()
	if err := r.fleet.WaitInForce(ctx, r.standing()...); err != nil {
		r.audit.Add(audit.Table, "%v", err)
	}
	r.mark("in force")
}

// ordersOf asks an engine's stand-in what it was told.
func (r *run) ordersOf(ctx context.Context, endpoint string) string {
	address := r.fleet.Standins[endpoint].Endpoint.Address
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/orders", nil)
	if err != nil {
		return err.Error()
	}
	return modelsOf(req)
}
