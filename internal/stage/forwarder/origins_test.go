package forwarder_test

// This file tests what instances know of the software that began streams.

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/origin"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
)

// TestOriginsOutlastInstances guards against a stream that cannot be taken up as the instance that
// served it is gone, and another one that kept its origin: the coordinator, which may be the same
// instance, or the next one.
func TestOriginsOutlastInstances(t *testing.T) {
	const served = 2 // the instance that served the streams; those with a larger processor share rank before it
	v1 := origin.Origin{Service: "s", Version: "v1"}
	for name, stopped := range map[string][]int{
		"none":                            {},
		"it":                              {served},
		"it and the coordinator":          {served, 0},
		"it and the next coordinator":     {served, 1},
		"it and the best two others":      {served, 0, 1},
		"the coordinator, then it":        {0, served},
		"both keepers, which are renewed": {0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			c := newCluster()
			var all []*instance
			for i, cpu := range []int{900, 800, 700, 600, 500} {
				all = append(all, c.start(t, &fakeExecutor{name: fmt.Sprint("i", i)}, cpu))
			}
			time.Sleep(2 * time.Second) // they have heard from each other
			all[served].RecordBegun(1, v1)
			time.Sleep(500 * time.Millisecond) // the keepers have been told
			for _, i := range stopped {
				all[i].stop()
			}
			if len(stopped) > 0 && stopped[0] != served {
				time.Sleep(3 * time.Second) // the others are keepers now
			}
			for _, asked := range []int{3, 4} {
				o, ok := all[asked].Origin(t.Context(), 1)
				g.Expect(ok).To(BeTrue(), "instance %d", asked)
				g.Expect(o).To(Equal(v1))
			}
		})
	}
}

// TestUnknownOriginIsSaidSoon guards against a stream that waits for instances that don't answer.
func TestUnknownOriginIsSaidSoon(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	a, b := c.start(t, &fakeExecutor{name: "a"}, 100), c.start(t, &fakeExecutor{name: "b"}, 400)
	time.Sleep(time.Second)
	for _, stop := range []bool{false, true} {
		if stop {
			b.stop()
		}
		start := time.Now()
		_, ok := a.Origin(context.Background(), 5)
		g.Expect(ok).To(BeFalse())
		g.Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond))
	}
}

// TestOrderForAVersionWithoutEngines guards against stage work for a stream that no engine of its
// version can go on with.
func TestOrderForAVersionWithoutEngines(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	a, _ := c.start(t, &fakeExecutor{name: "a"}, 100), c.start(t, &fakeExecutor{name: "b"}, 400)
	r := c.round("r", time.Second)
	r.Request.Service, r.Version = "llm", "v9"
	g.Eventually(func() error {
		_, err := a.Prepare(t.Context(), r)
		return err
	}, waitLimit).Should(failWith(code.VersionGone))
}
