package board_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/routing/board"
	"github.com/jacinthstile/jacinthstile/internal/routing/prefix"
)

var now = time.Date(2026, 5, 4, 9, 0, 0, 0, time.UTC)

func TestResultsChangeWhatIsKnown(t *testing.T) {
	g := NewWithT(t)
	b := board.New()
	b.Start("e", now)
	b.Start("e", now.Add(time.Second))
	st := b.Get("e")
	g.Expect(st.InFlight).To(Equal(2))
	g.Expect(st.Age(now.Add(2 * time.Second))).To(Equal(1500 * time.Millisecond))
	b.Done("e", board.Result{Took: 2 * time.Second, First: time.Second}, now.Add(2*time.Second))
	b.Done("e", board.Result{Took: time.Second, Kind: failure.Errored}, now.Add(2*time.Second))
	st = b.Get("e")
	g.Expect(st.InFlight).To(BeZero())
	g.Expect(st.Age(now.Add(time.Hour))).To(BeZero())
	g.Expect(st.Latency).To(Equal(2*time.Second), "failures say nothing of the latency")
	g.Expect(st.First).To(Equal(time.Second))
	g.Expect(st.Failures).To(Equal(1))
	g.Expect(st.Errors).To(BeNumerically(">", 0))
	g.Expect(st.Calls).To(Equal(uint64(2)))
}

func TestACallGivenUpIsNoFailureButSlow(t *testing.T) {
	g := NewWithT(t)
	b := board.New()
	for _, took := range []time.Duration{time.Second, 9 * time.Second, time.Millisecond} {
		kind := failure.Late
		if took == time.Second {
			kind = 0
		}
		b.Start("e", now)
		b.Done("e", board.Result{Took: took, Kind: kind}, now.Add(took))
	}
	st := b.Get("e")
	g.Expect(st.Failures).To(BeZero())
	g.Expect(st.Latency).To(Equal(2*time.Second), "raised by the long one, not lowered by the short one")
}

func TestReportsAreComparedWithThatMoment(t *testing.T) {
	g := NewWithT(t)
	b := board.New()
	at := now
	for range 5 { // one more call in flight each second
		b.Start("e", at)
		at = at.Add(time.Second)
	}
	b.Report("e", board.Load{Queue: 1, Running: 9, Slots: 16, Age: 2500 * time.Millisecond}, at)
	st := b.Get("e")
	g.Expect(st.Load).To(Equal(10))
	g.Expect(st.Own).To(Equal(3), "own calls in flight 2.5 s ago")
	g.Expect(st.Slots).To(Equal(16))
	b.Report("e", board.Load{Running: 1, Slots: 16, Age: 3 * time.Second}, at)
	g.Expect(b.Get("e").Load).To(Equal(10), "an older report changes nothing")
}

func TestCacheEventsAndResultsAreHints(t *testing.T) {
	g := NewWithT(t)
	b := board.New()
	blocks := []uint64{1, 2, 3}
	b.Start("own", now)
	b.Done("own", board.Result{Took: time.Second, Blocks: blocks}, now)
	b.Start("failed", now)
	b.Done("failed", board.Result{Took: time.Second, Kind: failure.Lost, Blocks: blocks}, now)
	b.Cached("told", blocks[:2], false)
	b.Cached("told", blocks[1:2], true)
	var held [prefix.MostHeld]prefix.Held
	g.Expect(held[:b.Holders(blocks, &held)]).To(ConsistOf(
		prefix.Held{Name: "own", Blocks: 3}, prefix.Held{Name: "told", Blocks: 1}))
}

func TestLeavingIsReplacedAsAWhole(t *testing.T) {
	g := NewWithT(t)
	b := board.New()
	g.Expect(b.Leaving("a")).To(BeFalse())
	b.SetLeaving(map[string]bool{"a": true})
	g.Expect(b.Leaving("a")).To(BeTrue())
	b.SetLeaving(map[string]bool{"b": true})
	g.Expect(b.Leaving("a")).To(BeFalse())
}
