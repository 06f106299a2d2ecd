package demo_test

// This file runs a small demo of each deployment.

import (
	"testing"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/bench/demo"
)

func TestDemoKeepsThePromises(t *testing.T) {
	for _, deployment := range []string{"serikelang", "slamka"} {
		t.Run(deployment, func(t *testing.T) {
			g := NewWithT(t)
			r, err := demo.Run(t.Context(), demo.Options{
				Deployment: deployment, Requests: 40, Seed: 1, Daemons: 3, Workers: 4,
			}, logr.Discard())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.Broken).To(BeEmpty())
			g.Expect(r.Answered).To(BeNumerically(">", 0))
		})
	}
}
