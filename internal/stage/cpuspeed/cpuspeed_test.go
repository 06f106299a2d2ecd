package cpuspeed_test

// This file replays measurements of a processor that becomes slow, and of a busy one.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/stage/cpuspeed"
)

const us = time.Microsecond

// Guards against a processor that became slow not being detected, single slow
// measurements being taken for one, and a recovered one still counting as slow.
func TestSlowProcessorIsDetectedAndRecovers(t *testing.T) {
	g := NewWithT(t)
	d := normal()
	for _, c := range []struct {
		took time.Duration
		want bool
	}{
		{110 * us, false}, {140 * us, false}, {106 * us, false}, {150 * us, false},
		{700 * us, false}, {650 * us, false}, {560 * us, true}, {900 * us, true}, // the computation takes six times as long
		{250 * us, true}, {110 * us, false}, {112 * us, false},
	} {
		d.Observe(c.took)
		g.Expect(d.Slow()).To(Equal(c.want), "%s, factor %.1f", c.took, d.Slowdown())
	}
}

// normal returns a Detector after ten seconds of normal measurements.
func normal() *cpuspeed.Detector {
	d := new(cpuspeed.Detector)
	for range 33 {
		d.Observe(115 * us)
	}
	return d
}

// Guards against comparing with the best time instead of the usual one. It replays
// a second in which all machines of a host took up to 3.5 times their best time,
// which was 2.5 times the usual one.
func TestUsualTimeIsTheMedianNotTheBest(t *testing.T) {
	d := normal()
	d.Observe(80 * us)
	for range 6 {
		d.Observe(285 * us)
		NewWithT(t).Expect(d.Slow()).To(BeFalse())
	}
}

// Guards against a busy processor being taken for a slow one: two of three
// measurements are interrupted.
func TestInterruptedMeasurementsDoNotCountAsSlow(t *testing.T) {
	g := NewWithT(t)
	var d cpuspeed.Detector
	for range 20 {
		for _, took := range []time.Duration{110 * us, 10 * time.Millisecond, 900 * us} {
			d.Observe(took)
			g.Expect(d.Slow()).To(BeFalse())
		}
	}
}

// Documents a limit: a processor that is slow from the start is not detected,
// since a Detector does not compare with other machines.
func TestProcessorSlowFromTheStartIsNotDetected(t *testing.T) {
	var d cpuspeed.Detector
	for range 10 {
		d.Observe(700 * us)
	}
	NewWithT(t).Expect(d.Slow()).To(BeFalse())
}

func TestProbeTakesTime(t *testing.T) {
	NewWithT(t).Expect(cpuspeed.Probe()).To(BeNumerically(">", 0))
}
