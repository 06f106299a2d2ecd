package routingsim

// This file defines fakeEndpoint, the model of an endpoint.

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
)

const (
	blockTokens       = 64                     // number of tokens in a prompt block
	prefillTokenTime  = 400 * time.Microsecond // prefill time of a prompt token that is not cached
	minPrefillTime    = 30 * time.Millisecond  // time to the first token if the whole prompt is cached
	decodeTokenTime   = 20 * time.Millisecond  // time for each generated token in an otherwise empty batch
	fullBatchSlowdown = 0.6                    // additional time for each token in a full batch, as a share of decodeTokenTime
	engineCacheBlocks = 4096                   // capacity of an engine's prefix cache
	serviceTime       = 5 * time.Millisecond   // time of a call to a plain service
	jitter            = 0.2                    // service times vary by up to this share in both directions
	slowFactor        = 10                     // multiple of the service times with the fault SlowEngine
)

// fakeEndpoint is the model of an endpoint. It serves as many calls at once as it has
// slots; further calls wait in the order of their arrival.
type fakeEndpoint struct {
	*endpoint.Endpoint
	loop         *eventLoop
	rng          *rand.Rand
	slots        int
	prefixCache  *simplelru.LRU[uint64, struct{}] // by block hash; nil unless the endpoint is an engine
	running      int                              // calls that occupy a slot
	waiting      []*attempt
	busyTime     time.Duration // busy time of calls of measured requests
	wastedTime   time.Duration // the part of busyTime whose result was not used
	chatTime     time.Duration // the part of busyTime spent on generation for chats
	calls        int           // calls received
	slow         bool
	dead         bool
	failureShare float64 // share of calls that fail
	// onCacheEvent is called when blocks were added to the prefix cache or, with drop
	// set, evicted from it.
	onCacheEvent func(ep *fakeEndpoint, blocks []uint64, drop bool)
	evicted      []uint64          // blocks evicted since the last cache event
	promptBlocks int               // blocks in the prompts of measured requests
	cachedBlocks int               // the part of promptBlocks that was cached
	accepted     map[*attempt]bool // attempts that wait or run
}

func newFakeEndpoint(e *endpoint.Endpoint, loop *eventLoop, rng *rand.Rand) *fakeEndpoint {
	ep := &fakeEndpoint{Endpoint: e, loop: loop, rng: rng, slots: e.Limit, accepted: make(map[*attempt]bool)}
	if e.Kind == endpoint.Engine {
		ep.prefixCache, _ = simplelru.NewLRU(engineCacheBlocks, func(b uint64, _ struct{}) { ep.evicted = append(ep.evicted, b) })
	}
	return ep
}

func (ep *fakeEndpoint) load() endpointstats.Load {
	return endpointstats.Load{Queue: len(ep.waiting), Running: ep.running, Slots: ep.slots}
}

// receive accepts an attempt that has arrived at the endpoint. A crashed endpoint
// refuses the connection.
func (ep *fakeEndpoint) receive(a *attempt) {
	if a.ended {
		return
	}
	if ep.dead {
		a.fail(failure.Unsent)
		return
	}
	a.delivered = true
	ep.calls++
	ep.accepted[a] = true
	ep.waiting = append(ep.waiting, a)
	ep.startWaiting()
}

// startWaiting starts waiting calls while slots are free.
func (ep *fakeEndpoint) startWaiting() {
	for ep.running < ep.slots && len(ep.waiting) > 0 {
		a := ep.waiting[0]
		ep.waiting = ep.waiting[1:]
		ep.start(a)
	}
}

// start starts to serve a call and schedules its first token and its end. A call that
// is to fail does so after half of its service time.
func (ep *fakeEndpoint) start(a *attempt) {
	ep.running++
	a.serving = true
	a.started = ep.loop.now
	firstToken, total := ep.serviceTimes(a)
	if ep.rng.Float64() < ep.failureShare {
		ep.loop.schedule(total/2, func() { ep.endAttempt(a, func() { a.fail(failure.Errored) }) })
		return
	}
	if firstToken > 0 {
		ep.loop.schedule(firstToken, func() { a.reportFirstToken() })
	}
	ep.loop.schedule(total, func() { ep.endAttempt(a, a.succeed) })
}

// serviceTimes returns the time from the start of a call to its first token, which is
// zero if the endpoint is not an engine, and the time to its end.
func (ep *fakeEndpoint) serviceTimes(a *attempt) (firstToken, total time.Duration) {
	variation := 1 + jitter*(2*ep.rng.Float64()-1)
	if ep.slow {
		variation *= slowFactor
	}
	stage := a.request.stage()
	switch ep.Kind {
	case endpoint.Pool:
		return 0, time.Duration(variation * float64(stage.ExpectedTime))
	case endpoint.Service:
		return 0, time.Duration(variation * float64(serviceTime))
	default:
		uncached := ep.cachePrompt(a.request.blocks, a.request.measured)
		prefill := minPrefillTime + time.Duration(uncached*blockTokens)*prefillTokenTime
		batch := 1 + fullBatchSlowdown*float64(ep.running)/float64(ep.slots)
		decode := time.Duration(stage.Tokens) * decodeTokenTime
		firstToken = time.Duration(variation * float64(prefill))
		return firstToken, firstToken + time.Duration(variation*batch*float64(decode))
	}
}

// cachePrompt returns how many blocks of a prompt come after its longest cached
// prefix, and adds all blocks to the cache. Blocks of measured requests are counted.
func (ep *fakeEndpoint) cachePrompt(blocks []uint64, measured bool) int {
	cached := 0
	for cached < len(blocks) && ep.prefixCache.Contains(blocks[cached]) {
		cached++
	}
	if measured {
		ep.promptBlocks += len(blocks)
		ep.cachedBlocks += cached
	}
	for _, b := range blocks {
		ep.prefixCache.Add(b, struct{}{})
	}
	ep.onCacheEvent(ep, blocks[cached:], false)
	if len(ep.evicted) > 0 {
		ep.onCacheEvent(ep, ep.evicted, true)
		ep.evicted = nil
	}
	return len(blocks) - cached
}

// endAttempt removes an attempt and calls onEnd, which notifies the instance. It does
// nothing if the attempt was cancelled or lost before.
func (ep *fakeEndpoint) endAttempt(a *attempt, onEnd func()) {
	if !ep.accepted[a] {
		return
	}
	ep.remove(a)
	onEnd()
}

// remove removes an attempt from the waiting calls, or frees its slot and records its
// busy time.
func (ep *fakeEndpoint) remove(a *attempt) {
	delete(ep.accepted, a)
	if !a.serving {
		for i, x := range ep.waiting {
			if x == a {
				ep.waiting = append(ep.waiting[:i:i], ep.waiting[i+1:]...)
				return
			}
		}
		return
	}
	ep.running--
	a.busyTime = ep.loop.now.Sub(a.started)
	if !a.request.measured {
		a.busyTime = 0
	}
	ep.busyTime += a.busyTime
	if a.request.isChat && ep.prefixCache != nil {
		ep.chatTime += a.busyTime
	}
	ep.startWaiting()
}

// cancel ends an attempt that its instance no longer waits for.
func (ep *fakeEndpoint) cancel(a *attempt) {
	if ep.accepted[a] {
		ep.remove(a)
		ep.wastedTime += a.busyTime
	}
}

// crash loses all accepted calls. From now on the endpoint refuses connections.
func (ep *fakeEndpoint) crash() {
	ep.dead = true
	ep.waiting = nil
	for _, a := range sortedAttempts(ep.accepted) {
		delete(ep.accepted, a)
		a.fail(failure.Lost)
	}
	ep.running = 0
}
