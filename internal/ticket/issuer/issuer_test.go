package issuer_test

// This file checks that a ticket's call runs at most once and that each failure
// has the right code, with several instances and a network that loses calls and
// responses.

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
	"github.com/jacinthstile/jacinthstile/internal/flow/servicecall"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/peer/transport"
	"github.com/jacinthstile/jacinthstile/internal/result/class"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/ticket/issuer"
	"github.com/jacinthstile/jacinthstile/internal/ticket/store"
)

// init fixes the seed of the generated schedules, so that each test run gives the
// same result. -rapid.seed overrides it.
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

// cluster simulates several instances, the network between them, and one endpoint
// that counts the executions of each call.
type cluster struct {
	mu          sync.Mutex
	issuers     map[string]*issuer.Issuer
	identities  map[string]identity.Identity
	listed      map[string]bool
	delivery    func(to string) delivery // what the network does to a call to that instance
	runs        map[string]int           // number of executions by request body
	unreachable bool                     // the endpoint can't be reached
	delay       time.Duration            // time before each execution
	status      int                      // of the replies
}

// delivery is what the network does to a call between instances.
type delivery int

const (
	delivered    delivery = iota
	neverSent             // no connection, so nothing is sent
	callLost              // sent, but the call is lost
	responseLost          // handled, but the response is lost
)

func newCluster(names ...string) *cluster {
	cl := &cluster{
		issuers: map[string]*issuer.Issuer{}, identities: map[string]identity.Identity{}, listed: map[string]bool{},
		delivery: func(string) delivery { return delivered }, runs: map[string]int{}, status: 201,
	}
	for _, n := range names {
		cl.start(n)
	}
	return cl
}

// start starts an instance. If one of this name runs, it is replaced, as after a
// restart.
func (cl *cluster) start(name string) {
	self := identity.Identity{Name: name, Incarnation: uint64(time.Now().UnixNano())}
	s := store.New(store.Options{MaxTickets: 100, MaxBytes: 1 << 20, MaxReplyBytes: 1 << 16})
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.identities[name], cl.listed[name] = self, true
	cl.issuers[name] = issuer.New(self, s, cl.run, cl, cl.find, logr.Discard())
}

func (cl *cluster) issuer(name string) *issuer.Issuer {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.issuers[name]
}

func (cl *cluster) set(f func()) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	f()
}

func (cl *cluster) find(name string) (string, bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return name, cl.listed[name]
}

func (cl *cluster) run(ctx context.Context, req servicecall.Request) (client.Reply, error) {
	time.Sleep(cl.delay)
	unreachable := false
	cl.set(func() { unreachable = cl.unreachable })
	switch {
	case unreachable:
		return client.Reply{}, fault.New(code.NoEndpoint, "none")
	case !time.Now().Before(req.Call.Deadline):
		return client.Reply{}, fault.New(code.NoTime, "late")
	}
	cl.set(func() { cl.runs[string(req.Call.Body)]++ })
	time.Sleep(service)
	return client.Reply{Status: cl.status, Body: fmt.Appendf(nil, "%s of %s", req.Call.Body, req.Call.RequestID)}, ctx.Err()
}

func (cl *cluster) CallIncarnation(ctx context.Context, address string, want identity.Identity, _ method.Method, in, out proto.Message) error {
	d, f := cl.issuer(address), cl.delivery(address)
	var self identity.Identity
	cl.set(func() { self = cl.identities[address] })
	switch {
	case f == neverSent:
		return &transport.UnreachableError{Address: address, Cause: errLost}
	case self != want:
		return &transport.RestartedError{Want: want, Got: self}
	case f == callLost:
		return &transport.ResponseLostError{Peer: self, Cause: errLost}
	}
	body, err := proto.Marshal(in)
	if err != nil {
		return err
	}
	response, err := d.HandleRun(ctx, identity.Identity{}, body)
	if err != nil || f == responseLost {
		return &transport.ResponseLostError{Peer: self, Cause: errLost}
	}
	return proto.Unmarshal(response, out)
}

func newRequest(request, account, body string) servicecall.Request {
	return servicecall.Request{Account: account, Service: "booking", Call: client.ServiceCall{
		RequestID: request, Method: "POST", Path: "/slots", Body: []byte(body), Deadline: time.Now().Add(deadline),
	}}
}

func (cl *cluster) send(name, text, request, body string) (client.Reply, *fault.Fault) {
	reply, err := cl.issuer(name).Run(context.Background(), text, newRequest(request, "acme", body))
	if err != nil {
		return client.Reply{}, fault.From(err)
	}
	return reply, nil
}

// TestCodeOfEachState uses a ticket after one change to the cluster or to the
// ticket, and checks the code and the number of executions. It guards against a
// second execution, and against the class "not run" where an earlier use of the
// ticket may have run.
func TestCodeOfEachState(t *testing.T) {
	always := func(f delivery) func(string) delivery { return func(string) delivery { return f } }
	for _, c := range []struct {
		name   string
		change func(cl *cluster, text string) (target string) // returns the instance to send the call to
		want   code.Code                                      // zero for a reply
		runs   int
	}{
		{"forwarded", func(*cluster, string) string { return "b" }, 0, 1},
		{"at the issuer", func(*cluster, string) string { return "a" }, 0, 1},
		{"issuer unreachable", func(cl *cluster, _ string) string { cl.delivery = always(neverSent); return "b" }, code.TicketUnreachable, 0},
		{"issuer unreachable after a run", func(cl *cluster, text string) string {
			cl.send("b", text, "r0", "x")
			cl.delivery = always(neverSent)
			return "b"
		}, code.TicketUnreachable, 1},
		{"call lost", func(cl *cluster, _ string) string { cl.delivery = always(callLost); return "b" }, code.AnswerLost, 0},
		{"response lost", func(cl *cluster, _ string) string { cl.delivery = always(responseLost); return "b" }, code.AnswerLost, 1},
		{"response lost once", func(cl *cluster, _ string) string {
			n := 0
			cl.delivery = func(string) delivery {
				if n++; n == 1 {
					return responseLost
				}
				return delivered
			}
			return "b"
		}, 0, 1},
		{"reply with a status that no answer can have", func(cl *cluster, _ string) string { cl.status = 0; return "b" }, code.AnswerLost, 1},
		{"issuer not in the instance list", func(cl *cluster, _ string) string { cl.listed["a"] = false; return "b" }, code.IssuerGone, 0},
		{"issuer restarted, sent to another instance", func(cl *cluster, _ string) string { cl.start("a"); return "b" }, code.IssuerGone, 0},
		{"issuer restarted, sent to the issuer", func(cl *cluster, _ string) string { cl.start("a"); return "a" }, code.IssuerGone, 0},
		{"endpoint unreachable", func(cl *cluster, _ string) string { cl.unreachable = true; return "b" }, code.NoEndpoint, 0},
		{"an outcome of not run stays", func(cl *cluster, text string) string {
			cl.unreachable = true
			cl.send("b", text, "r0", "x")
			cl.unreachable = false
			return "a"
		}, code.NoEndpoint, 0},
		{"expired while unused", func(*cluster, string) string { time.Sleep(life); return "b" }, code.TicketExpired, 0},
		{"used for another call", func(cl *cluster, text string) string {
			cl.send("b", text, "r0", "y")
			return "b"
		}, code.TicketReused, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				cl := newCluster("a", "b")
				text, _, err := cl.issuers["a"].Issue("acme", life)
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(time.Second)
				_, f := cl.send(c.change(cl, text), text, "r1", "x")
				if c.want == 0 {
					g.Expect(f).To(BeNil())
				} else {
					g.Expect(f).NotTo(BeNil())
					g.Expect(f.Code).To(Equal(c.want))
				}
				g.Expect(cl.runs["x"]).To(Equal(c.runs))
			})
		})
	}
}

// A ticket with a changed signature, or one of another account, must run nothing,
// whichever instance gets it.
func TestForgedAndForeignTickets(t *testing.T) {
	g := NewWithT(t)
	cl := newCluster("a", "b")
	text, _, err := cl.issuers["a"].Issue("acme", life)
	g.Expect(err).NotTo(HaveOccurred())
	forged := []byte(text)
	forged[len(forged)-8] ^= 1
	for _, name := range []string{"a", "b"} {
		for _, bad := range []string{string(forged), "", "no ticket", text + "AAAA"} {
			_, f := cl.send(name, bad, "r", "x")
			g.Expect(f).NotTo(BeNil(), bad)
			g.Expect(f.Code).To(Equal(code.TicketInvalid), bad)
		}
		_, err := cl.issuers[name].Run(t.Context(), text, newRequest("r", "other", "x"))
		g.Expect(fault.From(err).Code).To(Equal(code.TicketInvalid))
	}
	g.Expect(cl.runs).To(BeEmpty())
}

// A caller that disconnects can't know whether its call ran. The call must go on,
// so that a repeat under the same ticket gets its outcome rather than a second
// execution.
func TestCallerThatLeavesDoesNotStopTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		cl := newCluster("a")
		text, _, err := cl.issuers["a"].Issue("acme", life)
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(t.Context(), service/2)
		defer cancel()
		_, err = cl.issuers["a"].Run(ctx, text, newRequest("r1", "acme", "x"))
		g.Expect(fault.From(err).Code).To(Equal(code.DeadlineOver))
		g.Expect(cl.issuers["a"].Running()).To(Equal(1))
		reply, f := cl.send("a", text, "r2", "x")
		g.Expect(f).To(BeNil())
		g.Expect(string(reply.Body)).To(Equal("x of r1"), "a repeat must get the outcome of the first execution")
		g.Expect(cl.runs["x"]).To(Equal(1))
	})
}

// A process can be paused between the claim of a ticket and the sending of its
// call. If the ticket expires meanwhile, the call must not be sent.
func TestPausePastTheExpiryDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		cl := newCluster("a")
		text, _, err := cl.issuers["a"].Issue("acme", time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		cl.delay = 2 * time.Second // between the claim and the send, within the caller's deadline
		_, f := cl.send("a", text, "r1", "x")
		g.Expect(f).NotTo(BeNil())
		g.Expect(f.Code).To(Equal(code.NoTime))
		g.Expect(cl.runs).To(BeEmpty())
	})
}

// use is one call with a ticket: the instance that it is sent to, and when.
type use struct {
	target string
	at     time.Duration
}

// plan is the schedule of all uses of one ticket.
type plan struct {
	issuer      string
	uses        []use
	unreachable bool // the endpoint can't be reached
	restart     bool // the issuer restarts between the uses
}

func planOf(r *rapid.T, names []string) plan {
	p := plan{
		issuer:      rapid.SampledFrom(names).Draw(r, "issuer"),
		unreachable: rapid.IntRange(0, 5).Draw(r, "unreachable") == 0,
		restart:     rapid.IntRange(0, 3).Draw(r, "restart") == 0,
	}
	for range rapid.IntRange(1, 5).Draw(r, "uses") {
		p.uses = append(p.uses, use{
			target: rapid.SampledFrom(names).Draw(r, "target"),
			at:     time.Duration(rapid.IntRange(0, 400).Draw(r, "at")) * time.Millisecond,
		})
	}
	return p
}

// TestAtMostOnceUnderAnySchedule uses tickets through all instances concurrently
// while the network loses calls and responses and issuers restart. No call may
// run twice, and no caller may get the class "not run" for a call that ran.
func TestAtMostOnceUnderAnySchedule(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(r *rapid.T) {
		all := []delivery{delivered, delivered, neverSent, callLost, responseLost}
		deliveries := rapid.SliceOfN(rapid.SampledFrom(all), 16, 16).Draw(r, "deliveries")
		var plans []plan
		for range rapid.IntRange(1, 4).Draw(r, "tickets") {
			plans = append(plans, planOf(r, names))
		}
		var violation string
		synctest.Test(t, func(*testing.T) { violation = execute(newCluster(names...), plans, deliveries) })
		if violation != "" {
			r.Fatal(violation)
		}
	})
}

// execute carries out the plans and returns a description of a violated guarantee,
// or "".
func execute(cl *cluster, plans []plan, deliveries []delivery) string {
	var calls atomic.Int64
	cl.delivery = func(string) delivery { return deliveries[int(calls.Add(1))%len(deliveries)] }
	var mu sync.Mutex
	notRun := map[string]bool{}
	for i, p := range plans {
		body := fmt.Sprintf("x%d", i)
		text, _, err := cl.issuer(p.issuer).Issue("acme", life)
		if err != nil {
			return err.Error()
		}
		cl.set(func() { cl.unreachable = p.unreachable })
		for k, u := range p.uses {
			go func() {
				time.Sleep(u.at)
				_, f := cl.send(u.target, text, fmt.Sprintf("r%d", k), body)
				mu.Lock()
				defer mu.Unlock()
				notRun[body] = notRun[body] || f != nil && f.Code.Class() == class.NotRun
			}()
		}
		if p.restart {
			time.Sleep(150 * time.Millisecond)
			cl.start(p.issuer)
		}
	}
	time.Sleep(3 * deadline)
	synctest.Wait()
	for body, n := range cl.runs {
		if n > 1 {
			return fmt.Sprintf("%s ran %d times, want once", body, n)
		}
		if notRun[body] {
			return body + " ran, but a caller got the class \"not run\""
		}
	}
	return ""
}

// TestTicketOfAStoppingInstanceRunsToItsDeadline guards against cutting the deadline
// of a call to the short time within which a ticket of a stopping instance can be used:
// the endpoint takes longer than that time, and the call would get class "unknown".
func TestTicketOfAStoppingInstanceRunsToItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		cl := newCluster("a")
		cl.issuers["a"].LimitUnused(500 * time.Millisecond)
		text, until, err := cl.issuers["a"].Issue("acme", life)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Until(until)).To(BeNumerically("<=", 500*time.Millisecond))
		cl.delay = time.Second
		_, f := cl.send("a", text, "r1", "x")
		g.Expect(f).To(BeNil())
		g.Expect(cl.runs["x"]).To(Equal(1))

		unused, _, err := cl.issuers["a"].Issue("acme", life)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(500 * time.Millisecond)
		g.Expect(cl.issuers["a"].Unused()).To(BeZero())
		_, f = cl.send("a", unused, "r2", "y")
		g.Expect(f).NotTo(BeNil())
		g.Expect(f.Code).To(Equal(code.TicketExpired))
		g.Expect(cl.runs["y"]).To(BeZero())
	})
}
