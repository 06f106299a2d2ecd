package endpointstats_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
	"github.com/jacinthstile/jacinthstile/internal/routing/prefix"
)

var now = time.Date(2026, 5, 4, 9, 0, 0, 0, time.UTC)

// TestResultsUpdateStats guards against in-flight counts or start times that are
// left behind when calls end, and against failed calls that change the latency.
func TestResultsUpdateStats(t *testing.T) {
	g := NewWithT(t)
	tr := endpointstats.New()
	tr.Start("e", now)
	tr.Start("e", now.Add(time.Second))
	st := tr.Get("e")
	g.Expect(st.InFlight).To(Equal(2))
	g.Expect(st.InFlightAge(now.Add(2 * time.Second))).To(Equal(1500 * time.Millisecond))
	tr.Done("e", endpointstats.Result{Elapsed: 2 * time.Second, FirstToken: time.Second}, now.Add(2*time.Second))
	tr.Done("e", endpointstats.Result{Elapsed: time.Second, Kind: failure.Errored}, now.Add(2*time.Second))
	st = tr.Get("e")
	g.Expect(st.InFlight).To(BeZero())
	g.Expect(st.InFlightAge(now.Add(time.Hour))).To(BeZero())
	g.Expect(st.Latency).To(Equal(2*time.Second), "a failed call must not change the latency")
	g.Expect(st.FirstToken).To(Equal(time.Second))
	g.Expect(st.Failures).To(Equal(1))
	g.Expect(st.ErrorRate).To(BeNumerically(">", 0))
	g.Expect(st.Calls).To(Equal(uint64(2)))
}

// TestCancelledCallRaisesLatencyOnly guards against calls that the deadline or
// the caller ended being counted as failures of the endpoint, and against short
// ones among them lowering the measured latency.
func TestCancelledCallRaisesLatencyOnly(t *testing.T) {
	g := NewWithT(t)
	tr := endpointstats.New()
	for _, took := range []time.Duration{time.Second, 9 * time.Second, time.Millisecond} {
		kind := failure.Late
		if took == time.Second {
			kind = 0
		}
		tr.Start("e", now)
		tr.Done("e", endpointstats.Result{Elapsed: took, Kind: kind}, now.Add(took))
	}
	st := tr.Get("e")
	g.Expect(st.Failures).To(BeZero())
	g.Expect(st.Latency).To(Equal(2*time.Second), "want the long cancelled call to raise the latency and the short one not to lower it")
}

// TestLoadReportUsesInFlightAtReportTime guards against a load report being
// compared with the calls in flight on receipt: the report may be seconds old, and
// the difference is taken for the load of other instances.
func TestLoadReportUsesInFlightAtReportTime(t *testing.T) {
	g := NewWithT(t)
	tr := endpointstats.New()
	at := now
	for range 5 { // one more call in flight each second
		tr.Start("e", at)
		at = at.Add(time.Second)
	}
	tr.Report("e", endpointstats.Load{Queue: 1, Running: 9, Slots: 16, Age: 2500 * time.Millisecond}, at)
	st := tr.Get("e")
	g.Expect(st.ReportedLoad).To(Equal(10))
	g.Expect(st.OwnAtReport).To(Equal(3), "want the own calls in flight 2.5 s ago")
	g.Expect(st.Slots).To(Equal(16))
	tr.Report("e", endpointstats.Load{Running: 1, Slots: 16, Age: 3 * time.Second}, at)
	g.Expect(tr.Get("e").ReportedLoad).To(Equal(10), "a report older than the last one must be ignored")
}

// TestResultsAndCacheEventsUpdatePrefixIndex guards against failed calls being
// recorded as cached prompts, and against evictions being ignored.
func TestResultsAndCacheEventsUpdatePrefixIndex(t *testing.T) {
	g := NewWithT(t)
	tr := endpointstats.New()
	blocks := []uint64{1, 2, 3}
	tr.Start("own", now)
	tr.Done("own", endpointstats.Result{Elapsed: time.Second, Blocks: blocks}, now)
	tr.Start("failed", now)
	tr.Done("failed", endpointstats.Result{Elapsed: time.Second, Kind: failure.Lost, Blocks: blocks}, now)
	tr.RecordCacheEvent("reported", blocks[:2], false)
	tr.RecordCacheEvent("reported", blocks[1:2], true)
	var matches [prefix.MaxMatches]prefix.Match
	g.Expect(matches[:tr.Holders(blocks, &matches)]).To(ConsistOf(
		prefix.Match{Name: "own", Blocks: 3}, prefix.Match{Name: "reported", Blocks: 1}))
}

// TestSetLeavingReplacesTheSet guards against endpoints that remain marked as
// leaving after they were taken off the list.
func TestSetLeavingReplacesTheSet(t *testing.T) {
	g := NewWithT(t)
	tr := endpointstats.New()
	g.Expect(tr.Leaving("a")).To(BeFalse())
	tr.SetLeaving(map[string]bool{"a": true})
	g.Expect(tr.Leaving("a")).To(BeTrue())
	tr.SetLeaving(map[string]bool{"b": true})
	g.Expect(tr.Leaving("a")).To(BeFalse())
}
