package servicetime_test

// This file tests how a probe corrects measurements that are too high.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/admission/servicetime"
	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/table/pipeline"
)

// TestProbeReplacesTooHighMeasurement guards against an estimate that stays too high for
// ever: a pause of the process makes one stage seem slow, all jobs are then refused,
// and no job is left that could correct the estimate. One faster probe must suffice.
func TestProbeReplacesTooHighMeasurement(t *testing.T) {
	g := NewWithT(t)
	p := &pipeline.Pipeline{Name: "p", Stages: []pipeline.Stage{{Name: "s", ExpectedTime: span.Span(time.Millisecond)}}}
	const left = 300 * time.Millisecond
	s := servicetime.New()
	g.Expect(s.Predict(p, 0, left, 0).MeetsDeadline).To(BeTrue(), "by the time that the table expects")
	s.Observe("p", "s", 500*time.Millisecond)
	g.Expect(s.Predict(p, 0, left, 0).MeetsDeadline).To(BeFalse(), "by the time measured during the pause")
	s.ObserveProbe("p", "s", time.Second)
	g.Expect(s.Predict(p, 0, left, 0).MeetsDeadline).To(BeFalse(), "a slower probe must not change the estimate")
	s.ObserveProbe("p", "s", 2*time.Millisecond)
	g.Expect(s.Predict(p, 0, left, 0).MeetsDeadline).To(BeTrue(), "by the time that the probe took")
}
