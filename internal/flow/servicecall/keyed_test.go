package servicecall_test

// This file tests when a call whose response was lost is sent again with its idempotency key.

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/bench/rig"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/flow/servicecall"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
)

// lossyService runs a call once for each idempotency key and loses its first responses: it
// closes the connection instead of responding.
type lossyService struct {
	losses int

	mu       sync.Mutex
	arrivals int
	runs     map[string]int
}

func (f *lossyService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals++
	if key := r.Header.Get(client.HeaderIdempotencyKey); key == "" || f.runs[key] == 0 {
		f.runs[key]++
	}
	if f.arrivals <= f.losses {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(client.HeaderRequest, r.Header.Get(client.HeaderRequest))
	w.WriteHeader(http.StatusCreated)
}

// Guards against a non-idempotent call that is run twice because its response was lost. It
// may be sent again only to an endpoint that recognises idempotency keys, with the same
// key, and only once.
func TestLostResponseIsRequestedAgainOnlyByKey(t *testing.T) {
	for _, c := range []struct {
		name     string
		keyed    bool
		losses   int
		want     code.Code // zero if a reply is wanted
		arrivals int
	}{
		{"keyed", true, 1, 0, 2},
		{"keyed, lost twice", true, 2, code.AnswerLost, 2},
		{"not keyed", false, 1, code.AnswerLost, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := &lossyService{losses: c.losses, runs: map[string]int{}}
			server := httptest.NewServer(f)
			defer server.Close()
			table := rig.Table(endpoint.Endpoint{
				Name: "book-1", Address: strings.TrimPrefix(server.URL, "http://"),
				Kind: endpoint.Service, Role: rig.Service, Limit: 4, SupportsIdempotencyKeys: c.keyed,
			})
			g.Expect(table.Freeze()).To(Succeed())
			r, closeRig := rig.New(table, logr.Discard())
			defer closeRig()
			_, err := r.Sender.Send(t.Context(), servicecall.Request{Account: rig.Account, Service: rig.Service, Call: client.ServiceCall{
				RequestID: "r1", Method: http.MethodPost, Path: "/reserve", IdempotencyKey: "ticket-1", Deadline: time.Now().Add(2 * time.Second),
			}})
			if c.want == 0 {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(fault.From(err).Code).To(Equal(c.want))
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			g.Expect(f.arrivals).To(Equal(c.arrivals))
			for key, n := range f.runs {
				g.Expect(n).To(Equal(1), "runs of key %q", key)
			}
		})
	}
}
