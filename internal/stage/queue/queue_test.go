package queue_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
	"github.com/jacinthstile/jacinthstile/internal/stage/queue"
)

var (
	start = time.Unix(1000, 0)
	batch = catalog.Batch{Most: 10, Calls: 1, Call: 200 * time.Millisecond, Item: 10 * time.Millisecond, Room: 1000}
	born  = 0
)

// one returns a job of one stage at service "s".
func one(pieces, rank int, goal time.Duration) *job.Job {
	born++
	id := fmt.Sprint("j", born)
	return job.New(id, id, "key", []catalog.Stage{{Service: "s", Bytes: 10}}, []int{pieces}, rank, start.Add(goal), start.Add(goal+time.Second))
}

func newQueue(centres map[string]float64) *queue.Queue {
	q := queue.New()
	q.Service("s", batch, centres, start)
	return q
}

// jobs lists whose pieces a call holds, in order.
func jobs(pieces []queue.Piece) (ids []string) {
	for _, p := range pieces {
		ids = append(ids, p.Job.ID)
	}
	return ids
}

func TestMostUrgentFirstAndTheHopelessLast(t *testing.T) {
	g := NewWithT(t)
	q := newQueue(map[string]float64{"a": 1})
	late, calm, urgent := one(1, 0, 100*time.Millisecond), one(1, 0, 2*time.Second), one(1, 2, time.Second)
	for _, j := range []*job.Job{late, calm, urgent} {
		q.Add(j)
	}
	pieces := q.Fill(queue.Worker{Service: "s", Centre: "a", Room: 1000, Slow: 1}, start)
	g.Expect(jobs(pieces)).To(Equal([]string{urgent.ID, calm.ID, late.ID}))
	g.Expect(q.Waiting("s")).To(BeZero())
}

// TestCrowdedServiceIsUsedAsFarAsNeeded feeds jobs at a steady rate, with and
// without other instances at the endpoints. A full call of 10 pieces takes 300 ms.
func TestCrowdedServiceIsUsedAsFarAsNeeded(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct{ perSecond, want int }{{1, 1}, {20, 1}, {40, 2}, {60, 3}} {
		q := newQueue(map[string]float64{"a": 4, "b": 4})
		now := start
		for range 6 * c.perSecond {
			now = now.Add(time.Second / time.Duration(c.perSecond))
			j := job.New("j", "j", "key", []catalog.Stage{{Service: "s", Bytes: 10}}, []int{1}, 0, now.Add(2*time.Second), now.Add(3*time.Second))
			g.Expect(q.Judge(j, now).Take).To(BeTrue())
		}
		q.Service("s", batch, map[string]float64{"a": 4, "b": 4}, now)
		g.Expect(q.Most("s")).To(BeNumerically(">=", 8), "nobody else is there")
		q.Answered("s", true, now)
		q.Service("s", batch, map[string]float64{"a": 4, "b": 4}, now)
		g.Expect(q.Most("s")).To(Equal(c.want), "%d a second", c.perSecond)
		for range 50 {
			q.Answered("s", true, now)
		}
		q.Service("s", batch, map[string]float64{"a": 4, "b": 4}, now)
		g.Expect(q.Most("s")).To(Equal(1), "%d a second, and others are met everywhere", c.perSecond)
		now = now.Add(2 * time.Second)
		q.Service("s", batch, map[string]float64{"a": 4, "b": 4}, now)
		g.Expect(q.Most("s")).To(BeNumerically(">=", 8), "nobody else was seen for two seconds")
	}
}

func TestCallsHoldWhatFits(t *testing.T) {
	g := NewWithT(t)
	q := newQueue(map[string]float64{"a": 2})
	q.Add(one(25, 0, 5*time.Second))
	g.Expect(q.Fill(queue.Worker{Service: "s", Centre: "a", Room: 1000, Slow: 1}, start)).To(HaveLen(10), "a full call")
	g.Expect(q.Fill(queue.Worker{Service: "s", Centre: "a", Room: 45, Slow: 1}, start)).To(HaveLen(4), "room for four results")
	g.Expect(q.Waiting("s")).To(Equal(11))
}

// TestPiecesWaitForTheirPlaceWhileTheyCan has results wanted in one data centre.
func TestPiecesWaitForTheirPlaceWhileTheyCan(t *testing.T) {
	g := NewWithT(t)
	q := newQueue(map[string]float64{"a": 1, "b": 1})
	there := queue.Worker{Service: "s", Centre: "b", Room: 1000, Slow: 1}
	for _, c := range []struct {
		pieces int
		goal   time.Duration
		taken  int
	}{
		{2, 3 * time.Second, 0},        // time to wait
		{2, 500 * time.Millisecond, 2}, // none
		{12, 3 * time.Second, 0},       // time to wait for two calls
		{100, 3 * time.Second, 10},     // more waits than the worker there makes in time
	} {
		j := one(c.pieces, 0, c.goal)
		j.Wanted = "a"
		q.Add(j)
		g.Expect(q.Fill(there, start)).To(HaveLen(c.taken), "%d pieces for %s", c.pieces, c.goal)
		q.Remove(j)
	}
}

// TestSlowWorkersGetWhatTheyCanMake has one worker that takes five times as long.
func TestSlowWorkersGetWhatTheyCanMake(t *testing.T) {
	g := NewWithT(t)
	q := newQueue(map[string]float64{"a": 1.2})
	slow := queue.Worker{Service: "s", Centre: "a", Room: 1000, Slow: 5}
	q.Add(one(1, 0, 600*time.Millisecond))
	g.Expect(q.Fill(slow, start)).To(BeEmpty(), "another worker can make it in time")
	q.Add(one(1, 0, 3*time.Second))
	g.Expect(q.Fill(slow, start)).To(HaveLen(1))
}

// TestSlowWorkersCountForLess replays endpoints that turn slow: work that the
// same number of sound ones would do in time is refused.
func TestSlowWorkersCountForLess(t *testing.T) {
	g := NewWithT(t)
	for workers, taken := range map[float64]bool{5: true, 1.4: false} {
		q := newQueue(map[string]float64{"a": workers})
		for range 10 {
			q.Add(one(10, 0, 5*time.Second))
		}
		v := q.Judge(one(1, 0, 1500*time.Millisecond), start)
		g.Expect(v.Take).To(Equal(taken), "%.1f workers: %+v", workers, v)
	}
}

func TestJudge(t *testing.T) {
	for _, c := range []struct {
		name    string
		workers float64
		waiting int
		goal    time.Duration
		ground  queue.Ground
	}{
		{"idle", 2, 0, time.Second, queue.InTime},
		{"no endpoint", 0, 0, time.Second, queue.NoWorker},
		{"too much ahead", 2, 100, time.Second, queue.TooLate},
		{"late, and nobody waits", 2, 0, 100 * time.Millisecond, queue.Spare},
		{"late, and others wait", 2, 40, 100 * time.Millisecond, queue.TooLate},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			q := newQueue(map[string]float64{"a": c.workers})
			for range c.waiting {
				q.Add(one(1, 0, 9*time.Second))
			}
			v := q.Judge(one(1, 0, c.goal), start)
			g.Expect(v.Ground).To(Equal(c.ground), "got %s", v.Ground)
			g.Expect(v.Take).To(Equal(c.ground == queue.InTime || c.ground == queue.Spare))
			if !v.Take {
				g.Expect(v.After).To(BeNumerically(">", 0), "when to come back")
			}
		})
	}
}

// TestNothingIsReservedForRanksThatAreGone has a rank that was mostly refused:
// others leave it a part of their time as long as it comes.
func TestNothingIsReservedForRanksThatAreGone(t *testing.T) {
	g := NewWithT(t)
	q := newQueue(map[string]float64{"a": 1})
	for range 12 {
		q.Add(one(1, 11, 9*time.Second))
	}
	for range 200 {
		q.Judge(one(1, 10, 100*time.Millisecond), start) // too late for it
		q.Judge(one(1, 11, 9*time.Second), start)
	}
	tight := q.Judge(one(1, 11, 9*time.Second), start).Takes * 10 / 9
	g.Expect(q.Judge(one(1, 11, tight), start).Take).To(BeFalse(), "reserved for rank 10")
	now := start.Add(8 * time.Second)
	g.Expect(q.Judge(one(1, 11, tight+8*time.Second), now).Take).To(BeTrue(), "rank 10 is gone")
}

// TestJobsOfAKindAreJudgedAlike replays a line at the limit: a job whose
// request takes longer after its stages is taken with the rest of its kind,
// and one of another kind is judged by its own.
func TestJobsOfAKindAreJudgedAlike(t *testing.T) {
	g := NewWithT(t)
	q := newQueue(map[string]float64{"a": 2})
	arrive := func(rank int, after time.Duration) queue.Verdict {
		j := one(1, rank, 1500*time.Millisecond-after)
		j.After = after
		return q.Judge(j, start)
	}
	for range 50 {
		arrive(0, 100*time.Millisecond)
	}
	for q.Judge(one(1, 1, 1300*time.Millisecond), start).Take {
		q.Add(one(1, 1, 9*time.Second))
	}
	g.Expect(arrive(0, 100*time.Millisecond).Take).To(BeTrue())
	g.Expect(arrive(0, 400*time.Millisecond).Take).To(BeTrue(), "one of its kind")
	g.Expect(arrive(2, 400*time.Millisecond).Take).To(BeFalse(), "the first of its kind")
}

func TestLostResultsAreMadeAgain(t *testing.T) {
	g := NewWithT(t)
	q := newQueue(map[string]float64{"a": 1})
	j := one(2, 0, time.Second)
	q.Add(j)
	worker := queue.Worker{Service: "s", Centre: "a", Room: 1000, Slow: 1}
	pieces := q.Fill(worker, start)
	for i, p := range pieces {
		wanted, finished := q.Made(p, job.Result{Handle: "h", Maker: "m"})
		g.Expect(wanted).To(BeTrue())
		g.Expect(finished).To(Equal(i == 1))
	}
	wanted, _ := q.Made(pieces[0], job.Result{Handle: "twice"})
	g.Expect(wanted).To(BeFalse(), "made already")
	g.Expect(q.Lost(j, func(job.Result) bool { return true })).To(BeTrue())
	g.Expect(q.Fill(worker, start)).To(HaveLen(2))
}

// TestFullCallsTakeWhatIsNear fills a call from more pieces than it holds,
// half of which have their inputs elsewhere.
func TestFullCallsTakeWhatIsNear(t *testing.T) {
	g := NewWithT(t)
	q := newQueue(map[string]float64{"a": 1, "b": 1})
	for i := range 20 {
		j := one(1, 0, time.Duration(3000-i)*time.Millisecond)
		j.Wanted = []string{"a", "b"}[i%2]
		q.Add(j)
	}
	pressing := one(1, 0, 400*time.Millisecond)
	pressing.Wanted = "b"
	q.Add(pressing)
	pieces := q.Fill(queue.Worker{Service: "s", Centre: "a", Room: 1000, Slow: 1}, start)
	g.Expect(pieces).To(HaveLen(10))
	g.Expect(pieces[0].Job).To(Equal(pressing), "what cannot wait goes first, wherever its inputs lie")
	for _, p := range pieces[1:] {
		g.Expect(p.Job.Wanted).To(Equal("a"))
	}
}
