// Package poller reads the load reports and cache events of endpoints within a
// fixed number of bytes a second, however many endpoints the table has.
package poller

// This file defines Poller and its loop.

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/jacinthstile/jacinthstile/internal/base/pause"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/table/sheet"
)

const (
	perSecond   = 6 << 10 // bytes that polls may cost
	mostBurst   = 12 << 10
	overhead    = 500 // bytes of the headers and packets of one poll
	timeout     = 300 * time.Millisecond
	refresh     = time.Second            // time between two choices of the endpoints to poll
	recent      = 15 * time.Second       // an endpoint called within this time is in use
	mostInUse   = 48                     // endpoints in use that are polled in turn
	otherEvery  = 8                      // every n-th poll goes to an endpoint that is not in use
	eventsEvery = 2                      // every n-th poll of an engine reads its cache events
	idlePause   = time.Second            // where there is nothing to poll
	otherPause  = 500 * time.Millisecond // between polls while no endpoint is in use
)

// Poller polls the endpoints that this instance uses in turn, and the others
// now and then.
type Poller struct {
	tables *holder.Holder
	board  *endpointstats.Tracker
	client *client.Client
	log    logr.Logger
	bytes  *rate.Limiter
	total  atomic.Int64 // bytes that polls have cost

	table  *sheet.Sheet
	chosen time.Time
	inUse  []*endpoint.Endpoint
	at     int // position in inUse
	other  int // position in the table
	polls  int // polls so far
	states map[string]*state
}

// state is where the polling of one endpoint stands.
type state struct {
	polls int
	after uint64 // number of the last cache event
}

// New returns a poller.
func New(t *holder.Holder, b *endpointstats.Tracker, c *client.Client, log logr.Logger) *Poller {
	return &Poller{
		tables: t, board: b, client: c, log: log,
		bytes:  rate.NewLimiter(perSecond, mostBurst),
		states: make(map[string]*state),
	}
}

// Bytes returns how many bytes polls have cost since the start.
func (p *Poller) Bytes() int64 { return p.total.Load() }

// Run polls until ctx ends. It runs one poll at a time.
func (p *Poller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		e := p.next(time.Now())
		if e == nil {
			pause.For(ctx, idlePause)
			continue
		}
		size := overhead + p.poll(ctx, e)
		p.total.Add(int64(size))
		if p.bytes.WaitN(ctx, min(size, mostBurst)) != nil {
			return
		}
		if len(p.inUse) == 0 {
			pause.For(ctx, otherPause)
		}
	}
}

// next returns the endpoint to poll now, or nil.
func (p *Poller) next(now time.Time) *endpoint.Endpoint {
	table := p.tables.Current()
	if table == nil || len(table.Endpoints) == 0 {
		return nil
	}
	if table != p.table || now.Sub(p.chosen) >= refresh {
		p.choose(table, now)
	}
	p.polls++
	if len(p.inUse) == 0 || p.polls%otherEvery == 0 {
		return p.nextOther()
	}
	p.at = (p.at + 1) % len(p.inUse)
	return p.inUse[p.at]
}

// nextOther returns the next endpoint of the table that has weight.
func (p *Poller) nextOther() *endpoint.Endpoint {
	for range p.table.Endpoints {
		p.other = (p.other + 1) % len(p.table.Endpoints)
		if e := &p.table.Endpoints[p.other]; p.table.Weight(e.Name) > 0 {
			return e
		}
	}
	return nil
}

// choose finds the endpoints that were called last.
func (p *Poller) choose(table *sheet.Sheet, now time.Time) {
	if table != p.table {
		for name := range p.states {
			if table.Endpoint(name) == nil {
				delete(p.states, name)
			}
		}
	}
	p.table, p.chosen = table, now
	p.inUse = p.inUse[:0]
	last := make(map[string]time.Time)
	for i := range table.Endpoints {
		e := &table.Endpoints[i]
		st := p.board.Get(e.Name)
		if table.Weight(e.Name) > 0 && (st.InFlight > 0 || now.Sub(st.LastEnd) < recent) {
			last[e.Name] = st.LastEnd
			p.inUse = append(p.inUse, e)
		}
	}
	if len(p.inUse) <= mostInUse {
		return
	}
	slices.SortFunc(p.inUse, func(a, b *endpoint.Endpoint) int {
		if c := last[b.Name].Compare(last[a.Name]); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	p.inUse = p.inUse[:mostInUse]
}

// poll reads one report of an endpoint and returns the bytes read.
func (p *Poller) poll(ctx context.Context, e *endpoint.Endpoint) int {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s := p.states[e.Name]
	if s == nil {
		s = new(state)
		p.states[e.Name] = s
	}
	s.polls++
	if e.Kind == endpoint.Engine && s.polls%eventsEvery == 0 {
		return p.events(ctx, e, s)
	}
	r, err := p.client.Load(ctx, e.Address)
	if err != nil {
		p.log.V(1).Info("no load report", "endpoint", e.Name, "error", err.Error())
		return 0
	}
	p.board.Report(e.Name, endpointstats.Load{Queue: r.Queue, Running: r.Running, Slots: r.Slots, Age: r.Age}, time.Now())
	return r.Size
}

func (p *Poller) events(ctx context.Context, e *endpoint.Endpoint, s *state) int {
	events, next, size, err := p.client.Events(ctx, e.Address, s.after)
	if err != nil {
		p.log.V(1).Info("no cache events", "endpoint", e.Name, "error", err.Error())
		return size
	}
	s.after = next
	for _, run := range runs(events) {
		p.board.RecordCacheEvent(e.Name, run.blocks, run.drop)
	}
	return size
}

// run is a number of events of one kind that follow each other.
type run struct {
	drop   bool
	blocks []uint64
}

func runs(events []client.Event) []run {
	var list []run
	for _, v := range events {
		if n := len(list); n == 0 || list[n-1].drop != v.Drop {
			list = append(list, run{drop: v.Drop})
		}
		last := &list[len(list)-1]
		last.blocks = append(last.blocks, v.Block)
	}
	return list
}
