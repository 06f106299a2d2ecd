package ratelimit_test

// This file tests which claim of an endpoint holds, and what is taken from a limit.

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/routing/ratelimit"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// TestNewestClaimHolds guards against an end of a limit that an older answer tells, and
// against a limit that outlives its end.
func TestNewestClaimHolds(t *testing.T) {
	type claim struct {
		limited bool
		rate    float64
		at      float64
		changed bool
	}
	for name, c := range map[string]struct {
		claims []claim
		want   float64 // negative for no limit
	}{
		"no limit":                               {[]claim{{false, 0, 1, false}}, -1},
		"limit":                                  {[]claim{{true, 2, 1, true}}, 2},
		"limit changes":                          {[]claim{{true, 2, 1, true}, {true, 3, 2, true}}, 3},
		"limit is repeated":                      {[]claim{{true, 2, 1, true}, {true, 2, 2, false}}, 2},
		"limit ends":                             {[]claim{{true, 2, 1, true}, {false, 0, 2, true}}, -1},
		"request was sent before the limit":      {[]claim{{true, 2, 1, true}, {false, 0, 0.9, false}}, 2},
		"limit was repeated after the request":   {[]claim{{true, 2, 1, true}, {true, 2, 3, false}, {false, 0, 2, false}}, 2},
		"limit ends and another one is named":    {[]claim{{true, 2, 1, true}, {false, 0, 2, true}, {true, 5, 3, true}}, 5},
		"an earlier limit is told after its end": {[]claim{{true, 2, 2, true}, {false, 0, 4, true}, {true, 2, 3, false}}, -1},
	} {
		g := NewWithT(t)
		l := ratelimit.New()
		for _, k := range c.claims {
			_, changed := l.Record(ratelimit.Claim{Endpoint: "e", Limited: k.limited, Rate: k.rate, At: at(k.at)}, at(10))
			g.Expect(changed).To(Equal(k.changed), "%s: %v", name, k)
		}
		rate, limited := l.Limit("e")
		g.Expect(limited).To(Equal(c.want >= 0), name)
		g.Expect(rate).To(Equal(max(0, c.want)), name)
	}
}

// TestTakenRequestsKeepToTheLimit guards against a window of 4 s in which an endpoint gets
// more than it named, and a burst. A caller asks each millisecond, for longer than a limit lasts.
func TestTakenRequestsKeepToTheLimit(t *testing.T) {
	for _, rate := range []float64{0, 0.1, 1, 1.3, 8, 50} {
		for _, share := range []float64{1, 0.5, 1.0 / 300, 0} {
			t.Run(fmt.Sprintf("%v of %v", share, rate), func(t *testing.T) {
				g := NewWithT(t)
				l := ratelimit.New()
				l.SetShare(share, start)
				l.Record(ratelimit.Claim{Endpoint: "e", Limited: true, Rate: rate, At: start}, start)
				var taken []float64
				for ms := range 60_000 {
					now := at(float64(ms) / 1000)
					left, ok := l.Left("e", now)
					if l.Take("e", now) {
						g.Expect(left).To(BeZero())
						taken = append(taken, float64(ms)/1000)
					} else {
						g.Expect(left > 0).To(Equal(ok))
					}
				}
				least := int(max(rate, 0.1)*share*60) - 1
				g.Expect(len(taken)).To(BeNumerically(">=", least), "want the limit used")
				for i, from := range taken {
					n := 0
					for _, to := range taken[i:] {
						if to < from+4 {
							n++
						}
					}
					g.Expect(float64(n)).To(BeNumerically("<=", 4.25*rate*share+2), "in the 4 s from %v", from)
				}
			})
		}
	}
}

// TestNoSecondAllowance guards against requests beyond the limit where it is learned again,
// ends for a moment, or is taken over by another instance.
func TestNoSecondAllowance(t *testing.T) {
	g := NewWithT(t)
	taken := 0
	for round := range 20 {
		l := ratelimit.New() // of the instance that takes over
		l.Learn(ratelimit.Claim{Endpoint: "e", Limited: true, Rate: 2, At: start}, at(float64(round)/10))
		for ms := range 100 {
			if l.Take("e", at(float64(round)/10+float64(ms)/1000)) {
				taken++
			}
		}
	}
	g.Expect(taken).To(BeNumerically("<=", 4))
}

// TestNoRequestsOfAShareThatWasNotHeld guards against a burst by instances that all begin to take
// requests when their coordinator is lost.
func TestNoRequestsOfAShareThatWasNotHeld(t *testing.T) {
	g := NewWithT(t)
	taken := 0
	for range 300 {
		l := ratelimit.New()
		l.Record(ratelimit.Claim{Endpoint: "e", Limited: true, Rate: 5, At: start}, start)
		l.SetShare(1, at(1))
		l.SetShare(0, at(2))
		_, ok := l.Left("e", at(100))
		g.Expect(ok).To(BeFalse())
		l.SetShare(1.0/300, at(100))
		for ms := range 4000 {
			if l.Take("e", at(100+float64(ms)/1000)) {
				taken++
			}
		}
	}
	g.Expect(taken).To(BeNumerically("<=", 4*5+2))
}

// TestToldClaimsEnd guards against claims that circulate for ever, and a starting instance
// that is not told of limits.
func TestToldClaimsEnd(t *testing.T) {
	g := NewWithT(t)
	a, b := ratelimit.New(), ratelimit.New()
	a.Record(ratelimit.Claim{Endpoint: "e", Limited: true, Rate: 2, At: start}, start)
	for i := range 40 {
		now := at(float64(i) / 2)
		for _, c := range a.Changed(3*time.Second, 256, now) {
			b.Learn(c, now)
		}
		for _, c := range b.Changed(3*time.Second, 256, now) {
			a.Learn(c, now)
		}
	}
	g.Expect(b.Limited("e")).To(BeTrue())
	g.Expect(a.Changed(3*time.Second, 256, at(20))).To(BeEmpty())
	g.Expect(b.Changed(3*time.Second, 256, at(20))).To(BeEmpty())
	g.Expect(a.All(256)).To(HaveLen(1))
	for i := range 5000 {
		a.Learn(ratelimit.Claim{Endpoint: fmt.Sprint("e", i), Limited: true, Rate: 1, At: at(30)}, at(30))
	}
	g.Expect(len(a.All(10_000))).To(BeNumerically("<=", 4096))
	g.Expect(a.Changed(3*time.Second, 256, at(30))).To(HaveLen(256))
}
