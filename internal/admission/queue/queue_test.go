package queue_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jacinthstile/jacinthstile/internal/admission/queue"
)

var now = time.Date(2026, 5, 4, 9, 0, 0, 0, time.UTC)

func item(account string, weight float64, latest time.Duration, value int) *queue.Item[int] {
	return &queue.Item[int]{Account: account, Weight: weight, LatestStart: now.Add(latest), Value: value}
}

// TestPopTakesTheEarliestOfAnAccount checks the order within an account: by latest
// start time, whatever the order of the pushes.
func TestPopTakesTheEarliestOfAnAccount(t *testing.T) {
	g := NewWithT(t)
	q := queue.New[int](10)
	for _, latest := range []time.Duration{3, 1, 2} {
		q.Push(item("a", 1, latest*time.Second, int(latest)))
	}
	for want := 1; want <= 3; want++ {
		g.Expect(q.Pop(now).Value).To(Equal(want))
	}
	g.Expect(q.Pop(now)).To(BeNil())
}

// TestPopSharesByWeight guards against an account that gets more than its weight's
// share of the pops while another account has items queued too.
func TestPopSharesByWeight(t *testing.T) {
	g := NewWithT(t)
	q := queue.New[int](1000)
	for i := range 100 {
		q.Push(item("greedy", 1, time.Second, i))
		q.Push(item("large", 3, time.Second, i))
	}
	got := map[string]int{}
	for range 40 {
		got[q.Pop(now).Account]++
	}
	g.Expect(got["large"]).To(BeNumerically("~", 30, 1))
}

// TestIdleAccountAccumulatesNoCredit guards against starvation of a busy account by
// one that had nothing queued for long: the latter must not catch up on pops that it
// did not need.
func TestIdleAccountAccumulatesNoCredit(t *testing.T) {
	g := NewWithT(t)
	q := queue.New[int](1000)
	for i := range 100 {
		q.Push(item("busy", 1, time.Second, i))
		q.Pop(now)
	}
	for i := range 20 {
		q.Push(item("busy", 1, time.Second, i))
		q.Push(item("new", 1, time.Second, i))
	}
	got := map[string]int{}
	for range 20 {
		got[q.Pop(now).Account]++
	}
	g.Expect(got["busy"]).To(BeNumerically("~", 10, 1))
}

// TestFullQueueDropsFromTheLongestAccount guards against an account with many items
// that takes the whole queue, so that the items of others are refused.
func TestFullQueueDropsFromTheLongestAccount(t *testing.T) {
	g := NewWithT(t)
	q := queue.New[int](3)
	g.Expect(q.Push(item("greedy", 1, 1*time.Second, 1))).To(BeNil())
	g.Expect(q.Push(item("greedy", 1, 3*time.Second, 2))).To(BeNil())
	g.Expect(q.Push(item("greedy", 1, 2*time.Second, 3))).To(BeNil())
	out := q.Push(item("small", 1, 9*time.Second, 4))
	g.Expect(out.Account).To(Equal("greedy"))
	g.Expect(out.Value).To(Equal(2), "the account's item with the latest start time")
	g.Expect(q.Len()).To(Equal(3))
	g.Expect(q.Remove(out)).To(BeFalse(), "a dropped item is no longer queued")
}

// TestExpiredItemsAreNotStarted checks that Pop skips an item whose latest start time
// has passed, and that Expire returns it.
func TestExpiredItemsAreNotStarted(t *testing.T) {
	g := NewWithT(t)
	q := queue.New[int](10)
	q.Push(item("a", 1, time.Second, 1))
	q.Push(item("a", 1, 3*time.Second, 2))
	later := now.Add(2 * time.Second)
	g.Expect(q.Pop(later).Value).To(Equal(2))
	out := q.Expire(later)
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].Value).To(Equal(1))
	g.Expect(q.Len()).To(BeZero())
}

// TestPopIfSkipsItemsThatCannotStart guards against an account whose first item cannot
// start and blocks the items of others, and against Return changing the order.
func TestPopIfSkipsItemsThatCannotStart(t *testing.T) {
	g := NewWithT(t)
	q := queue.New[int](10)
	q.Push(item("a", 1, 1*time.Second, 1))
	q.Push(item("b", 1, 2*time.Second, 2))
	it := q.PopIf(now, func(v int) bool { return v == 2 })
	g.Expect(it.Value).To(Equal(2))
	q.Return(it)
	g.Expect(q.Len()).To(Equal(2))
	g.Expect(q.Pop(now).Value).To(Equal(1))
	g.Expect(q.Pop(now).Value).To(Equal(2))
}

// TestWaitFollowsTheMeasuredRate checks the predicted wait against the measured pop
// rate: 200 items ahead at one pop every 10 ms.
func TestWaitFollowsTheMeasuredRate(t *testing.T) {
	g := NewWithT(t)
	q := queue.New[int](1000)
	for i := range 400 {
		q.Push(item("a", 1, time.Hour, i))
	}
	at := now
	for range 200 {
		at = at.Add(10 * time.Millisecond)
		q.Pop(at)
	}
	g.Expect(q.PredictWait("a", 1)).To(BeNumerically("~", 2*time.Second, 200*time.Millisecond))
	g.Expect(q.PredictWait("b", 1)).To(BeNumerically("<", 100*time.Millisecond), "an account with no item queued")
	g.Expect(queue.New[int](1).PredictWait("a", 1)).To(BeZero())
}

// TestNothingIsLostOrDoubled guards against items that get lost or are returned twice,
// and against a queue that exceeds its capacity, for random sequences of operations.
func TestNothingIsLostOrDoubled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 8
		q := queue.New[int](capacity)
		queued, at := map[int]*queue.Item[int]{}, now
		removed := func(it *queue.Item[int], operation string) {
			if it == nil {
				return
			}
			if queued[it.Value] == nil {
				t.Fatalf("%s returned item %d, which was not queued", operation, it.Value)
			}
			delete(queued, it.Value)
		}
		for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				account := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")
				latest := time.Duration(rapid.IntRange(0, 50).Draw(t, "latest")) * time.Millisecond
				queued[i] = &queue.Item[int]{Account: account, Weight: 1, LatestStart: at.Add(latest), Value: i}
				removed(q.Push(queued[i]), "push")
			case 2:
				it := q.Pop(at)
				if it != nil && it.LatestStart.Before(at) {
					t.Fatalf("pop returned an expired item")
				}
				removed(it, "pop")
			case 3:
				at = at.Add(10 * time.Millisecond)
				for _, it := range q.Expire(at) {
					removed(it, "expire")
				}
			case 4:
				if it := q.Pop(at); it != nil {
					q.Return(it)
				}
			}
			if q.Len() != len(queued) || q.Len() > capacity {
				t.Fatalf("got %d queued items, want %d and at most %d", q.Len(), len(queued), capacity)
			}
		}
	})
}

// TestPopBestPrefersScoreUntilTheEarliestIsUrgent guards against an item that is passed
// over for items with higher scores until it can no longer start in time.
func TestPopBestPrefersScoreUntilTheEarliestIsUrgent(t *testing.T) {
	g := NewWithT(t)
	all := func(int) bool { return true }
	score := func(v int) int { return v }
	q := queue.New[int](10)
	q.Push(item("a", 1, 5*time.Second, 1))
	q.Push(item("a", 1, 6*time.Second, 9))
	q.Push(item("b", 1, 7*time.Second, 5))
	g.Expect(q.PopBest(now, all, score).Value).To(Equal(9), "the highest score of the account that is served next")
	g.Expect(q.PopBest(now, all, score).Value).To(Equal(5))
	q.Push(item("a", 1, 9*time.Second, 9))
	g.Expect(q.PopBest(now.Add(4*time.Second), all, score).Value).To(Equal(1), "the first item must start within one second")
}

// TestReturnsRestoreTheRate guards against a predicted wait that is too short because
// items that were popped and returned count as started.
func TestReturnsRestoreTheRate(t *testing.T) {
	g := NewWithT(t)
	q := queue.New[int](1000)
	for i := range 400 {
		q.Push(item("a", 1, time.Hour, i))
	}
	at := now
	for range 200 {
		at = at.Add(10 * time.Millisecond)
		q.Pop(at)
	}
	want := q.PredictWait("a", 1)
	for range 50 {
		first, second, third := q.Pop(at), q.Pop(at), q.Pop(at)
		q.Return(third)
		q.Return(second)
		q.Return(first)
	}
	g.Expect(q.PredictWait("a", 1)).To(Equal(want))
}
