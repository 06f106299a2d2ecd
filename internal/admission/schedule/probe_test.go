package schedule_test

// This file checks how measurements lead to verdicts.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/admission/schedule"
	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/table/pipeline"
)

func TestOneProbeEndsWhatAPauseMeasured(t *testing.T) {
	g := NewWithT(t)
	p := &pipeline.Pipeline{Name: "p", Stages: []pipeline.Stage{{Name: "s", Time: span.Span(time.Millisecond)}}}
	const left = 300 * time.Millisecond
	s := schedule.New()
	g.Expect(s.Fits(p, 0, left, 0).Fits).To(BeTrue(), "as the table expects")
	s.Observe("p", "s", 500*time.Millisecond)
	g.Expect(s.Fits(p, 0, left, 0).Fits).To(BeFalse(), "as the pause measured")
	s.Restart("p", "s", time.Second)
	g.Expect(s.Fits(p, 0, left, 0).Fits).To(BeFalse(), "a slower probe changes nothing")
	s.Restart("p", "s", 2*time.Millisecond)
	g.Expect(s.Fits(p, 0, left, 0).Fits).To(BeTrue(), "as the probe measured")
}
