package pace_test

// This file replays times of a processor that turns slow, and of one that is busy.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/stage/pace"
)

const us = time.Microsecond

func TestSlowProcessorIsNoticedAndForgotten(t *testing.T) {
	g := NewWithT(t)
	p := usual()
	for _, c := range []struct {
		took time.Duration
		want bool
	}{
		{110 * us, false}, {140 * us, false}, {106 * us, false}, {150 * us, false},
		{700 * us, false}, {650 * us, false}, {560 * us, true}, {900 * us, true}, // six times as slow
		{250 * us, true}, {110 * us, false}, {112 * us, false},
	} {
		p.Note(c.took)
		g.Expect(p.Slow()).To(Equal(c.want), "%s, factor %.1f", c.took, p.Factor())
	}
}

// usual returns a pace that has seen ten calm seconds.
func usual() *pace.Pace {
	p := new(pace.Pace)
	for range 33 {
		p.Note(115 * us)
	}
	return p
}

// TestOneBestTimeIsNoMeasure replays a second in which all machines of a host
// took up to 3.5 times their best time, 2.5 times the usual one.
func TestOneBestTimeIsNoMeasure(t *testing.T) {
	p := usual()
	p.Note(80 * us)
	for range 6 {
		p.Note(285 * us)
		NewWithT(t).Expect(p.Slow()).To(BeFalse())
	}
}

// TestInterruptionsAreNoSlowness has most of the times interrupted.
func TestInterruptionsAreNoSlowness(t *testing.T) {
	g := NewWithT(t)
	var p pace.Pace
	for range 20 {
		for _, took := range []time.Duration{110 * us, 10 * time.Millisecond, 900 * us} {
			p.Note(took)
			g.Expect(p.Slow()).To(BeFalse())
		}
	}
}

// TestSlowFromTheStartIsNotNoticed states what a Pace cannot tell: it knows of
// no other machine.
func TestSlowFromTheStartIsNotNoticed(t *testing.T) {
	var p pace.Pace
	for range 10 {
		p.Note(700 * us)
	}
	NewWithT(t).Expect(p.Slow()).To(BeFalse())
}

func TestWorkTakesTime(t *testing.T) {
	NewWithT(t).Expect(pace.Work()).To(BeNumerically(">", 0))
}
