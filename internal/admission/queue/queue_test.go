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
	return &queue.Item[int]{Account: account, Weight: weight, Latest: now.Add(latest), Value: value}
}

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

func TestAnAccountThatWaitedForNothingSavesNothingUp(t *testing.T) {
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

func TestFullQueueDropsFromTheLongestAccount(t *testing.T) {
	g := NewWithT(t)
	q := queue.New[int](3)
	g.Expect(q.Push(item("greedy", 1, 1*time.Second, 1))).To(BeNil())
	g.Expect(q.Push(item("greedy", 1, 3*time.Second, 2))).To(BeNil())
	g.Expect(q.Push(item("greedy", 1, 2*time.Second, 3))).To(BeNil())
	out := q.Push(item("small", 1, 9*time.Second, 4))
	g.Expect(out.Account).To(Equal("greedy"))
	g.Expect(out.Value).To(Equal(2), "its last by deadline")
	g.Expect(q.Len()).To(Equal(3))
	g.Expect(q.Remove(out)).To(BeFalse(), "it waits no more")
}

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

func TestPopIfPassesOverWhatCanNotStart(t *testing.T) {
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

func TestWaitFollowsTheMeasuredPace(t *testing.T) {
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
	g.Expect(q.Wait("a", 1)).To(BeNumerically("~", 2*time.Second, 200*time.Millisecond))
	g.Expect(q.Wait("b", 1)).To(BeNumerically("<", 100*time.Millisecond), "an account with nothing ahead")
	g.Expect(queue.New[int](1).Wait("a", 1)).To(BeZero())
}

// No order of calls loses or doubles an item, or passes the bound.
func TestNothingIsLostOrDoubled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 8
		q := queue.New[int](most)
		in, at := map[int]*queue.Item[int]{}, now
		gone := func(it *queue.Item[int], how string) {
			if it == nil {
				return
			}
			if in[it.Value] == nil {
				t.Fatalf("%s gave %d, which did not wait", how, it.Value)
			}
			delete(in, it.Value)
		}
		for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				account := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")
				latest := time.Duration(rapid.IntRange(0, 50).Draw(t, "latest")) * time.Millisecond
				in[i] = &queue.Item[int]{Account: account, Weight: 1, Latest: at.Add(latest), Value: i}
				gone(q.Push(in[i]), "push")
			case 2:
				it := q.Pop(at)
				if it != nil && it.Latest.Before(at) {
					t.Fatalf("pop gave an expired item")
				}
				gone(it, "pop")
			case 3:
				at = at.Add(10 * time.Millisecond)
				for _, it := range q.Expire(at) {
					gone(it, "expire")
				}
			case 4:
				if it := q.Pop(at); it != nil {
					q.Return(it)
				}
			}
			if q.Len() != len(in) || q.Len() > most {
				t.Fatalf("got %d waiting, want %d and at most %d", q.Len(), len(in), most)
			}
		}
	})
}

func TestPopBestPrefersGainUntilTheEarliestIsUrgent(t *testing.T) {
	g := NewWithT(t)
	all := func(int) bool { return true }
	gain := func(v int) int { return v }
	q := queue.New[int](10)
	q.Push(item("a", 1, 5*time.Second, 1))
	q.Push(item("a", 1, 6*time.Second, 9))
	q.Push(item("b", 1, 7*time.Second, 5))
	g.Expect(q.PopBest(now, all, gain).Value).To(Equal(9), "of the account whose turn it is")
	g.Expect(q.PopBest(now, all, gain).Value).To(Equal(5))
	q.Push(item("a", 1, 9*time.Second, 9))
	g.Expect(q.PopBest(now.Add(4*time.Second), all, gain).Value).To(Equal(1), "one second is left")
}
