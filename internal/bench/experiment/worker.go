package experiment

// This file defines worker, the fake of an endpoint.

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
)

const (
	blockTokens  = 64                     // tokens of a prompt block
	prefillToken = 400 * time.Microsecond // time for a prompt token that is not cached
	prefillLeast = 30 * time.Millisecond  // time to the first token with all cached
	decodeToken  = 20 * time.Millisecond  // time for a generated token in an empty batch
	batchSlowing = 0.6                    // how much a full batch slows each token, as a share
	cacheBlocks  = 4096                   // blocks in an engine's cache
	serviceTime  = 5 * time.Millisecond   // time of a plain service
	jitter       = 0.2                    // service times vary by up to this share each way
	slowBy       = 10
)

// worker serves calls in slots, the others wait in the order of their arrival.
type worker struct {
	*endpoint.Endpoint
	line    *timeline
	random  *rand.Rand
	slots   int
	cache   *simplelru.LRU[uint64, struct{}]
	running int
	waiting []*attempt
	spent   time.Duration // busy time of calls of counted requests
	wasted  time.Duration // the part of it that gave no answer
	chats   time.Duration // the part of it that generated for chats
	calls   int
	slow    bool
	dead    bool
	failing float64 // share of calls that fail
	cached  func(w *worker, blocks []uint64, drop bool)
	dropped []uint64
	prompt  int // blocks of prompts of counted requests
	hits    int // blocks of them that were cached
	inside  map[*attempt]bool
}

func newWorker(e *endpoint.Endpoint, line *timeline, random *rand.Rand) *worker {
	w := &worker{Endpoint: e, line: line, random: random, slots: e.Limit, inside: make(map[*attempt]bool)}
	if e.Kind == endpoint.Engine {
		w.cache, _ = simplelru.NewLRU(cacheBlocks, func(b uint64, _ struct{}) { w.dropped = append(w.dropped, b) })
	}
	return w
}

func (w *worker) load() endpointstats.Load {
	return endpointstats.Load{Queue: len(w.waiting), Running: w.running, Slots: w.slots}
}

// arrive takes an attempt that has reached the endpoint.
func (w *worker) arrive(a *attempt) {
	if a.ended {
		return
	}
	if w.dead {
		a.fail(failure.Unsent)
		return
	}
	a.reached = true
	w.calls++
	w.inside[a] = true
	w.waiting = append(w.waiting, a)
	w.serve()
}

func (w *worker) serve() {
	for w.running < w.slots && len(w.waiting) > 0 {
		a := w.waiting[0]
		w.waiting = w.waiting[1:]
		w.start(a)
	}
}

func (w *worker) start(a *attempt) {
	w.running++
	a.serving = true
	a.began = w.line.now
	first, whole := w.times(a)
	if w.random.Float64() < w.failing {
		w.line.after(whole/2, func() { w.end(a, func() { a.fail(failure.Errored) }) })
		return
	}
	if first > 0 {
		w.line.after(first, func() { a.token() })
	}
	w.line.after(whole, func() { w.end(a, a.succeed) })
}

// times returns the time to the first token, zero where none streams, and to the last.
func (w *worker) times(a *attempt) (first, whole time.Duration) {
	vary := 1 + jitter*(2*w.random.Float64()-1)
	if w.slow {
		vary *= slowBy
	}
	stage := a.request.stage()
	switch w.Kind {
	case endpoint.Pool:
		return 0, time.Duration(vary * float64(stage.ExpectedTime))
	case endpoint.Service:
		return 0, time.Duration(vary * float64(serviceTime))
	default:
		missed := w.lookUp(a.request.blocks, a.request.counted)
		prefill := prefillLeast + time.Duration(missed*blockTokens)*prefillToken
		batch := 1 + batchSlowing*float64(w.running)/float64(w.slots)
		decode := time.Duration(stage.Tokens) * decodeToken
		first = time.Duration(vary * float64(prefill))
		return first, first + time.Duration(vary*batch*float64(decode))
	}
}

// lookUp returns how many blocks after the longest cached prefix are missing,
// and caches all.
func (w *worker) lookUp(blocks []uint64, counted bool) int {
	held := 0
	for held < len(blocks) && w.cache.Contains(blocks[held]) {
		held++
	}
	if counted {
		w.prompt += len(blocks)
		w.hits += held
	}
	for _, b := range blocks {
		w.cache.Add(b, struct{}{})
	}
	w.cached(w, blocks[held:], false)
	if len(w.dropped) > 0 {
		w.cached(w, w.dropped, true)
		w.dropped = nil
	}
	return len(blocks) - held
}

// end frees the slot of an attempt and lets then tell its sender.
func (w *worker) end(a *attempt, then func()) {
	if !w.inside[a] {
		return
	}
	w.leave(a)
	then()
}

func (w *worker) leave(a *attempt) {
	delete(w.inside, a)
	if !a.serving {
		for i, x := range w.waiting {
			if x == a {
				w.waiting = append(w.waiting[:i:i], w.waiting[i+1:]...)
				return
			}
		}
		return
	}
	w.running--
	a.busy = w.line.now.Sub(a.began)
	if !a.request.counted {
		a.busy = 0
	}
	w.spent += a.busy
	if a.request.chat && w.cache != nil {
		w.chats += a.busy
	}
	w.serve()
}

// cancel ends an attempt that its sender has given up.
func (w *worker) cancel(a *attempt) {
	if w.inside[a] {
		w.leave(a)
		w.wasted += a.busy
	}
}

// die loses all calls inside and refuses connections from now on.
func (w *worker) die() {
	w.dead = true
	w.waiting = nil
	for _, a := range sortedAttempts(w.inside) {
		delete(w.inside, a)
		a.fail(failure.Lost)
	}
	w.running = 0
}
