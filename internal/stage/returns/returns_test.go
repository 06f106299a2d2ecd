package returns_test

// This file replays callers that come back.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/stage/returns"
)

const (
	aim  = 1700 * time.Millisecond // of an answer, from the first attempt
	wait = 6 * time.Second         // of a caller, from the first attempt
)

var start = time.Unix(1000, 0)

func TestGoalIsThatOfTheFirstAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		asked  uint64
		after  time.Duration // of the second attempt
		states time.Duration // that the second attempt waits
		want   time.Duration // goal of the second attempt, from the start
	}{
		"a return":                             {1, 300 * time.Millisecond, wait - 300*time.Millisecond, aim},
		"a return that was long on its way":    {1, 300 * time.Millisecond, wait - 230*time.Millisecond, aim},
		"another caller who asks for the same": {1, 300 * time.Millisecond, wait, aim + 300*time.Millisecond},
		"another one with less time":           {1, 300 * time.Millisecond, wait - time.Second, aim + 300*time.Millisecond},
		"something else, to the same end":      {2, 300 * time.Millisecond, wait - 300*time.Millisecond, aim + 300*time.Millisecond},
		"a return after the goal":              {1, 2 * time.Second, wait - 2*time.Second, aim},
	} {
		t.Run(name, func(t *testing.T) {
			r := returns.New()
			r.Refused(1, start.Add(aim), start.Add(wait))
			now := start.Add(c.after)
			NewWithT(t).Expect(r.Goal(c.asked, now.Add(aim), now.Add(c.states)).Sub(start)).To(Equal(c.want))
		})
	}
}

func TestASecondRefusalKeepsTheFirstGoal(t *testing.T) {
	g := NewWithT(t)
	r := returns.New()
	for i := range 4 {
		now := start.Add(time.Duration(i) * 400 * time.Millisecond)
		goal := r.Goal(1, now.Add(aim), start.Add(wait))
		g.Expect(goal).To(Equal(start.Add(aim)), "attempt %d", i)
		r.Refused(1, goal, start.Add(wait))
	}
}

func TestWhatIsServedIsForgotten(t *testing.T) {
	r := returns.New()
	r.Refused(1, start.Add(aim), start.Add(wait))
	r.Served(1)
	NewWithT(t).Expect(r.Goal(1, start.Add(2*aim), start.Add(wait))).To(Equal(start.Add(2 * aim)))
}

// TestMemoryIsBounded has more refusals than are remembered: the last ones are known.
func TestMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	r := returns.New()
	for i := range uint64(returns.Most + 100) {
		r.Refused(i, start.Add(aim), start.Add(wait))
	}
	late := start.Add(2 * aim)
	g.Expect(r.Goal(99, late, start.Add(wait))).To(Equal(late))
	g.Expect(r.Goal(100, late, start.Add(wait))).To(Equal(start.Add(aim)))
	g.Expect(r.Goal(returns.Most+99, late, start.Add(wait))).To(Equal(start.Add(aim)))
}
