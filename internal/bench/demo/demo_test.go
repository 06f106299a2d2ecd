package demo_test

// This file runs a short demo of each deployment.

import (
	"bytes"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/bench/demo"
)

// A table change, a connection loss and a graceful restart under load must not break a promise to callers, such as
// a non-idempotent call that runs twice or a request that the restart cuts off.
func TestDemoKeepsThePromises(t *testing.T) {
	for _, deployment := range []string{"serikelang", "slamka"} {
		t.Run(deployment, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			r, err := demo.Run(t.Context(), demo.Options{
				Deployment: deployment, Requests: 200, Seed: 1, Daemons: 3, Rate: 100, Workers: 40,
			}, logr.Discard())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.Broken).To(BeEmpty())
			g.Expect(r.Requests).To(Equal(200))
			g.Expect(r.Answered).To(BeNumerically(">", 100))
			var out bytes.Buffer
			g.Expect(r.Print(&out)).To(Succeed())
			g.Expect(out.String()).To(ContainSubstring("attainment"))
		})
	}
}
