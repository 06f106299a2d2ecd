package servicecall_test

// This file tests which requests to plain services are retried.

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/bench/rig"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/flow/servicecall"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// Guards against a non-idempotent request that is run twice: it may be retried only if a
// trusted endpoint reported that it did not run it. Idempotent requests are retried after a
// lost response and after an error status.
func TestOnlySafeRequestsAreRetried(t *testing.T) {
	lost := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	broken := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }
	refused := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(client.HeaderNotRun, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	for _, c := range []struct {
		name       string
		bad        http.HandlerFunc
		idempotent bool
		trusted    bool
		sends      int64
		code       code.Code // zero if a reply is wanted
	}{
		{"idempotent and lost", lost, true, false, 2, 0},
		{"idempotent and broken", broken, true, false, 2, 0},
		{"non-idempotent and lost", lost, false, true, 1, code.AnswerLost},
		{"non-idempotent and broken", broken, false, true, 1, 0},
		{"non-idempotent, refused by a trusted endpoint", refused, false, true, 2, 0},
		{"non-idempotent, refused by an untrusted endpoint", refused, false, false, 1, code.AnswerLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var sends atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(client.HeaderRequest, r.Header.Get(client.HeaderRequest))
				if sends.Add(1) == 1 {
					c.bad(w, r)
					return
				}
				io.WriteString(w, "done")
			}))
			defer s.Close()
			a, b := rig.Worker("a", s.Listener.Addr().String()), rig.Worker("b", s.Listener.Addr().String())
			a.RefusalMeansNotRun, b.RefusalMeansNotRun = c.trusted, c.trusted
			table := rig.Table(a, b)
			g.Expect(table.Freeze()).To(Succeed())
			r, closeRig := rig.New(table, logr.Discard())
			defer closeRig()
			_, err := r.Sender.Send(t.Context(), servicecall.Request{
				Account: rig.Account, Service: rig.Service, Idempotent: c.idempotent,
				Call: client.ServiceCall{
					RequestID: "r", Method: http.MethodPost, Path: "/book", Deadline: time.Now().Add(5 * time.Second),
				},
			})
			g.Expect(sends.Load()).To(Equal(c.sends))
			if c.code == 0 {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(fault.From(err).Code).To(Equal(c.code))
		})
	}
}
