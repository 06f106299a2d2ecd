package servicetime_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jacinthstile/jacinthstile/internal/admission/servicetime"
	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/table/pipeline"
)

func stages(times ...time.Duration) *pipeline.Pipeline {
	p := &pipeline.Pipeline{Name: "p"}
	for i, d := range times {
		p.Stages = append(p.Stages, pipeline.Stage{Name: string(rune('a' + i)), ExpectedTime: span.Span(d)})
	}
	return p
}

// TestPredictRefusesWhatCanNotBeFinished guards against admitting requests that the time
// to the deadline, less the predicted wait, does not suffice for.
func TestPredictRefusesWhatCanNotBeFinished(t *testing.T) {
	g := NewWithT(t)
	s := servicetime.New()
	p := stages(100*time.Millisecond, time.Second)
	g.Expect(s.Predict(p, 0, 8*time.Second, 0).MeetsDeadline).To(BeTrue())
	v := s.Predict(p, 0, 8*time.Second, 9*time.Second)
	g.Expect(v.MeetsDeadline).To(BeFalse())
	g.Expect(v.RetryAfter).To(BeNumerically(">=", time.Second), "time after which a retry is worthwhile")
	g.Expect(v.RetryAfter).To(BeNumerically("<=", 30*time.Second))
	g.Expect(s.Predict(p, 1, 100*time.Millisecond, 0).MeetsDeadline).To(BeFalse())
}

// TestRemainingTimeShrinksFromStageToStage checks for random pipelines that the predicted time
// of a request that can meet its deadline is within the time left, and that the later
// stages alone never need more time than together with an earlier one.
func TestRemainingTimeShrinksFromStageToStage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := servicetime.New()
		var times []time.Duration
		for range rapid.IntRange(1, 6).Draw(t, "stages") {
			times = append(times, time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "time")))
		}
		p := stages(times...)
		left := time.Duration(rapid.Int64Range(-int64(time.Second), int64(20*time.Second)).Draw(t, "left"))
		for i := range p.Stages {
			if v := s.Predict(p, i, left, 0); v.MeetsDeadline && v.TotalTime > left {
				t.Fatalf("stage %d: got need %s of %s, want no more", i, v.TotalTime, left)
			}
			if i > 0 && s.RemainingTime(p, i) > s.RemainingTime(p, i-1) {
				t.Fatalf("stage %d: got need %s, want at most %s", i, s.RemainingTime(p, i), s.RemainingTime(p, i-1))
			}
		}
	})
}
