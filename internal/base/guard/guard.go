// Package guard holds the budget of memory and connections that the servers of a process share, and ends what
// the budget sheds.
package guard

// This file defines Guard.

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/jacinthstile/jacinthstile/internal/admission/intake"
)

const (
	logInterval = time.Second            // between two lines about shed clients
	shedTime    = 500 * time.Millisecond // in which the memory of shed clients is awaited
	shedPoll    = 5 * time.Millisecond
	answerTime  = 3 * time.Second // in which memory for an answer is awaited; longer than clients may stall
)

// Reason says why a client is shed.
type Reason string

// The reasons, which are values of a label.
const (
	Memory      Reason = "memory"
	Connections Reason = "connections"
	Pace        Reason = "pace"
)

// Guard is a budget with its lock. It is safe for concurrent use.
type Guard struct {
	log      logr.Logger
	scope    tally.Scope
	pressure func(high bool)

	mu       sync.Mutex
	budget   *intake.Budget
	high     bool // much of the budget is held
	shed     int  // clients since the last line of the log
	lastLine time.Time
}

// New returns a guard whose callers may hold the given number of bytes. It calls pressure when they hold much of it, and when
// they no longer do; nil stands for no function.
func New(limit int64, pressure func(high bool), log logr.Logger, scope tally.Scope) *Guard {
	if pressure == nil {
		pressure = func(bool) {}
	}
	return &Guard{log: log, scope: scope, pressure: pressure, budget: intake.New(limit)}
}

// Limit returns the number of bytes that callers may hold.
func (g *Guard) Limit() int64 { return g.budget.Limit() }

// Open adds a client's connection. It reports false if that is to be closed at once.
func (g *Guard) Open(c *intake.Client) bool {
	now := time.Now()
	g.mu.Lock()
	shed, ok := g.budget.Open(c, now)
	g.mu.Unlock()
	if shed != nil {
		g.end(Connections, shed)
	}
	if !ok {
		g.Report(Connections, c)
	}
	return ok
}

// Close removes a client.
func (g *Guard) Close(c *intake.Client) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Close(c)
}

// Begin begins a phase of a client. It reports false if the client is shed, so that its request must not run.
func (g *Guard) Begin(c *intake.Client, p intake.Phase) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Begin(c, p, time.Now())
}

// Progress records that bytes of a client have come.
func (g *Guard) Progress(c *intake.Client) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Progress(c, time.Now())
}

// Sent records that bytes of an answer were sent to a client.
func (g *Guard) Sent(c *intake.Client) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Sent(c, time.Now())
}

// Reserve takes memory for what a client sends. It may wait for that of others that are shed. It reports false if the client
// is to be refused.
func (g *Guard) Reserve(c *intake.Client, bytes int64) bool { return g.reserve(c, bytes, 0) }

// ReserveAnswer takes memory for the answer to a client's request, which has run: it waits for that of others. It reports
// false if there is none in answerTime.
func (g *Guard) ReserveAnswer(c *intake.Client, bytes int64) bool {
	return g.reserve(c, bytes, answerTime)
}

// reserve takes memory. If the client is to be refused, it is tried again for the given time.
func (g *Guard) reserve(c *intake.Client, bytes int64, patience time.Duration) bool {
	start := time.Now()
	for end := start.Add(max(shedTime, patience)); ; time.Sleep(shedPoll) {
		now := time.Now()
		g.mu.Lock()
		shed, v := g.budget.Reserve(c, bytes, now)
		g.watchPressure()
		g.mu.Unlock()
		g.end(Memory, shed...)
		if v == intake.Taken {
			return true
		}
		if v == intake.Refused && now.Sub(start) >= patience || now.After(end) {
			g.Report(Memory, c)
			return false
		}
	}
}

// watchPressure calls the function for pressure if that has changed. The caller holds the lock.
func (g *Guard) watchPressure() {
	held, limit := g.budget.Held(), g.budget.Limit()
	if high := held > limit/2 || g.high && held > limit/4; high != g.high {
		g.high = high
		g.pressure(high)
	}
}

func (g *Guard) end(why Reason, clients ...*intake.Client) {
	for _, c := range clients {
		c.Shed()
		g.Report(why, c)
	}
}

// Report counts a client that is shed, and logs it unless another one was logged just before.
func (g *Guard) Report(why Reason, c *intake.Client) {
	g.scope.Tagged(map[string]string{"reason": string(why)}).Counter("callers_shed").Inc(1)
	now := time.Now()
	g.mu.Lock()
	g.shed++
	n, held, conns, holds := g.shed, c.Held(), c.Door.Conns(), g.budget.Held()
	due := now.Sub(g.lastLine) >= logInterval
	if due {
		g.shed, g.lastLine = 0, now
	}
	g.mu.Unlock()
	if due {
		g.log.Info("callers refused or closed", "reason", string(why), "address", c.Address, "held", held, "conns", conns,
			"total", holds, "limit", g.Limit(), "number", n)
	}
}
