// Package poller fetches the load reports and prefix-cache events of endpoints and
// records them in endpointstats.Tracker. Its traffic stays within a fixed number of
// bytes per second, however many endpoints the table has.
package poller

// This file defines Poller and its polling loop.

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
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
)

const (
	bytesPerSecond = 6 << 10  // average bytes per second of all polls
	burstBytes     = 12 << 10 // bytes that may be spent at once after a time without polls
	pollOverhead   = 500      // bytes of the headers and packets of one poll
	pollTimeout    = 300 * time.Millisecond
	chooseInterval = time.Second            // interval at which the endpoints in use are determined
	inUsePeriod    = 15 * time.Second       // an endpoint counts as in use this long after a call
	maxInUse       = 48                     // at most this many endpoints in use are polled: those called most recently
	otherEvery     = 8                      // one poll in otherEvery goes to an endpoint that may be unused
	eventsEvery    = 2                      // one poll in eventsEvery of an engine reads its cache events, the others its load
	emptyDelay     = time.Second            // delay if the table has no endpoint to poll
	unusedDelay    = 500 * time.Millisecond // delay between polls while no endpoint is in use
)

// Poller polls the endpoints that this instance uses in turn, and occasionally the
// other endpoints of the table. Run may be called only once; it alone uses the second
// group of fields.
type Poller struct {
	tables     *holder.Holder
	stats      *endpointstats.Tracker
	client     *client.Client
	log        logr.Logger
	limiter    *rate.Limiter
	totalBytes atomic.Int64 // bytes spent on polls

	table      *fleettable.Table
	lastChoice time.Time            // time of the last call of choose
	inUse      []*endpoint.Endpoint // endpoints that this instance called recently
	inUseIndex int                  // index in inUse of the endpoint polled last
	otherIndex int                  // index in the table's endpoints, for nextOther
	polls      int                  // number of polls
	states     map[string]*state    // by endpoint name
}

// state is the polling state of one endpoint.
type state struct {
	polls int    // number of polls of the endpoint
	after uint64 // number of the last cache event read
}

// New returns a poller of the endpoints in the current table of t. It records what
// it reads in stats.
func New(t *holder.Holder, stats *endpointstats.Tracker, c *client.Client, log logr.Logger) *Poller {
	return &Poller{
		tables: t, stats: stats, client: c, log: log,
		limiter: rate.NewLimiter(bytesPerSecond, burstBytes),
		states:  make(map[string]*state),
	}
}

// Bytes returns the bytes spent on polls since the start, with an estimate of the
// headers. It may be called while Run runs.
func (p *Poller) Bytes() int64 { return p.totalBytes.Load() }

// Run polls until ctx ends, one endpoint at a time.
func (p *Poller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		e := p.next(time.Now())
		if e == nil {
			pause.For(ctx, emptyDelay)
			continue
		}
		size := pollOverhead + p.poll(ctx, e)
		p.totalBytes.Add(int64(size))
		if p.limiter.WaitN(ctx, min(size, burstBytes)) != nil {
			return
		}
		if len(p.inUse) == 0 {
			pause.For(ctx, unusedDelay)
		}
	}
}

// next returns the endpoint to poll now, or nil if there is none.
func (p *Poller) next(now time.Time) *endpoint.Endpoint {
	table := p.tables.Current()
	if table == nil || len(table.Endpoints) == 0 {
		return nil
	}
	if table != p.table || now.Sub(p.lastChoice) >= chooseInterval {
		p.choose(table, now)
	}
	p.polls++
	if len(p.inUse) == 0 || p.polls%otherEvery == 0 {
		return p.nextOther()
	}
	p.inUseIndex = (p.inUseIndex + 1) % len(p.inUse)
	return p.inUse[p.inUseIndex]
}

// nextOther returns the next endpoint in the order of the table that has a weight
// above zero.
func (p *Poller) nextOther() *endpoint.Endpoint {
	for range p.table.Endpoints {
		p.otherIndex = (p.otherIndex + 1) % len(p.table.Endpoints)
		if e := &p.table.Endpoints[p.otherIndex]; p.table.Weight(e.Name) > 0 {
			return e
		}
	}
	return nil
}

// choose determines the endpoints in use: those with calls in flight or a recent
// call, at most maxInUse of them. It removes the state of endpoints that have left
// the table.
func (p *Poller) choose(table *fleettable.Table, now time.Time) {
	if table != p.table {
		for name := range p.states {
			if table.Endpoint(name) == nil {
				delete(p.states, name)
			}
		}
	}
	p.table, p.lastChoice = table, now
	p.inUse = p.inUse[:0]
	last := make(map[string]time.Time)
	for i := range table.Endpoints {
		e := &table.Endpoints[i]
		st := p.stats.Get(e.Name)
		if table.Weight(e.Name) > 0 && (st.InFlight > 0 || now.Sub(st.LastEnd) < inUsePeriod) {
			last[e.Name] = st.LastEnd
			p.inUse = append(p.inUse, e)
		}
	}
	if len(p.inUse) <= maxInUse {
		return
	}
	slices.SortFunc(p.inUse, func(a, b *endpoint.Endpoint) int {
		if c := last[b.Name].Compare(last[a.Name]); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	p.inUse = p.inUse[:maxInUse]
}

// poll reads the load report or the cache events of an endpoint and returns the
// number of bytes read.
func (p *Poller) poll(ctx context.Context, e *endpoint.Endpoint) int {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
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
	r, err := p.client.FetchLoad(ctx, e.Address)
	if err != nil {
		p.log.V(1).Info("reading the load report of an endpoint failed", "endpoint", e.Name, "error", err.Error())
		return 0
	}
	p.stats.Report(e.Name, endpointstats.Load{Queue: r.Queue, Running: r.Running, Slots: r.Slots, Age: r.Age}, time.Now())
	return r.Size
}

func (p *Poller) events(ctx context.Context, e *endpoint.Endpoint, s *state) int {
	events, next, size, err := p.client.FetchEvents(ctx, e.Address, s.after)
	if err != nil {
		p.log.V(1).Info("reading the cache events of an endpoint failed", "endpoint", e.Name, "error", err.Error())
		return size
	}
	s.after = next
	for _, run := range runs(events) {
		p.stats.RecordCacheEvent(e.Name, run.blocks, run.drop)
	}
	return size
}

// run is a sequence of consecutive cache events that are all stores or all drops.
type run struct {
	drop   bool
	blocks []uint64
}

// runs groups consecutive events of the same kind, in order.
func runs(events []client.CacheEvent) []run {
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
