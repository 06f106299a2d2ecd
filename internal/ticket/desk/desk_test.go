package desk_test

// This file checks at most once and the class of each answer, over several
// daemons and a network that loses calls and answers.

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/flow/relay"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/kind"
	"github.com/jacinthstile/jacinthstile/internal/peer/mesh"
	"github.com/jacinthstile/jacinthstile/internal/result/class"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/ticket/desk"
	"github.com/jacinthstile/jacinthstile/internal/ticket/store"
)

// init fixes the seed of generated schedules, so that each run gives the same
// verdict; -rapid.seed overrides it.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

const (
	life     = time.Minute
	deadline = 5 * time.Second
	service  = 100 * time.Millisecond
)

var errLost = errors.New("session closed")

// world is a set of daemons by name, and the executions at the endpoint.
type world struct {
	mu     sync.Mutex
	desks  map[string]*desk.Desk
	selves map[string]identity.Identity
	listed map[string]bool
	fate   func(to string) fate // what the network does to a call
	runs   map[string]int       // executions by body
	refuse bool                 // the endpoint is not reached
	delay  time.Duration        // before each execution
}

type fate int

const (
	arrives    fate = iota
	neverSent       // no connection
	lostBefore      // sent, and lost on the way there
	lostAfter       // handled, and the answer lost
)

func newWorld(names ...string) *world {
	w := &world{
		desks: map[string]*desk.Desk{}, selves: map[string]identity.Identity{}, listed: map[string]bool{},
		fate: func(string) fate { return arrives }, runs: map[string]int{},
	}
	for _, n := range names {
		w.start(n)
	}
	return w
}

// start starts a daemon, or one of the same name in its place.
func (w *world) start(name string) {
	self := identity.Identity{Name: name, Incarnation: uint64(time.Now().UnixNano())}
	s := store.New(store.Options{Tickets: 100, Bytes: 1 << 20, Reply: 1 << 16})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.selves[name], w.listed[name] = self, true
	w.desks[name] = desk.New(self, s, w.run, w, w.find, logr.Discard())
}

func (w *world) desk(name string) *desk.Desk {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.desks[name]
}

func (w *world) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *world) find(name string) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return name, w.listed[name]
}

func (w *world) run(ctx context.Context, o relay.Order) (client.Reply, error) {
	time.Sleep(w.delay)
	refuse := false
	w.set(func() { refuse = w.refuse })
	switch {
	case refuse:
		return client.Reply{}, fault.New(code.NoEndpoint, "none")
	case !time.Now().Before(o.Call.Deadline):
		return client.Reply{}, fault.New(code.NoTime, "late")
	}
	w.set(func() { w.runs[string(o.Call.Body)]++ })
	time.Sleep(service)
	return client.Reply{Status: 201, Body: fmt.Appendf(nil, "%s of %s", o.Call.Body, o.Call.Request)}, ctx.Err()
}

func (w *world) CallExact(ctx context.Context, address string, want identity.Identity, _ kind.Kind, in, out proto.Message) error {
	d, f := w.desk(address), w.fate(address)
	var self identity.Identity
	w.set(func() { self = w.selves[address] })
	switch {
	case f == neverSent:
		return &mesh.Unreachable{Address: address, Cause: errLost}
	case self != want:
		return &mesh.Gone{Want: want, Got: self}
	case f == lostBefore:
		return &mesh.Lost{Peer: self, Cause: errLost}
	}
	body, err := proto.Marshal(in)
	if err != nil {
		return err
	}
	answer, err := d.Answer(ctx, identity.Identity{}, body)
	if err != nil || f == lostAfter {
		return &mesh.Lost{Peer: self, Cause: errLost}
	}
	return proto.Unmarshal(answer, out)
}

func order(request, account, body string) relay.Order {
	return relay.Order{Account: account, Service: "booking", Call: client.Plain{
		Request: request, Method: "POST", Path: "/slots", Body: []byte(body), Deadline: time.Now().Add(deadline),
	}}
}

func (w *world) ask(name, text, request, body string) (client.Reply, *fault.Fault) {
	reply, err := w.desk(name).Run(context.Background(), text, order(request, "acme", body))
	if err != nil {
		return client.Reply{}, fault.From(err)
	}
	return reply, nil
}

func TestAnswersOfEachState(t *testing.T) {
	always := func(f fate) func(string) fate { return func(string) fate { return f } }
	for _, c := range []struct {
		name   string
		change func(w *world, text string) (asked string)
		want   code.Code // zero for a reply
		runs   int
	}{
		{"forwarded", func(*world, string) string { return "b" }, 0, 1},
		{"at the issuer", func(*world, string) string { return "a" }, 0, 1},
		{"issuer unreachable", func(w *world, _ string) string { w.fate = always(neverSent); return "b" }, code.TicketUnreachable, 0},
		{"issuer unreachable after a run", func(w *world, text string) string {
			w.ask("b", text, "r0", "x")
			w.fate = always(neverSent)
			return "b"
		}, code.TicketUnreachable, 1},
		{"call lost", func(w *world, _ string) string { w.fate = always(lostBefore); return "b" }, code.AnswerLost, 0},
		{"answer lost", func(w *world, _ string) string { w.fate = always(lostAfter); return "b" }, code.AnswerLost, 1},
		{"answer lost once", func(w *world, _ string) string {
			n := 0
			w.fate = func(string) fate {
				if n++; n == 1 {
					return lostAfter
				}
				return arrives
			}
			return "b"
		}, 0, 1},
		{"issuer off the list", func(w *world, _ string) string { w.listed["a"] = false; return "b" }, code.IssuerGone, 0},
		{"issuer restarted, asked elsewhere", func(w *world, _ string) string { w.start("a"); return "b" }, code.IssuerGone, 0},
		{"issuer restarted, asked there", func(w *world, _ string) string { w.start("a"); return "a" }, code.IssuerGone, 0},
		{"endpoint not reached", func(w *world, _ string) string { w.refuse = true; return "b" }, code.NoEndpoint, 0},
		{"not run is not undone", func(w *world, text string) string {
			w.refuse = true
			w.ask("b", text, "r0", "x")
			w.refuse = false
			return "a"
		}, code.NoEndpoint, 0},
		{"expired unused", func(*world, string) string { time.Sleep(life); return "b" }, code.TicketExpired, 0},
		{"used for another call", func(w *world, text string) string {
			w.ask("b", text, "r0", "y")
			return "b"
		}, code.TicketReused, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				w := newWorld("a", "b")
				text, _, err := w.desks["a"].Issue("acme", life)
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(time.Second)
				_, f := w.ask(c.change(w, text), text, "r1", "x")
				if c.want == 0 {
					g.Expect(f).To(BeNil())
				} else {
					g.Expect(f).NotTo(BeNil())
					g.Expect(f.Code).To(Equal(c.want))
				}
				g.Expect(w.runs["x"]).To(Equal(c.runs))
			})
		})
	}
}

func TestForgedAndForeignTickets(t *testing.T) {
	g := NewWithT(t)
	w := newWorld("a", "b")
	text, _, err := w.desks["a"].Issue("acme", life)
	g.Expect(err).NotTo(HaveOccurred())
	forged := []byte(text)
	forged[len(forged)-8] ^= 1
	for _, name := range []string{"a", "b"} {
		for _, bad := range []string{string(forged), "", "no ticket", text + "AAAA"} {
			_, f := w.ask(name, bad, "r", "x")
			g.Expect(f).NotTo(BeNil(), bad)
			g.Expect(f.Code).To(Equal(code.TicketInvalid), bad)
		}
		_, err := w.desks[name].Run(t.Context(), text, order("r", "other", "x"))
		g.Expect(fault.From(err).Code).To(Equal(code.TicketInvalid))
	}
	g.Expect(w.runs).To(BeEmpty())
}

func TestCallerThatLeavesDoesNotStopTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld("a")
		text, _, err := w.desks["a"].Issue("acme", life)
		g.Expect(err).NotTo(HaveOccurred())
		ctx, leave := context.WithTimeout(t.Context(), service/2)
		defer leave()
		_, err = w.desks["a"].Run(ctx, text, order("r1", "acme", "x"))
		g.Expect(fault.From(err).Code).To(Equal(code.DeadlineOver))
		g.Expect(w.desks["a"].Running()).To(Equal(1))
		reply, f := w.ask("a", text, "r2", "x")
		g.Expect(f).To(BeNil())
		g.Expect(string(reply.Body)).To(Equal("x of r1"), "a repeat waits for the first call")
		g.Expect(w.runs["x"]).To(Equal(1))
	})
}

func TestPausePastTheExpiryDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld("a")
		text, _, err := w.desks["a"].Issue("acme", time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		w.delay = 2 * time.Second // between the claim and the send, within the caller's deadline
		_, f := w.ask("a", text, "r1", "x")
		g.Expect(f).NotTo(BeNil())
		g.Expect(f.Code).To(Equal(code.NoTime))
		g.Expect(w.runs).To(BeEmpty())
	})
}

// use is one use of a ticket in a schedule.
type use struct {
	asked string
	at    time.Duration
}

// plan is a schedule for one ticket.
type plan struct {
	issuer  string
	uses    []use
	refuse  bool // the endpoint is not reached at first
	restart bool // the issuer restarts in the middle
}

func planOf(r *rapid.T, names []string) plan {
	p := plan{
		issuer:  rapid.SampledFrom(names).Draw(r, "issuer"),
		refuse:  rapid.IntRange(0, 5).Draw(r, "refuse") == 0,
		restart: rapid.IntRange(0, 3).Draw(r, "restart") == 0,
	}
	for range rapid.IntRange(1, 5).Draw(r, "uses") {
		p.uses = append(p.uses, use{
			asked: rapid.SampledFrom(names).Draw(r, "asked"),
			at:    time.Duration(rapid.IntRange(0, 400).Draw(r, "at")) * time.Millisecond,
		})
	}
	return p
}

// TestAtMostOnceUnderAnySchedule uses tickets through all daemons at once
// while the network loses calls and answers and issuers restart.
func TestAtMostOnceUnderAnySchedule(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(r *rapid.T) {
		all := []fate{arrives, arrives, neverSent, lostBefore, lostAfter}
		fates := rapid.SliceOfN(rapid.SampledFrom(all), 16, 16).Draw(r, "fates")
		var plans []plan
		for range rapid.IntRange(1, 4).Draw(r, "tickets") {
			plans = append(plans, planOf(r, names))
		}
		var broken string
		synctest.Test(t, func(*testing.T) { broken = carryOut(newWorld(names...), plans, fates) })
		if broken != "" {
			r.Fatal(broken)
		}
	})
}

// carryOut follows the plans and returns a broken promise, or "".
func carryOut(w *world, plans []plan, fates []fate) string {
	var calls atomic.Int64
	w.fate = func(string) fate { return fates[int(calls.Add(1))%len(fates)] }
	var mu sync.Mutex
	notRun := map[string]bool{}
	for i, p := range plans {
		body := fmt.Sprintf("x%d", i)
		text, _, err := w.desk(p.issuer).Issue("acme", life)
		if err != nil {
			return err.Error()
		}
		w.set(func() { w.refuse = p.refuse })
		for k, u := range p.uses {
			go func() {
				time.Sleep(u.at)
				_, f := w.ask(u.asked, text, fmt.Sprintf("r%d", k), body)
				mu.Lock()
				defer mu.Unlock()
				notRun[body] = notRun[body] || f != nil && f.Code.Class() == class.NotRun
			}()
		}
		if p.restart {
			time.Sleep(150 * time.Millisecond)
			w.start(p.issuer)
		}
	}
	time.Sleep(3 * deadline)
	synctest.Wait()
	for body, n := range w.runs {
		if n > 1 {
			return fmt.Sprintf("%s ran %d times, want once", body, n)
		}
		if notRun[body] {
			return body + " ran, and a caller was told that it did not"
		}
	}
	return ""
}
