package shutdown_test

// This file tests Shutdown.

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/shutdown"
)

// fixed returns the estimate of a need that does not change.
func fixed(need time.Duration) func() time.Duration { return func() time.Duration { return need } }

// TestWorkEndsOnceTooLittleTimeIsLeft guards against work that goes on although the instance stops
// before it can be finished, or ends although it can, or although its limit was lifted.
func TestWorkEndsOnceTooLittleTimeIsLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	s := shutdown.New()
	long, releaseLong := s.Limit(context.Background(), fixed(3*time.Second))
	defer releaseLong()
	short, releaseShort := s.Limit(context.Background(), fixed(time.Second))
	defer releaseShort()
	lifted, lift := s.Limit(context.Background(), fixed(time.Second))
	lift()
	s.Advance(3 * time.Second)
	g.Expect(long.Err()).NotTo(gomega.HaveOccurred())
	s.Advance(3*time.Second - 1)
	g.Expect(context.Cause(long)).To(gomega.MatchError(shutdown.ErrStopping))
	g.Expect(short.Err()).NotTo(gomega.HaveOccurred())
	late, releaseLate := s.Limit(context.Background(), fixed(4*time.Second))
	defer releaseLate()
	g.Expect(context.Cause(late)).To(gomega.MatchError(shutdown.ErrStopping), "work that comes too late")
	s.Advance(-time.Second)
	g.Expect(context.Cause(short)).To(gomega.MatchError(shutdown.ErrStopping))
	g.Expect(lifted.Err()).NotTo(gomega.HaveOccurred())
}

// TestWorkOfARunningInstanceIsNotLimited guards against requests that are rejected although the
// instance is not told to stop.
func TestWorkOfARunningInstanceIsNotLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	s := shutdown.New()
	ctx, release := s.Limit(context.Background(), func() time.Duration {
		t.Error("got an estimate of the need, want none of an instance that is not stopping")
		return 0
	})
	defer release()
	g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred())
	_, stopping := s.Left()
	g.Expect(stopping).To(gomega.BeFalse())
}
