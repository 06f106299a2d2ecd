package cooldown_test

// This file simulates calls to endpoints that asked for a pause.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jacinthstile/jacinthstile/internal/routing/cooldown"
)

var start = time.Unix(1000, 0)

// offer offers a call every step and returns when those were made that were taken.
func offer(t *cooldown.Tracker, u cooldown.Use, from, until time.Time, step time.Duration) []time.Duration {
	var taken []time.Duration
	for now := from; now.Before(until); now = now.Add(step) {
		allowed := t.Allows("a", u, now)
		if got := t.Take("a", u, now); got != allowed {
			panic("Take and Allows differ")
		} else if got {
			taken = append(taken, now.Sub(start))
		}
	}
	return taken
}

// TestPause guards against calls within a pause while other endpoints can take them,
// and against calls that return all at once after it.
func TestPause(t *testing.T) {
	g := NewWithT(t)
	tr := cooldown.New()
	tr.Start("a", 2*time.Second, start)
	tr.Start("a", time.Second, start)
	g.Expect(tr.Left("a", start)).To(Equal(2*time.Second), "a shorter request does not end a pause")
	taken := offer(tr, cooldown.Usual, start, start.Add(4*time.Second), time.Millisecond)
	g.Expect(taken[0]).To(Equal(2 * time.Second))
	inRamp := 0
	for _, at := range taken {
		if at < 3*time.Second {
			inRamp++
		}
	}
	g.Expect(inRamp).To(Equal(10))
	g.Expect(len(taken)-inRamp).To(Equal(1000), "later calls are not limited")
	g.Expect(tr.Allows("b", cooldown.Usual, start)).To(BeTrue())
	g.Expect(tr.Left("b", start)).To(BeZero())
}

// TestLastResort guards against a service that gets no call for as long as all its
// endpoints ask for a pause: each gets one, late in its pause.
func TestLastResort(t *testing.T) {
	g := NewWithT(t)
	tr := cooldown.New()
	tr.Start("a", 2*time.Second, start)
	taken := offer(tr, cooldown.LastResort, start, start.Add(2*time.Second), time.Millisecond)
	g.Expect(taken).To(Equal([]time.Duration{time.Second}))
}

// TestBounds guards against a pause without end, and against times that make no sense.
func TestBounds(t *testing.T) {
	g := NewWithT(t)
	tr := cooldown.New()
	tr.Start("a", -time.Second, start)
	g.Expect(tr.Left("a", start)).To(BeZero())
	tr.Start("a", 1<<62, start)
	g.Expect(tr.Left("a", start)).To(Equal(cooldown.MaxPause))
}

// TestNeverMoreThanOneCallInAPause checks random requests for pauses, also overlapping
// ones, and random calls: an endpoint gets at most one call between the start and the
// end of what it asked for.
func TestNeverMoreThanOneCallInAPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := cooldown.New()
		now := start
		type asked struct {
			end   time.Time
			calls int
		}
		var pauses []*asked
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "ask") == 0 {
				length := time.Duration(rapid.IntRange(1, 3000).Draw(t, "length")) * time.Millisecond
				tr.Start("a", length, now)
				pauses = append(pauses, &asked{end: now.Add(length)})
				continue
			}
			if !tr.Take("a", cooldown.Use(rapid.IntRange(1, 2).Draw(t, "use")), now) {
				continue
			}
			for _, p := range pauses {
				if now.Before(p.end) {
					p.calls++
				}
				if p.calls > 1 {
					t.Fatalf("got %d calls in a pause, want 1 at most", p.calls)
				}
			}
		}
	})
}
