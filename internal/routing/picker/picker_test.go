package picker_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
	"github.com/jacinthstile/jacinthstile/internal/routing/picker"
	"github.com/jacinthstile/jacinthstile/internal/routing/strategy"
	"github.com/jacinthstile/jacinthstile/internal/table/centre"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/model"
	"github.com/jacinthstile/jacinthstile/internal/table/policy"
)

var now = time.Date(2026, 5, 4, 9, 0, 0, 0, time.UTC)

// tableOf returns a table with n engines spread over ten data centres.
func tableOf(t testing.TB, n int) *fleettable.Table {
	t.Helper()
	table := &fleettable.Table{
		Version: 1,
		Policy:  &policy.Policy{MaxEjected: 0.3, Ticket: 1, Seats: 3},
		Models:  []model.Model{{Name: "m", Version: "1"}},
	}
	for i := range 10 {
		table.Centres = append(table.Centres, centre.Centre{Name: fmt.Sprintf("c%d", i), Weight: 1})
	}
	for i := range n {
		table.Endpoints = append(table.Endpoints, endpoint.Endpoint{
			Name: fmt.Sprintf("e%04d", i), Address: "10.0.0.1:9000", Centre: fmt.Sprintf("c%d", i%10),
			Kind: endpoint.Engine, Role: "generate", Models: []string{"m"}, Weight: 1, Limit: 16, Cost: 4,
		})
	}
	if err := table.Freeze(); err != nil {
		t.Fatal(err)
	}
	return table
}

// TestPickChoosesAllowedEndpointsOnly guards against calls to endpoints of weight
// zero or that are leaving, by any strategy, also when no other endpoint is left
// or tried endpoints may be chosen.
func TestPickChoosesAllowedEndpointsOnly(t *testing.T) {
	for _, r := range []strategy.Strategy{strategy.Random{}, strategy.RoundRobin{}, strategy.LeastInFlight{}, strategy.TwoChoices{}, strategy.Predicted{}} {
		t.Run(fmt.Sprintf("%T", r), func(t *testing.T) {
			g := NewWithT(t)
			s := tableOf(t, 40)
			for i := range s.Endpoints {
				s.Endpoints[i].Weight = 0
			}
			s.Endpoints[7].Weight = 1
			s.Endpoints[8].Weight = 1
			stats := endpointstats.New()
			stats.SetLeaving(map[string]bool{"e0008": true})
			p := picker.New("c0", r, stats, 1)
			for range 50 {
				c := p.Pick(s, picker.Query{Role: "generate", Model: "m", Now: now})
				g.Expect(c.Endpoint).NotTo(BeNil())
				g.Expect(c.Endpoint.Name).To(Equal("e0007"))
			}
			c := p.Pick(s, picker.Query{Role: "generate", Model: "m", Tried: []string{"e0007"}, Now: now})
			g.Expect(c.Endpoint).To(BeNil())
			g.Expect(c.Full).To(BeFalse())
			c = p.Pick(s, picker.Query{Role: "generate", Model: "m", Tried: []string{"e0007"}, AllowTried: true, Now: now})
			g.Expect(c.Endpoint.Name).To(Equal("e0007"), "want the tried endpoint, the only one that is allowed")
			stats.SetLeaving(map[string]bool{"e0007": true, "e0008": true})
			c = p.Pick(s, picker.Query{Role: "generate", Model: "m", Now: now})
			g.Expect(c.Endpoint).To(BeNil())
			g.Expect(c.Full).To(BeFalse())
			stats.SetLeaving(map[string]bool{"e0008": true})
			g.Expect(picker.Allowed(s, stats, "e0007")).To(BeTrue())
			g.Expect(picker.Allowed(s, stats, "e0008")).To(BeFalse(), "the endpoint is leaving")
			g.Expect(picker.Allowed(s, stats, "e0009")).To(BeFalse(), "the endpoint has weight zero")
			g.Expect(picker.Allowed(s, stats, "nobody")).To(BeFalse(), "the endpoint is not in the table")
		})
	}
}

// TestPickReportsFullAtLimits guards against an instance exceeding its share of
// the concurrency limits, and against a full group being reported as unusable, so
// that the call would fail instead of waiting.
func TestPickReportsFullAtLimits(t *testing.T) {
	g := NewWithT(t)
	s := tableOf(t, 3)
	stats := endpointstats.New()
	p := picker.New("c0", strategy.Predicted{}, stats, 1)
	p.SetSeat(0, 4) // a quarter of each limit of 16
	for range 12 {
		c := p.Pick(s, picker.Query{Role: "generate", Model: "m", Now: now})
		g.Expect(c.Endpoint).NotTo(BeNil())
		stats.Start(c.Endpoint.Name, now)
	}
	c := p.Pick(s, picker.Query{Role: "generate", Model: "m", Now: now})
	g.Expect(c.Endpoint).To(BeNil())
	g.Expect(c.Full).To(BeTrue())
	g.Expect(c.Reason.Code).To(Equal(picker.AtLimit))
	stats.Done("e0001", endpointstats.Result{Elapsed: time.Second}, now.Add(time.Second))
	c = p.Pick(s, picker.Query{Role: "generate", Model: "m", Now: now.Add(time.Second)})
	g.Expect(c.Endpoint).NotTo(BeNil())
	g.Expect(c.Endpoint.Name).To(Equal("e0001"))
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 100, 1000, 4000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			s := tableOf(b, n)
			stats := endpointstats.New()
			for i := range s.Endpoints {
				stats.Start(s.Endpoints[i].Name, now)
				stats.Done(s.Endpoints[i].Name, endpointstats.Result{Elapsed: time.Second}, now.Add(time.Second))
				stats.Report(s.Endpoints[i].Name, endpointstats.Load{Running: i % 12, Slots: 16}, now.Add(time.Second))
			}
			p := picker.New("c0", strategy.Predicted{}, stats, 1)
			blocks := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
			stats.RecordCacheEvent("e0003", blocks, false)
			q := picker.Query{Role: "generate", Model: "m", Blocks: blocks, Now: now.Add(2 * time.Second)}
			b.ReportAllocs()
			for b.Loop() {
				if p.Pick(s, q).Endpoint == nil {
					b.Fatal("no endpoint")
				}
			}
		})
	}
}
