package request_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
)

// TestSchedulingPriority guards against a route's priority outweighing an
// account's, and against priorities outside the valid range. It lists pairs of
// both, the most urgent pair first.
func TestSchedulingPriority(t *testing.T) {
	last := -1
	for _, c := range [][2]int{{-1, 0}, {0, 3}, {0, 12}, {1, 0}, {1, 1}, {1, 2}, {4, 0}, {12, 0}, {12, 12}} {
		u := (&request.Request{Priority: c[0], Route: &catalog.Route{Priority: c[1]}}).SchedulingPriority()
		NewWithT(t).Expect(u).To(BeNumerically(">", last), "account priority %d, route priority %d", c[0], c[1])
		last = u
	}
}
