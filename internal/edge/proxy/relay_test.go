package proxy_test

// This file tests requests that another instance serves.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/proxy"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/edge/relays"
	"github.com/jacinthstile/jacinthstile/internal/result/class"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// answer returns a script of another instance that ends a request with a code of its own.
func answer(c code.Code) script { return respond(c.Status(), "", fmt.Sprint(int(c))) }

// cutOff cuts the instance off from its endpoints, and lets others serve its requests. Each of the
// relays is served by the harness, which records them like endpoints.
func (h *harness) cutOff(t *testing.T, instances int) {
	h.reach.Dialed("e", errors.New("refused"), time.Now())
	h.reach.Checked("s", 0, 3, time.Now())
	var list []relays.Relay
	for range instances {
		list = append(list, relays.Relay{Address: h.listen(t), Centre: "a"})
	}
	h.relays.Learn(list, time.Now())
}

// TestRequestsOfACutOffInstance guards against requests that fail as this instance has no path,
// against ones that run twice, and against a promise that a request did not run when it may have.
func TestRequestsOfACutOffInstance(t *testing.T) {
	whole, lost := streamEvents(0, 9, true), script(func(w net.Conn, _ *http.Request) { w.Close() })
	plain := respond(200, "Signed: 1\r\n", "body")
	all := []catalog.Kind{catalog.Idempotent, catalog.NonIdempotent, catalog.Stream}
	for name, c := range map[string]struct {
		kinds   []catalog.Kind
		resume  bool
		scripts []script
		want    code.Code // zero: served
		broken  bool
		sent    int
	}{
		"served":                               {kinds: all[:2], scripts: []script{plain}, sent: 1},
		"stream":                               {kinds: all[2:], scripts: []script{whole}, sent: 1},
		"refused there, served by a third one": {kinds: all[:2], scripts: []script{answer(code.NoEndpoint), plain}, sent: 2},
		"its catalog is older":                 {kinds: all[:2], scripts: []script{answer(code.UnknownService), plain}, sent: 2},
		"refused by all":                       {kinds: all, scripts: []script{answer(code.NoEndpoint), answer(code.NotReady), answer(code.NoEndpoint)}, want: code.NoEndpoint, sent: 3},
		"its key is not known anywhere":        {kinds: all, scripts: []script{answer(code.UnknownAccount), answer(code.UnknownAccount), answer(code.UnknownAccount)}, want: code.NotReady, sent: 3},
		"held back":                            {kinds: all, scripts: []script{answer(code.RequestHeld), plain}, want: code.RequestHeld, sent: 1},
		"no endpoint of its version":           {kinds: all[2:], scripts: []script{answer(code.VersionGone), whole}, want: code.VersionGone, sent: 1},
		"lost, may be repeated":                {kinds: all[:1], scripts: []script{lost, plain}, sent: 2},
		"lost, may not be repeated":            {kinds: all[1:], scripts: []script{lost, plain}, want: code.AnswerLost, sent: 1},
		"lost, then refused":                   {kinds: all[:1], scripts: []script{lost, answer(code.NoEndpoint), answer(code.NoEndpoint)}, want: code.AnswerLost, sent: 3},
		"an answer without a code":             {kinds: all[1:], scripts: []script{respond(503, "", "what?"), plain}, want: code.AnswerBad, sent: 1},
		"stream lost, may be resumed":          {kinds: all[2:], resume: true, scripts: []script{streamEvents(0, 2, false), streamEvents(3, 9, true)}, sent: 2},
		"stream lost, may not be resumed":      {kinds: all[2:], scripts: []script{streamEvents(0, 2, false), whole}, broken: true, sent: 1},
		"failed there":                         {kinds: all[1:], scripts: []script{answer(code.AnswerLost), plain}, want: code.AnswerLost, sent: 1},
	} {
		for _, kind := range c.kinds {
			t.Run(fmt.Sprint(name, ", ", kind), func(t *testing.T) {
				g := NewWithT(t)
				h := newHarness(t, 2, c.scripts...)
				h.cutOff(t, 3)
				w, err := h.serveRequest(kind, 2, c.resume)
				g.Expect(h.sent()).To(Equal(c.sent))
				switch {
				case c.broken:
					g.Expect(err).To(Equal(proxy.ErrStreamBroken))
				case c.want != 0:
					f := fault.From(err)
					g.Expect(f.Code).To(Equal(c.want), f.Error())
					if name == "lost, then refused" || name == "lost, may not be repeated" {
						g.Expect(f.Code.Class()).NotTo(Equal(class.NotRun))
					}
				default:
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(w.Code).To(Equal(200))
					if kind == catalog.Stream {
						g.Expect(countEvents(w)).To(Equal(10))
					}
				}
				h.mu.Lock()
				defer h.mu.Unlock()
				if c.resume {
					g.Expect(h.requests[1].Header.Get("Resume")).To(Equal("2"))
					g.Expect(h.requests[1].Header.Get("Resumes")).To(Equal("c1"))
					g.Expect(h.requests[1].Header.Get("Runs")).To(Equal("1"))
				}
			})
		}
	}
}

// TestNoPathAtAll guards against a request that waits, or that goes round, where no instance is known
// that could serve it: it is tried here. One that another instance sent is not sent on.
func TestNoPathAtAll(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		g := NewWithT(t)
		h := newHarness(t, 1, respond(200, "Signed: 1\r\n", "body"))
		instances := 0
		if relayed {
			instances = 2
		}
		h.cutOff(t, instances)
		req := newRequest(catalog.NonIdempotent, 1, false)
		req.Relayed = relayed
		g.Expect(h.proxy.Serve(context.Background(), req, httptest.NewRecorder())).To(Succeed())
		g.Expect(h.requestedVersions()).To(Equal([]string{"v1"}), "the endpoint got it")
	}
}

// TestRefusedConnectionsAreNotFinal guards against a caller that is told to come back before the
// cut is known: no endpoint takes a connection, and another instance can serve the request.
func TestRefusedConnectionsAreNotFinal(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Idempotent, catalog.NonIdempotent} {
		g := NewWithT(t)
		h := newHarness(t, 0, respond(200, "Signed: 1\r\n", "body"))
		for _, id := range []string{"e0", "e1"} {
			h.registry.Put(registry.Endpoint{ID: id, Service: "s", Address: bindPort(t, 0), Centre: "a", Slots: 8, State: registry.Ready}, time.Now())
		}
		h.relays.Learn([]relays.Relay{{Address: h.listen(t), Centre: "a"}}, time.Now())
		w, err := h.serveRequest(kind, 1, false)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(w.Code).To(Equal(200))
	}
}

// TestRequestThatCrashesAllEndpointsOfAService guards against evidence that is dropped, and against a
// request that another instance repeats, as all endpoints of a small service have crashed under it: that
// looks like a cut from the service.
func TestRequestThatCrashesAllEndpointsOfAService(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		t.Run(fmt.Sprint("partitioned=", partitioned), func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, 1, nil, respond(200, "Signed: 1\r\n", "body"))
			h.scripts[0] = h.crashEndpoint
			if partitioned {
				h.registry.Put(registry.Endpoint{ID: "o", Service: "other", Address: bindPort(t, 0), Centre: "a", Slots: 8, State: registry.Ready}, time.Now())
				h.reach.Suspect([]string{"other"})
				h.reach.Checked("other", 0, 3, time.Now())
			}
			h.relays.Learn([]relays.Relay{{Address: h.listen(t), Centre: "a"}}, time.Now())
			w, err := h.serveRequest(catalog.Idempotent, 2, false)
			if partitioned {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(w.Code).To(Equal(200))
				g.Expect(h.losses).To(BeEmpty())
				return
			}
			g.Expect(fault.From(err).Code).To(Equal(code.AnswerLost))
			g.Expect(h.losses).To(HaveLen(1))
			g.Expect(h.sent()).To(Equal(1))
		})
	}
}
