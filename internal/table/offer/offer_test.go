package offer_test

// This file tests the order in which offers are fetched.

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jacinthstile/jacinthstile/internal/table/offer"
	"github.com/jacinthstile/jacinthstile/internal/table/revision"
)

// Schedules are the same on every run; -rapid.seed chooses others.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

var start = time.Unix(1000, 0)

func at(epoch, version uint64) revision.Revision {
	return revision.Revision{Epoch: epoch, Version: version}
}

func TestHighestOfferThatMayBeFetchedIsBest(t *testing.T) {
	g := NewWithT(t)
	s := offer.New()
	s.Platform(at(1, 3), []byte("m"), start.Add(time.Second))
	s.Peer(at(1, 2), "b", start)
	best, _, ok := s.Best(start, at(1, 1))
	g.Expect(ok).To(BeTrue())
	g.Expect(best.At).To(Equal(at(1, 2)))
	s.Peer(at(1, 3), "c", start)
	best, _, ok = s.Best(start, at(1, 1))
	g.Expect(ok).To(BeTrue())
	g.Expect(best.At).To(Equal(at(1, 3)))
	g.Expect(best.Holders).To(Equal([]string{"c"}))
}

func TestOfferThatFailedWaitsLongerEachTime(t *testing.T) {
	g := NewWithT(t)
	s := offer.New()
	now := start
	s.Platform(at(2, 1), []byte("m"), now)
	var last time.Duration
	for range 4 {
		s.Failed(at(2, 1), now, 0.5)
		s.Peer(at(2, 1), "b", now) // does not shorten the wait
		_, wait, ok := s.Best(now, at(1, 1))
		g.Expect(ok).To(BeFalse())
		g.Expect(wait).To(BeNumerically(">", last))
		last, now = wait, now.Add(wait)
	}
}

func TestRefusedOfferIsNotTakenAgain(t *testing.T) {
	g := NewWithT(t)
	s := offer.New()
	s.Platform(at(2, 1), []byte("m"), start)
	s.Refuse(at(2, 1))
	s.Platform(at(2, 1), []byte("m"), start)
	s.Peer(at(2, 1), "b", start)
	_, wait, ok := s.Best(start, at(1, 1))
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(BeZero())
}

// TestBestIsAlwaysAfterTheTableInForce feeds offers in any order.
func TestBestIsAlwaysAfterTheTableInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := offer.New()
		now := start
		inForce := revision.Revision{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r := at(rapid.Uint64Range(0, 3).Draw(t, "epoch"), rapid.Uint64Range(0, 9).Draw(t, "version"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				s.Platform(r, []byte("m"), now)
			case 1:
				s.Peer(r, "b", now)
			case 2:
				s.Failed(r, now, 0)
			case 3:
				s.Refuse(r)
			}
			now = now.Add(time.Second)
			best, _, ok := s.Best(now, inForce)
			if !ok {
				continue
			}
			if !best.At.After(inForce) {
				t.Fatalf("got %s in force after %s", best.At, inForce)
			}
			inForce = best.At
		}
	})
}
