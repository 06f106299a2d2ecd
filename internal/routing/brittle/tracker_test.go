package brittle_test

// This file tests Tracker.

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/routing/brittle"
)

var start = time.Unix(1000, 0)

// TestRoomIsShared guards against instances that together send more than an endpoint has slots for,
// and against one that sends nothing where there are more instances than slots.
func TestRoomIsShared(t *testing.T) {
	for _, c := range []struct{ slots, instances, room int }{{6, 1, 6}, {6, 6, 1}, {6, 4, 2}, {6, 66, 1}, {96, 6, 16}, {1, 6, 1}, {0, 6, 1}} {
		g := NewWithT(t)
		tr := brittle.New()
		g.Expect(tr.HasRoom("s", "e", 1000, start)).To(BeTrue(), "not brittle")
		tr.SetInstances(c.instances)
		g.Expect(tr.Record("s", 3, c.slots, start)).To(BeTrue())
		g.Expect(tr.HasRoom("s", "e", c.room-1, start)).To(BeTrue())
		g.Expect(tr.HasRoom("s", "e", c.room, start)).To(BeFalse())
		g.Expect(tr.HasRoom("s", "e", c.room, start.Add(time.Minute))).To(BeTrue(), "nothing came from it since")
	}
}

// TestPauseEndsWithTheNeed guards against an endpoint that gets nothing for long although those of
// its service are no longer brittle.
func TestPauseEndsWithTheNeed(t *testing.T) {
	g := NewWithT(t)
	tr := brittle.New()
	tr.SetInstances(60)
	g.Expect(tr.Reject("s", "a", 0, start)).To(BeZero(), "not brittle")
	for _, service := range []string{"s", "t"} {
		tr.Record(service, 4, 6, start)
		for _, name := range []string{"a", "b"} {
			g.Expect(tr.Reject(service, name, 0, start)).To(BeNumerically(">=", 15*time.Second))
		}
	}
	later := start.Add(10 * time.Second)
	g.Expect(tr.HasRoom("s", "a", 0, later)).To(BeFalse())
	waiting := 0
	for i := range 100 {
		name := fmt.Sprint("new", i)
		if !tr.HasRoom("s", name, 0, later) {
			waiting++
		}
		g.Expect(tr.HasRoom("s", name, 1, later)).To(BeFalse(), "it is brittle as the others")
		g.Expect(tr.HasRoom("s", name, 0, later.Add(20*time.Second))).To(BeTrue())
	}
	g.Expect(waiting).To(BeNumerically(">", 90), "instances do not all turn to one that has just come back")
	g.Expect(tr.Forget("s")).To(BeTrue())
	g.Expect(tr.HasRoom("s", "a", 0, later)).To(BeTrue())
	g.Expect(tr.HasRoom("s", "b", 100, later)).To(BeTrue())
	g.Expect(tr.HasRoom("t", "a", 0, later)).To(BeFalse())
	g.Expect(tr.Forget("s")).To(BeFalse())
}

// TestRejectionsOfAllInstances guards against more rejections a second than a full endpoint bears,
// at 6, 66 and 300 instances that send whenever they may.
func TestRejectionsOfAllInstances(t *testing.T) {
	for _, instances := range []int{6, 66, 300} {
		for _, rate := range []float64{1, 4} {
			t.Run(fmt.Sprint(instances, " ", rate), func(t *testing.T) {
				g := NewWithT(t)
				rng := rand.New(rand.NewPCG(1, 1))
				fleet := make([]*brittle.Tracker, instances)
				period := time.Duration(float64(instances) / rate * float64(time.Second))
				for i := range fleet {
					fleet[i] = brittle.New()
					fleet[i].SetInstances(instances)
					fleet[i].Record("s", rate, 1, start)
					// They have been rejected at some time before.
					fleet[i].Reject("s", "e", 0, start.Add(-time.Duration(rng.Int64N(int64(period)))))
				}
				var rejections []time.Time
				length := max(20*time.Second, 2*period)
				for now := start; now.Before(start.Add(length)); now = now.Add(50 * time.Millisecond) {
					for _, tr := range fleet {
						if tr.HasRoom("s", "e", 0, now) {
							tr.Reject("s", "e", 0, now)
							rejections = append(rejections, now)
						}
						tr.Record("s", rate, 1, now)
					}
				}
				g.Expect(float64(len(rejections)) / length.Seconds()).To(BeNumerically("<=", rate*1.1))
				g.Expect(rejections).NotTo(BeEmpty(), "it is tried again")
			})
		}
	}
}
