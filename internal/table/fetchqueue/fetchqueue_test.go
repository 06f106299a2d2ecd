package fetchqueue_test

// This file tests the order in which queued tables are fetched.

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jacinthstile/jacinthstile/internal/table/fetchqueue"
	"github.com/jacinthstile/jacinthstile/internal/table/revision"
)

// The random steps are the same on every run; -rapid.seed selects others.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

var start = time.Unix(1000, 0)

func at(epoch, version uint64) revision.Revision {
	return revision.Revision{Epoch: epoch, Version: version}
}

// TestNewestEntryThatMayBeFetchedIsNext guards against waiting for the delay of
// the newest table while an older one can be fetched, and against keeping that
// delay once a peer has the newest table.
func TestNewestEntryThatMayBeFetchedIsNext(t *testing.T) {
	g := NewWithT(t)
	q := fetchqueue.New()
	q.AddFromPlatform(at(1, 3), []byte("m"), start.Add(time.Second))
	q.AddFromPeer(at(1, 2), "b", start)
	best, _, ok := q.Next(start, at(1, 1))
	g.Expect(ok).To(BeTrue())
	g.Expect(best.Revision).To(Equal(at(1, 2)))
	q.AddFromPeer(at(1, 3), "c", start)
	best, _, ok = q.Next(start, at(1, 1))
	g.Expect(ok).To(BeTrue())
	g.Expect(best.Revision).To(Equal(at(1, 3)))
	g.Expect(best.Peers).To(Equal([]string{"c"}))
}

// TestFailedEntryWaitsLongerEachTime guards against hammering the platform
// and the peers with a table that cannot be fetched.
func TestFailedEntryWaitsLongerEachTime(t *testing.T) {
	g := NewWithT(t)
	q := fetchqueue.New()
	now := start
	q.AddFromPlatform(at(2, 1), []byte("m"), now)
	var last time.Duration
	for range 4 {
		q.RecordFailure(at(2, 1), now, 0.5)
		q.AddFromPeer(at(2, 1), "b", now) // does not shorten the wait
		_, wait, ok := q.Next(now, at(1, 1))
		g.Expect(ok).To(BeFalse())
		g.Expect(wait).To(BeNumerically(">", last))
		last, now = wait, now.Add(wait)
	}
}

// TestRefusedEntryIsNotQueuedAgain guards against fetching an invalid table again
// whenever the platform or a peer announces it.
func TestRefusedEntryIsNotQueuedAgain(t *testing.T) {
	g := NewWithT(t)
	q := fetchqueue.New()
	q.AddFromPlatform(at(2, 1), []byte("m"), start)
	q.Refuse(at(2, 1))
	q.AddFromPlatform(at(2, 1), []byte("m"), start)
	q.AddFromPeer(at(2, 1), "b", start)
	_, wait, ok := q.Next(start, at(1, 1))
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(BeZero())
}

// TestNextIsAlwaysAfterTheTableInForce guards against putting an older table in
// force, whatever the order of announcements, failures and refusals.
func TestNextIsAlwaysAfterTheTableInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fetchqueue.New()
		now := start
		inForce := revision.Revision{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r := at(rapid.Uint64Range(0, 3).Draw(t, "epoch"), rapid.Uint64Range(0, 9).Draw(t, "version"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				q.AddFromPlatform(r, []byte("m"), now)
			case 1:
				q.AddFromPeer(r, "b", now)
			case 2:
				q.RecordFailure(r, now, 0)
			case 3:
				q.Refuse(r)
			}
			now = now.Add(time.Second)
			best, _, ok := q.Next(now, inForce)
			if !ok {
				continue
			}
			if !best.Revision.After(inForce) {
				t.Fatalf("got %s in force after %s", best.Revision, inForce)
			}
			inForce = best.Revision
		}
	})
}
