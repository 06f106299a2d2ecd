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

// role returns n healthy samples.
func role(n int) []outlier.Sample {
	var list []outlier.Sample
	for i := range n {
		list = append(list, outlier.Sample{Name: fmt.Sprint(i), Calls: 100, Latency: time.Second})
	}
	return list
}

func TestOutliersAreEjected(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func([]outlier.Sample)
		out    bool
	}{
		{"healthy", func([]outlier.Sample) {}, false},
		{"slow", func(s []outlier.Sample) { s[3].Latency = 10 * time.Second }, true},
		{"a little slow", func(s []outlier.Sample) { s[3].Latency = 2 * time.Second }, false},
		{"failing", func(s []outlier.Sample) { s[3].Errors = 0.9 }, true},
		{"all failing alike", func(s []outlier.Sample) {
			for i := range s {
				s[i].Errors = 0.9
			}
		}, false},
		{"few calls", func(s []outlier.Sample) { s[3].Errors, s[3].Calls = 1, 1 }, false},
		{"fast ones apart by less than the margin", func(s []outlier.Sample) {
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
			g.Expect(d.Out("3", now)).To(Equal(c.out))
			g.Expect(d.Quiet(now)).To(Equal(!c.out))
		})
	}
}

func TestEjectedEndpointReturnsAndIsJudgedAnew(t *testing.T) {
	g := NewWithT(t)
	d := outlier.New()
	samples := role(10)
	samples[3].Errors = 1
	d.Update(samples, 0.3, now)
	at := now.Add(6 * time.Second)
	g.Expect(d.Out("3", at)).To(BeFalse(), "a first ejection takes 5 s")
	d.Update(samples, 0.3, at)
	g.Expect(d.Out("3", at)).To(BeFalse(), "no new call yet")
	samples[3].Calls += 5
	d.Update(samples, 0.3, at)
	g.Expect(d.Out("3", at.Add(9*time.Second))).To(BeTrue(), "the second takes twice as long")
}

// Whatever the samples, no more than the share is out at once.
func TestNeverMoreThanTheShare(t *testing.T) {
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
				samples[i].Errors = rapid.Float64Range(0, 1).Draw(t, "errors")
				samples[i].Latency = time.Duration(rapid.IntRange(0, 60_000).Draw(t, "latency")) * time.Millisecond
			}
			d.Update(samples, share, at)
			out := 0
			for _, s := range samples {
				if d.Out(s.Name, at) {
					out++
				}
			}
			if out > int(share*float64(n)) {
				t.Fatalf("got %d of %d ejected, want at most %g of them", out, n, share)
			}
		}
	})
}
