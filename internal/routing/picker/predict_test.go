package picker_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/routing/board"
	"github.com/jacinthstile/jacinthstile/internal/routing/picker"
	"github.com/jacinthstile/jacinthstile/internal/routing/rule"
)

// known returns a board on which n endpoints each answered one call in a second.
func known(n int) *board.Board {
	b := board.New()
	for i := range n {
		name := fmt.Sprintf("e%04d", i)
		b.Start(name, now.Add(-time.Second))
		b.Done(name, board.Result{Took: time.Second, First: 400 * time.Millisecond}, now)
	}
	return b
}

// counts picks n times at the same moment and counts the names.
func counts(t *testing.T, endpoints int, b *board.Board, q picker.Query, n int) map[string]int {
	t.Helper()
	s := tableOf(t, endpoints)
	p := picker.New("c0", rule.Predicted{}, b, 1)
	q.Role, q.Model = "generate", "m"
	if q.Now.IsZero() {
		q.Now = now
	}
	got := map[string]int{}
	for range n {
		c := p.Pick(s, q)
		if c.Endpoint == nil {
			t.Fatalf("got none: %s", c.Reason)
		}
		got[c.Endpoint.Name]++
	}
	return got
}

func TestPredictedAvoids(t *testing.T) {
	const bad = "e0001"
	for _, c := range []struct {
		name   string
		change func(*board.Board)
	}{
		{"a slow endpoint", func(b *board.Board) {
			for range 20 {
				b.Start(bad, now.Add(-10*time.Second))
				b.Done(bad, board.Result{Took: 10 * time.Second}, now)
			}
		}},
		{"one whose call has not ended", func(b *board.Board) { b.Start(bad, now.Add(-10*time.Second)) }},
		{"one that failed", func(b *board.Board) {
			b.Start(bad, now)
			b.Done(bad, board.Result{Kind: failure.Lost}, now)
		}},
		{"one that others have filled", func(b *board.Board) {
			b.Report(bad, board.Load{Queue: 4, Running: 16, Slots: 16}, now)
		}},
		{"one that leaves", func(b *board.Board) { b.SetLeaving(map[string]bool{bad: true}) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := known(4)
			c.change(b)
			got := counts(t, 4, b, picker.Query{}, 50)
			g.Expect(got[bad]).To(BeZero(), "%v", got)
			g.Expect(got).To(HaveLen(3), "ties are broken at random")
		})
	}
}

func TestCachedPrefixDrawsButYieldsToLoad(t *testing.T) {
	g := NewWithT(t)
	blocks := []uint64{1, 2, 3, 4}
	b := known(4)
	b.Cached("e0002", blocks, false)
	q := picker.Query{Blocks: blocks}
	g.Expect(counts(t, 4, b, q, 20)).To(Equal(map[string]int{"e0002": 20}))
	b.Report("e0002", board.Load{Queue: 12, Running: 16, Slots: 16}, now)
	g.Expect(counts(t, 4, b, q, 20)).NotTo(HaveKey("e0002"))
}

func TestOldReportCountsLess(t *testing.T) {
	g := NewWithT(t)
	b := known(4)
	b.Report("e0002", board.Load{Running: 16, Slots: 16}, now)
	g.Expect(counts(t, 4, b, picker.Query{}, 20)).NotTo(HaveKey("e0002"))
	s := tableOf(t, 4)
	p := picker.New("c0", rule.Predicted{}, b, 1)
	load := func(at time.Time) float64 {
		q := picker.Query{Role: "generate", Model: "m", Tried: []string{"e0000", "e0001", "e0003"}, Now: at}
		return p.Pick(s, q).Reason.Load
	}
	g.Expect(load(now)).To(BeNumerically("~", 16, 0.1))
	g.Expect(load(now.Add(20 * time.Second))).To(BeNumerically("<", 4))
}

func TestManyEndpointsAreNotHerded(t *testing.T) {
	g := NewWithT(t)
	got := counts(t, 1000, known(1000), picker.Query{}, 200)
	g.Expect(len(got)).To(BeNumerically(">", 50))
}

func TestNearCentreIsPreferred(t *testing.T) {
	for _, n := range []int{20, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := NewWithT(t)
			s := tableOf(t, n)
			for i := range s.Centres[1:] {
				s.Centres[1+i].Far = map[string]span.Span{"c0": span.Span(30 * time.Millisecond)}
			}
			p := picker.New("c0", rule.Predicted{}, known(n), 1)
			for range 100 {
				c := p.Pick(s, picker.Query{Role: "generate", Model: "m", Now: now})
				g.Expect(c.Endpoint.Centre).To(Equal("c0"))
			}
		})
	}
}

func TestSeatOutsideHasNoShare(t *testing.T) {
	g := NewWithT(t)
	p := picker.New("c0", rule.Predicted{}, board.New(), 1)
	p.Seat(7, 0)
	c := p.Pick(tableOf(t, 4), picker.Query{Role: "generate", Model: "m", Now: now})
	g.Expect(c.Endpoint).To(BeNil())
	g.Expect(c.Full).To(BeFalse(), "no wait would help")
	g.Expect(c.Reason.Ground).To(Equal(picker.NoShare))
}

// With more seats than a limit has places, an instance still finds its own few
// places among thousands of rows, and all instances together keep the limits.
func TestManySeatsKeepTheLimits(t *testing.T) {
	g := NewWithT(t)
	const seats, limit = 420, 16
	s := tableOf(t, 400)
	flying := map[string]int{}
	for seat := range seats {
		b := board.New()
		p := picker.New("c0", rule.Predicted{}, b, uint64(seat))
		p.Seat(seat, seats)
		own := 0
		for {
			c := p.Pick(s, picker.Query{Role: "generate", Model: "m", Now: now})
			if c.Endpoint == nil {
				break
			}
			b.Start(c.Endpoint.Name, now)
			flying[c.Endpoint.Name]++
			own++
		}
		g.Expect(own).To(BeNumerically(">", 0), "seat %d", seat)
	}
	for name, n := range flying {
		g.Expect(n).To(BeNumerically("<=", limit), name)
	}
}

func TestReasonSaysWhy(t *testing.T) {
	g := NewWithT(t)
	p := picker.New("c0", rule.Predicted{}, known(4), 1)
	s := tableOf(t, 4)
	c := p.Pick(s, picker.Query{Role: "generate", Model: "m", Now: now})
	g.Expect(c.Reason.String()).To(Equal("least predicted: wait 0s, service 1s, load 0.0, cached 0/0, seen 4/4"))
	c = p.Pick(s, picker.Query{Role: "nothing", Now: now})
	g.Expect(c.Reason.String()).To(Equal("no endpoint in the table: seen 0/0"))
}

func TestUsualDecisionAllocatesNothing(t *testing.T) {
	g := NewWithT(t)
	s := tableOf(t, 4000)
	b := known(4000)
	blocks := []uint64{1, 2, 3, 4}
	b.Cached("e0003", blocks, false)
	p := picker.New("c0", rule.Predicted{}, b, 1)
	q := picker.Query{Role: "generate", Model: "m", Blocks: blocks, Now: now}
	p.Pick(s, q)
	g.Expect(testing.AllocsPerRun(1000, func() { p.Pick(s, q) })).To(BeZero())
}

func TestDecisionsAreSafeTogether(t *testing.T) {
	s := tableOf(t, 100)
	b := known(100)
	p := picker.New("c0", rule.Predicted{}, b, 1)
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			for k := range 200 {
				at := now.Add(time.Duration(k) * 10 * time.Millisecond)
				c := p.Pick(s, picker.Query{Role: "generate", Model: "m", Blocks: []uint64{uint64(i)}, Now: at})
				if c.Endpoint == nil {
					continue
				}
				b.Start(c.Endpoint.Name, at)
				b.Report(c.Endpoint.Name, board.Load{Running: 1, Slots: 16}, at)
				b.Done(c.Endpoint.Name, board.Result{Took: time.Second, Blocks: []uint64{uint64(i)}}, at)
			}
		})
	}
	group.Wait()
	for i := range s.Endpoints {
		if st := b.Get(s.Endpoints[i].Name); st.InFlight != 0 {
			t.Errorf("got %d calls in flight at %s, want 0", st.InFlight, s.Endpoints[i].Name)
		}
	}
}
