package poller_test

// This file checks that polls record load reports and cache events in the tracker,
// and that they stay within their byte limit.

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/jacinthstile/jacinthstile/internal/bench/rig"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/poller"
	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
	"github.com/jacinthstile/jacinthstile/internal/routing/prefix"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start runs a poller of the given endpoints until the test ends.
func start(t *testing.T, stats *endpointstats.Tracker, rows ...endpoint.Endpoint) {
	table := rig.Table(rows...)
	if err := table.Freeze(); err != nil {
		t.Fatal(err)
	}
	tables := holder.New()
	tables.Activate(table)
	c, closeClient := client.New()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { poller.New(tables, stats, c, logr.Discard()).Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		closeClient()
	})
}

func serve(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// The next request for cache events must continue after the last number read, and a
// malformed block must not discard the other events.
func TestReportsAndEventsReachTheTracker(t *testing.T) {
	g := NewWithT(t)
	blocks := prefix.Blocks(nil, strings.Repeat("tank log ", 100))
	var mu sync.Mutex
	var afters []string
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/load" {
			fmt.Fprint(w, `{"queue":3,"running":4,"slots":16,"age":1000}`)
			return
		}
		mu.Lock()
		afters = append(afters, r.URL.Query().Get("after"))
		mu.Unlock()
		fmt.Fprintf(w, `{"next":7,"events":[{"seq":6,"block":"%016x"},{"seq":7,"block":"bad"}]}`, blocks[0])
	})
	stats := endpointstats.New()
	start(t, stats, rig.Engine("a", address))
	g.Eventually(func() int { return stats.Get("a").ReportedLoad }, 5*time.Second).Should(Equal(7))
	g.Expect(stats.Get("a").Slots).To(Equal(16))
	g.Eventually(func() int {
		var matches [prefix.MaxMatches]prefix.Match
		return stats.Holders(blocks, &matches)
	}, 5*time.Second).Should(Equal(1))
	g.Eventually(func() []string {
		mu.Lock()
		defer mu.Unlock()
		return append([]string(nil), afters...)
	}, 5*time.Second).Should(ContainElement("7"))
}

// Neither many endpoints nor large responses may raise the traffic of polls above
// the limit of bytes per second.
func TestPollsStayWithinTheirBytes(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	polls := 0
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		polls++
		mu.Unlock()
		if r.URL.Path == "/v1/load" {
			fmt.Fprint(w, `{"slots":16}`)
			return
		}
		fmt.Fprint(w, `{"next":90000,"events":[`)
		for n := range 1000 {
			fmt.Fprintf(w, `{"seq":%d,"block":"%016x","drop":false},`, n+1, n)
		}
		fmt.Fprint(w, `{"seq":1001,"block":"00"}]}`)
	})
	var rows []endpoint.Endpoint
	for n := range 1000 {
		rows = append(rows, rig.Engine(fmt.Sprintf("e%d", n), address))
	}
	stats := endpointstats.New()
	for n := range 100 {
		stats.Start(rows[n].Name, time.Now())
	}
	start(t, stats, rows...)
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	// The burst of 12 KB and 2 s of 6 KB/s, at 500 bytes or more a poll.
	g.Expect(polls).To(BeNumerically("<=", 49))
	g.Expect(polls).To(BeNumerically(">", 5))
}

// An instance without requests doesn't use the reports, so it must poll rarely.
func TestIdleInstancePollsSeldom(t *testing.T) {
	g := NewWithT(t)
	var polls atomic.Int64
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		polls.Add(1)
		fmt.Fprint(w, `{"slots":16}`)
	})
	start(t, endpointstats.New(), rig.Engine("a", address), rig.Engine("b", address))
	time.Sleep(2 * time.Second)
	g.Expect(polls.Load()).To(BeNumerically(">", 0))
	g.Expect(polls.Load()).To(BeNumerically("<=", 5), "one poll at the start and one every 500 ms")
}
