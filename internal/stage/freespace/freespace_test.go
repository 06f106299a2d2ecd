package freespace_test

// This file tests the estimate of free space at an endpoint.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/stage/freespace"
)

const size = 1000

var start = time.Unix(1000, 0)

func TestOwnResultsReduceFreeSpace(t *testing.T) {
	g := NewWithT(t)
	var e freespace.Estimator
	g.Expect(e.Available(size, start)).To(BeEquivalentTo(900), "a tenth is kept free")
	e.Reserve(500)
	g.Expect(e.Available(size, start)).To(BeEquivalentTo(400))
	e.Release(200)
	g.Expect(e.Available(size, start)).To(BeEquivalentTo(600))
}

// Guards against calls to an endpoint that results of other instances fill: the
// endpoint reports that it is full although this instance holds little there. That
// estimate must decay, or the endpoint would stay unused.
func TestResultsOfOthersReduceFreeSpaceForAWhile(t *testing.T) {
	g := NewWithT(t)
	var e freespace.Estimator
	e.Reserve(500)
	e.Release(100) // a call for 500 bytes, of which 100 were not produced
	e.ReportFull(size, start)
	g.Expect(e.Available(size, start)).To(BeNumerically("<=", 0))
	e.Release(400)
	g.Expect(e.Available(size, start)).To(BeNumerically("~", 300, 1), "none of the 600 bytes that others hold is freed yet")
	half, all := e.Available(size, start.Add(500*time.Millisecond)), e.Available(size, start.Add(10*time.Second))
	g.Expect(half).To(BeNumerically("~", 600, 1))
	g.Expect(all).To(BeNumerically("~", 900, 1))
}

// Guards against results of this instance being taken for those of others when it
// has filled the endpoint by itself.
func TestEndpointFilledByOwnResultsAlone(t *testing.T) {
	g := NewWithT(t)
	var e freespace.Estimator
	e.Reserve(size)
	e.ReportFull(size, start)
	e.Release(size)
	g.Expect(e.Available(size, start)).To(BeEquivalentTo(900))
}
