package outlier_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jacinthstile/jacinthstile/internal/routing/outlier"
)

var now = time.Date(2026, 5, 4, 9, 0, 0, 0, time.UTC)

// role returns samples of n healthy endpoints.
func role(n int) []outlier.Sample {
	var list []outlier.Sample
	for i := range n {
		list = append(list, outlier.Sample{Name: fmt.Sprint(i), Calls: 100, Latency: time.Second})
	}
	return list
}

// TestOutliersAreEjected guards against slow or failing endpoints staying in use,
// and against the ejection of endpoints that differ little from the others or are
// not known well enough.
func TestOutliersAreEjected(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func([]outlier.Sample)
		out    bool
	}{
		{"healthy", func([]outlier.Sample) {}, false},
		{"slow", func(s []outlier.Sample) { s[3].Latency = 10 * time.Second }, true},
		{"a little slow", func(s []outlier.Sample) { s[3].Latency = 2 * time.Second }, false},
		{"failing", func(s []outlier.Sample) { s[3].ErrorRate = 0.9 }, true},
		{"all failing equally", func(s []outlier.Sample) {
			for i := range s {
				s[i].ErrorRate = 0.9
			}
		}, false},
		{"few calls", func(s []outlier.Sample) { s[3].ErrorRate, s[3].Calls = 1, 1 }, false},
		{"fast, with a difference below the margin", func(s []outlier.Sample) {
			for i := range s {
				s[i].Latency = time.Millisecond
			}
			s[3].Latency = 50 * time.Millisecond
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			d := outlier.New()
			samples := role(10)
			c.change(samples)
			d.Update(samples, 0.3, now)
			g.Expect(d.Ejected("3", now)).To(Equal(c.out))
			g.Expect(d.NoneEjected(now)).To(Equal(!c.out))
		})
	}
}

// TestEjectedEndpointReturnsAndIsJudgedAgain guards against an endpoint being
// ejected again on the calls that led to its first ejection, and against
// ejections that do not grow longer.
func TestEjectedEndpointReturnsAndIsJudgedAgain(t *testing.T) {
	g := NewWithT(t)
	d := outlier.New()
	samples := role(10)
	samples[3].ErrorRate = 1
	d.Update(samples, 0.3, now)
	at := now.Add(6 * time.Second)
	g.Expect(d.Ejected("3", at)).To(BeFalse(), "want a first ejection to last 5 s")
	d.Update(samples, 0.3, at)
	g.Expect(d.Ejected("3", at)).To(BeFalse(), "no call has ended since the ejection")
	samples[3].Calls += 5
	d.Update(samples, 0.3, at)
	g.Expect(d.Ejected("3", at.Add(9*time.Second))).To(BeTrue(), "want the second ejection to last twice as long")
}

// TestNeverEjectsMoreThanTheShare guards against too many endpoints being ejected
// at once, which would overload the rest, for any sequence of samples.
func TestNeverEjectsMoreThanTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := outlier.New()
		n := rapid.IntRange(1, 20).Draw(t, "endpoints")
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		at := now
		for range rapid.IntRange(1, 20).Draw(t, "updates") {
			at = at.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "seconds")) * time.Second)
			samples := role(n)
			for i := range samples {
				samples[i].Calls = uint64(rapid.IntRange(0, 1000).Draw(t, "calls"))
				samples[i].ErrorRate = rapid.Float64Range(0, 1).Draw(t, "errors")
				samples[i].Latency = time.Duration(rapid.IntRange(0, 60_000).Draw(t, "latency")) * time.Millisecond
			}
			d.Update(samples, share, at)
			out := 0
			for _, s := range samples {
				if d.Ejected(s.Name, at) {
					out++
				}
			}
			if out > int(share*float64(n)) {
				t.Fatalf("got %d of %d endpoints ejected, want a share of at most %g", out, n, share)
			}
		}
	})
}
