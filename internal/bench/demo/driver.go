package demo

// This file defines driver, which sends the requests.

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/schollz/progressbar/v3"

	"github.com/jacinthstile/jacinthstile/internal/bench/caller"
	"github.com/jacinthstile/jacinthstile/internal/bench/fleet"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/service"
)

// requestRecord is the outcome of one request with its account and daemon.
type requestRecord struct {
	caller.Outcome
	account string
	daemon  int  // index of the daemon
	retry   bool // a retry after the demo closed the connection of an earlier attempt
}

// driver sends the requests of a run, causes its events and collects the outcomes.
type driver struct {
	fleet         *fleet.Fleet
	balancer      *balancer
	options       Options
	table         *fleettable.Table // as it was at the start of the run
	callers       []*caller.Caller  // by the index of the account
	closers       []func()
	halfSent      chan struct{} // closed when half of the requests have been sent
	conversations *conversations

	mu             sync.Mutex
	records        []requestRecord
	eventTimes     eventTimes
	closedAttempts int // attempts whose connection the demo itself closed; they are not in records
}

func newDriver(f *fleet.Fleet, b *balancer, o Options) *driver {
	d := &driver{
		fleet: f, balancer: b, options: o, table: f.Table,
		halfSent: make(chan struct{}), conversations: newConversations(),
	}
	for _, a := range f.Table.Accounts {
		c, closeCaller := caller.New("key-"+a.Name, callerTimeout, true)
		d.callers = append(d.callers, c)
		d.closers = append(d.closers, closeCaller)
	}
	return d
}

func (d *driver) close() {
	for _, c := range d.closers {
		c()
	}
}

// sendAll sends all requests as a Poisson process and returns when they have ended. If all workers are busy, later
// requests are delayed.
func (d *driver) sendAll(ctx context.Context, progress *progressbar.ProgressBar) {
	work := make(chan int)
	var wg sync.WaitGroup
	for range d.options.Workers {
		wg.Go(func() {
			for n := range work {
				d.sendRequest(ctx, rand.New(rand.NewPCG(d.options.Seed, uint64(n))), n)
				progress.Add(1)
			}
		})
	}
	rng := rand.New(rand.NewPCG(d.options.Seed, math.MaxUint64))
	next := time.Now()
	for n := range d.options.Requests {
		if n == d.options.Requests/2 {
			close(d.halfSent)
		}
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(rng.ExpFloat64() / d.options.Rate * float64(time.Second)))
		work <- n
	}
	close(work)
	wg.Wait()
	progress.Finish()
}

// sendRequest sends request n, of a kind that rng chooses. If the demo closed its connection, it retries on another
// daemon, as clients behind a load balancer do.
func (d *driver) sendRequest(ctx context.Context, rng *rand.Rand, n int) {
	account := d.drawAccount(rng)
	send := d.drawRequest(rng, account, n)
	closedAt := -1
	for attempt := range maxAttempts {
		base, i := d.balancer.pick(closedAt)
		v := requestRecord{Outcome: send(ctx, base), account: d.table.Accounts[account].Name, daemon: i, retry: attempt > 0}
		d.mu.Lock()
		closed := attempt < maxAttempts-1 && (v.Verdict == caller.Truncated || v.Verdict == caller.NoResponse) && d.eventTimes.connClosedByDemo(v)
		if closed {
			d.closedAttempts++
		} else {
			d.records = append(d.records, v)
		}
		d.mu.Unlock()
		if !closed {
			return
		}
		closedAt = i
	}
}

// maxAttempts is the maximum number of attempts for a request whose connections the demo closes.
const maxAttempts = 4

// drawAccount draws a client account by the weights in the table and returns its index.
func (d *driver) drawAccount(rng *rand.Rand) int {
	var sum float64
	for _, a := range d.table.Accounts {
		sum += a.Weight
	}
	at := rng.Float64() * sum
	for i, a := range d.table.Accounts {
		if at < a.Weight {
			return i
		}
		at -= a.Weight
	}
	return 0
}

// drawRequest draws a kind of request and returns a function that sends it to a base URL. The function may be called
// again to retry the request.
func (d *driver) drawRequest(rng *rand.Rand, account, n int) func(context.Context, string) caller.Outcome {
	c := d.callers[account]
	stream := rng.IntN(2) == 0
	switch kind := rng.IntN(10); {
	case kind < 3:
		p := &d.table.Pipelines[rng.IntN(len(d.table.Pipelines))]
		return func(ctx context.Context, base string) caller.Outcome {
			return c.Pipeline(ctx, base, p, fmt.Sprintf("question %d", n), stream, p.Deadline.Duration())
		}
	case kind < 6:
		return d.chatRequest(c, account, n, stream)
	case kind < 8:
		return d.readRequest(rng, c)
	default:
		return d.bookingRequest(c, n)
	}
}

// chatRequest returns a request that continues the account's conversation.
func (d *driver) chatRequest(c *caller.Caller, account, n int, stream bool) func(context.Context, string) caller.Outcome {
	m := d.table.Models[0]
	p := d.table.Pipeline(m.Pipeline)
	turns := d.conversations.addQuestion(account, fmt.Sprintf("question %d", n))
	return func(ctx context.Context, base string) caller.Outcome {
		o := c.Chat(ctx, base, m.Name, p, turns, stream, p.Deadline.Duration())
		d.conversations.recordAnswer(account, turns, o.Output)
		return o
	}
}

// readRequest returns an idempotent call to a plain service.
func (d *driver) readRequest(rng *rand.Rand, c *caller.Caller) func(context.Context, string) caller.Outcome {
	s := &d.table.Services[rng.IntN(len(d.table.Services))]
	path := pathOf(s, http.MethodGet)
	return func(ctx context.Context, base string) caller.Outcome {
		return c.Read(ctx, base, s.Name, path, s.Deadline.Duration())
	}
}

// bookingRequest returns a non-idempotent call, such as a booking or an order. A retry uses the ticket of the first
// attempt.
func (d *driver) bookingRequest(c *caller.Caller, n int) func(context.Context, string) caller.Outcome {
	s := &d.table.Services[0]
	path := pathOf(s, http.MethodPost)
	var ticket string
	return func(ctx context.Context, base string) caller.Outcome {
		if ticket == "" {
			var o caller.Outcome
			if ticket, o = c.Ticket(ctx, base); ticket == "" {
				return o
			}
		}
		return c.Book(ctx, base, s.Name, path, ticket, fmt.Sprintf(`{"slot":%d}`, n), s.Deadline.Duration())
	}
}

// pathOf returns the path of the service's first operation with the method. It panics if there is none.
func pathOf(s *service.Service, method string) string {
	for _, op := range s.Operations {
		if op.Method == method {
			return op.Path
		}
	}
	panic("demo: service " + s.Name + " has no operation with method " + method)
}

// eventTimes are the times of the run's events.
type eventTimes struct {
	published    time.Time     // when the table change was published
	inForce      time.Time     // when it was in force on all daemons
	closeStart   time.Time     // before the connections of one daemon were closed
	closeEnd     time.Time     // after all of them were closed; zero until then
	closedDaemon int           // index of that daemon
	stopDuration time.Duration // how long the graceful stop took
}

// closeDetectionTime is the time within which clients detect that their idle connections were closed.
const closeDetectionTime = 500 * time.Millisecond

// connClosedByDemo reports whether the demo itself may have closed the request's connection.
func (m eventTimes) connClosedByDemo(v requestRecord) bool {
	if m.closeStart.IsZero() || v.daemon != m.closedDaemon {
		return false
	}
	return m.closeEnd.IsZero() || v.Start.Before(m.closeEnd.Add(closeDetectionTime))
}
