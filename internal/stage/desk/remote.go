package desk

// This file hands orders to another instance.

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/proxy"
	"github.com/jacinthstile/jacinthstile/internal/peer/kind"
	"github.com/jacinthstile/jacinthstile/internal/peer/mesh"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/stage/stagepb"
)

const (
	newsEvery = 25 * time.Millisecond // that news is gathered before it is sent
	newsLimit = time.Second           // of one sending
	mostNews  = 4096                  // requests that news waits for; more is left to time
)

// remote is another instance that gathers, or did.
type remote struct {
	address string
	ctx     context.Context // ends when the instance is taken for lost
	lose    context.CancelFunc
	open    atomic.Int64 // orders that it works on

	mu      sync.Mutex
	started []string
	ended   []string
	sending bool
}

func (d *Desk) remote(address string) *remote {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.remotes[address]
	if r == nil || r.ctx.Err() != nil {
		r = &remote{address: address}
		r.ctx, r.lose = context.WithCancel(context.Background())
		d.remotes[address] = r
	}
	return r
}

// errLost tells that an instance was lost while it worked on an order.
var errLost = errors.New("the gathering instance fell silent")

// lost reports whether another instance should be asked after an error.
func lost(err error) bool {
	var f *fault.Fault
	return !errors.As(err, &f)
}

func (d *Desk) ask(ctx context.Context, r *remote, round proxy.Round) (proxy.Prepared, error) {
	r.open.Add(1)
	defer r.open.Add(-1)
	id := nameOf(round)
	out := new(stagepb.Outcome)
	if err := d.send(ctx, r, kind.StageOrder, encodeOrder(round), out); err != nil {
		d.tell(r, nil, []string{id})
		return proxy.Prepared{}, err
	}
	return d.taken(r, id, out)
}

// send makes one call, which ends when the instance is taken for lost.
func (d *Desk) send(ctx context.Context, r *remote, k kind.Kind, in, out message) error {
	both, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(r.ctx, cancel)
	defer stop()
	_, err := d.mesh.Call(both, r.address, k, in, out)
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if r.ctx.Err() != nil {
		return errLost
	}
	var unreachable *mesh.Unreachable
	if errors.As(err, &unreachable) {
		d.election.Failed(r.address)
	}
	return err
}

func (d *Desk) taken(r *remote, id string, out *stagepb.Outcome) (proxy.Prepared, error) {
	if out.Code != 0 {
		bad := fault.New(code.Code(out.Code), "%s", out.Reason)
		bad.After = time.Duration(out.AfterMs) * time.Millisecond
		return proxy.Prepared{}, bad
	}
	return proxy.Prepared{
		Inputs: out.Handles, Prefer: out.Engine,
		Started: func() { d.tell(r, []string{id}, nil) },
		Ended:   func() { d.tell(r, nil, []string{id}) },
	}, nil
}

// tell sends news, gathered for a short time.
func (d *Desk) tell(r *remote, started, ended []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.started)+len(r.ended) > mostNews {
		return
	}
	r.started = append(r.started, started...)
	r.ended = append(r.ended, ended...)
	if !r.sending {
		r.sending = true
		time.AfterFunc(newsEvery, func() { d.sendNews(r) })
	}
}

func (d *Desk) sendNews(r *remote) {
	r.mu.Lock()
	news := &stagepb.News{Started: r.started, Ended: r.ended}
	r.started, r.ended, r.sending = nil, nil, false
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(r.ctx, newsLimit)
	defer cancel()
	if _, err := d.mesh.Call(ctx, r.address, kind.StageNews, news, new(stagepb.News)); err != nil {
		d.log.V(1).Info("news lost, the results end by themselves", "leader", r.address, "requests", len(news.Started)+len(news.Ended),
			"reason", err.Error())
	}
}
