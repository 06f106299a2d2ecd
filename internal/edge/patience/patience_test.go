package patience_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/patience"
)

func TestReturnsAreKnownByTheTimeTheyState(t *testing.T) {
	g := NewWithT(t)
	p := patience.New()
	for range 50 {
		g.Expect(p.Waited("r", 6*time.Second)).To(BeZero())
	}
	g.Expect(p.Waited("r", 5990*time.Millisecond)).To(BeZero(), "about the whole time")
	g.Expect(p.Waited("r", 5500*time.Millisecond)).To(Equal(500 * time.Millisecond))
	g.Expect(p.Waited("other", 5500*time.Millisecond)).To(BeZero())
}

// TestMixedTimesSayNothing has callers who each state a time of their own.
func TestMixedTimesSayNothing(t *testing.T) {
	p := patience.New()
	for i := range 1000 {
		waited := p.Waited("r", time.Duration(1+i%10)*time.Second)
		if i > 100 {
			NewWithT(t).Expect(waited).To(BeZero())
		}
	}
}

// TestLongerTimesAreLearned changes the time that first attempts state.
func TestLongerTimesAreLearned(t *testing.T) {
	g := NewWithT(t)
	p := patience.New()
	for range 100 {
		p.Waited("r", 6*time.Second)
	}
	for range 100 {
		g.Expect(p.Waited("r", 9*time.Second)).To(BeZero())
	}
	g.Expect(p.Waited("r", 8*time.Second)).To(Equal(time.Second))
}
