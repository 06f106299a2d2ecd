package demo

// This file drives the requests.

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

// visit is one request with its account and daemon.
type visit struct {
	caller.Outcome
	account string
	daemon  int
	repeat  bool // asked again after its connection was killed
}

type driver struct {
	fleet    *fleet.Fleet
	balancer *balancer
	options  Options
	table    *fleettable.Table // as it was at the start
	callers  []*caller.Caller
	closers  []func()
	half     chan struct{} // closed when half of the requests were sent
	chats    *conversations

	mu      sync.Mutex
	visits  []visit
	marks   marks
	ignored int // requests whose first try the demo itself cut
}

func newDriver(f *fleet.Fleet, b *balancer, o Options) *driver {
	d := &driver{
		fleet: f, balancer: b, options: o, table: f.Table,
		half: make(chan struct{}), chats: newConversations(),
	}
	for _, a := range f.Table.Accounts {
		c, closeCaller := caller.New("key-"+a.Name, giveUp, true)
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

func (d *driver) drive(ctx context.Context, progress *progressbar.ProgressBar) {
	work := make(chan int)
	var wg sync.WaitGroup
	for range d.options.Workers {
		wg.Go(func() {
			for n := range work {
				d.one(ctx, rand.New(rand.NewPCG(d.options.Seed, uint64(n))), n)
				progress.Add(1)
			}
		})
	}
	rng := rand.New(rand.NewPCG(d.options.Seed, math.MaxUint64))
	next := time.Now()
	for n := range d.options.Requests {
		if n == d.options.Requests/2 {
			close(d.half)
		}
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(rng.ExpFloat64() / d.options.Rate * float64(time.Second)))
		work <- n
	}
	close(work)
	wg.Wait()
	progress.Finish()
}

// one sends one request of a kind that the seed chooses. Callers whose
// connection was killed ask again elsewhere, as clients behind a balancer do.
func (d *driver) one(ctx context.Context, rng *rand.Rand, n int) {
	account := d.account(rng)
	ask := d.request(rng, account, n)
	killedAt := -1
	for try := range mostTries {
		base, i := d.balancer.pick(killedAt)
		v := visit{Outcome: ask(ctx, base), account: d.table.Accounts[account].Name, daemon: i, repeat: try > 0}
		d.mu.Lock()
		killed := try < mostTries-1 && (v.Verdict == caller.Truncated || v.Verdict == caller.NoResponse) && d.marks.kicked(v)
		if killed {
			d.ignored++
		} else {
			d.visits = append(d.visits, v)
		}
		d.mu.Unlock()
		if !killed {
			return
		}
		killedAt = i
	}
}

// mostTries bounds how often a caller asks whose connections are killed.
const mostTries = 4

// account chooses a client account by the weights of the table.
func (d *driver) account(rng *rand.Rand) int {
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

// request returns a function that sends one request and may be called twice.
func (d *driver) request(rng *rand.Rand, account, n int) func(context.Context, string) caller.Outcome {
	c := d.callers[account]
	stream := rng.IntN(2) == 0
	switch kind := rng.IntN(10); {
	case kind < 3:
		p := &d.table.Pipelines[rng.IntN(len(d.table.Pipelines))]
		return func(ctx context.Context, base string) caller.Outcome {
			return c.Pipeline(ctx, base, p, fmt.Sprintf("question %d", n), stream, p.Deadline.Duration())
		}
	case kind < 6:
		return d.chat(c, account, n, stream)
	case kind < 8:
		return d.read(rng, c)
	default:
		return d.book(c, n)
	}
}

// chat adds a turn to the account's conversation.
func (d *driver) chat(c *caller.Caller, account, n int, stream bool) func(context.Context, string) caller.Outcome {
	m := d.table.Models[0]
	p := d.table.Pipeline(m.Pipeline)
	turns := d.chats.ask(account, fmt.Sprintf("question %d", n))
	return func(ctx context.Context, base string) caller.Outcome {
		o := c.Chat(ctx, base, m.Name, p, turns, stream, p.Deadline.Duration())
		d.chats.reply(account, turns, o.Output)
		return o
	}
}

func (d *driver) read(rng *rand.Rand, c *caller.Caller) func(context.Context, string) caller.Outcome {
	s := &d.table.Services[rng.IntN(len(d.table.Services))]
	path := pathOf(s, http.MethodGet)
	return func(ctx context.Context, base string) caller.Outcome {
		return c.Read(ctx, base, s.Name, path, s.Deadline.Duration())
	}
}

// book makes a booking or an order. A repeat uses the ticket of the first try.
func (d *driver) book(c *caller.Caller, n int) func(context.Context, string) caller.Outcome {
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

func pathOf(s *service.Service, method string) string {
	for _, op := range s.Operations {
		if op.Method == method {
			return op.Path
		}
	}
	panic("demo: service " + s.Name + " has no operation with method " + method)
}

// marks are the moments of the run's events.
type marks struct {
	published time.Time
	inForce   time.Time
	kick      time.Time // when the connections of one daemon began to be killed
	kickEnd   time.Time // when all of them were; zero until then
	kickedAt  int       // that daemon
	stopped   time.Duration
}

// notice is the time in which clients come to know that their idle connections were killed.
const notice = 500 * time.Millisecond

// kicked reports whether the demo itself cut the request's connection.
func (m marks) kicked(v visit) bool {
	if m.kick.IsZero() || v.daemon != m.kickedAt {
		return false
	}
	return m.kickEnd.IsZero() || v.Start.Before(m.kickEnd.Add(notice))
}
