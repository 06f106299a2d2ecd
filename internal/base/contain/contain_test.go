package contain_test

// This file tests that a panic ends only its task.

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/base/contain"
)

func TestRun(t *testing.T) {
	g := NewWithT(t)
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	failed := errors.New("failed")
	g.Expect(contain.Run(log, "decoding", func() error { return failed })).To(Equal(failed))
	g.Expect(lines).To(BeEmpty())
	err := contain.Run(log, "decoding", func() error {
		panic("unexpected state")
	})
	var p *contain.Panic
	g.Expect(errors.As(err, &p)).To(BeTrue())
	g.Expect(p.Task).To(Equal("decoding"))
	g.Expect(lines).To(HaveLen(1))
	g.Expect(lines[0]).To(ContainSubstring("contain_test.go"), "the stack must show the place")
}

// TestLoop guards against a loop that ends for good because of one panic, and against one
// that runs on after its context.
func TestLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		runs := 0
		contain.Loop(ctx, logr.Discard(), "loop", func(ctx context.Context) {
			if runs++; runs < 3 {
				panic("x")
			}
			<-ctx.Done()
		})
		NewWithT(t).Expect(runs).To(Equal(3))
	})
}
