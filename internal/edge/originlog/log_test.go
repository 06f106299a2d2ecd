package originlog_test

// This file tests Log.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/origin"
	"github.com/jacinthstile/jacinthstile/internal/edge/originlog"
)

var start = time.Unix(1000, 0)

// TestStreamsAreRemembered guards against streams that are forgotten while their callers may take
// them up, and against records that stay.
func TestStreamsAreRemembered(t *testing.T) {
	g := NewWithT(t)
	l, o := originlog.New(), origin.Origin{Service: "s", Version: "v1"}
	l.Record(1, o, start)
	l.Record(2, origin.Origin{Service: "s"}, start)
	l.Record(3, origin.Origin{}, start)
	for _, age := range []time.Duration{0, 30 * time.Second, 45 * time.Second, 80 * time.Second} {
		got, ok := l.Lookup(1, start.Add(age))
		g.Expect(ok).To(BeTrue(), age.String())
		g.Expect(got).To(Equal(o))
	}
	g.Expect(l.Streams(start.Add(80 * time.Second))).To(Equal(map[origin.Origin][]uint64{o: {1}, {Service: "s"}: {2}}))
	doubtful, ok := l.Lookup(2, start)
	g.Expect(ok).To(BeTrue(), "a version in doubt differs from a stream that nobody knows")
	g.Expect(doubtful.Known()).To(BeFalse())
	_, ok = l.Lookup(1, start.Add(3*time.Minute))
	g.Expect(ok).To(BeFalse())
}

// TestRecordsAreBounded guards against a burst of streams that fills the memory: the newest stay.
func TestRecordsAreBounded(t *testing.T) {
	g := NewWithT(t)
	l, o := originlog.New(), origin.Origin{Service: "s", Version: "v1"}
	const n = 500_000
	for i := range uint64(n) {
		l.Record(i, o, start)
	}
	total := 0
	for _, keys := range l.Streams(start) {
		total += len(keys)
	}
	g.Expect(total).To(BeNumerically("<=", 400_000))
	for _, newest := range []uint64{n - 1, n - 200_000} {
		_, ok := l.Lookup(newest, start)
		g.Expect(ok).To(BeTrue())
	}
}

// TestKeysDependOnTheAccount guards against a stream that is found by the caller of another account.
func TestKeysDependOnTheAccount(t *testing.T) {
	NewWithT(t).Expect(origin.Key("a", "1")).NotTo(Equal(origin.Key("b", "1")))
}
