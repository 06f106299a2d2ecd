package gathering_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/bench/arrival"
	"github.com/jacinthstile/jacinthstile/internal/bench/gathering"
)

const length = 30 * time.Second // of each replay

var sites = []gathering.Site{gathering.Kelang(), gathering.Slamka()}

func play(s gathering.Site, w gathering.Way, load float64, seed uint64) *gathering.Result {
	return gathering.Run(s, w, gathering.Options{Load: load, Length: length, Seed: seed})
}

// TestUsualLoadIsServed replays the usual load of each deployment.
func TestUsualLoadIsServed(t *testing.T) {
	for _, s := range sites {
		for seed := range uint64(3) {
			r := play(s, gathering.Ways()[0], 1, seed)
			for name, c := range r.Classes {
				NewWithT(t).Expect(c.Share()).To(BeNumerically(">=", 0.95), "%s seed %d, %s: %s", s.Name, seed, name, r)
			}
		}
	}
}

// TestGoodputIsFlatPastThePeak replays one, two and three times the usual
// load. What is served in time must not fall by more than 5 % from its peak.
func TestGoodputIsFlatPastThePeak(t *testing.T) {
	for _, s := range sites {
		peak := 0.0
		for _, load := range []float64{1, 2, 3} {
			goodput := load * play(s, gathering.Ways()[0], load, 1).Worth()
			NewWithT(t).Expect(goodput).To(BeNumerically(">=", 0.95*peak), "%s at %.0f times the load", s.Name, load)
			peak = max(peak, goodput)
		}
	}
}

// TestAdmissionPays replays twice and three times the load, where taking every
// job serves fewer in time and spends endpoints' time on requests that are not
// served.
func TestAdmissionPays(t *testing.T) {
	ways := gathering.Ways()
	for _, s := range sites {
		for _, load := range []float64{2, 3} {
			ours, blind := play(s, ways[0], load, 1), play(s, ways[1], load, 1)
			g := NewWithT(t)
			g.Expect(ours.Worth()).To(BeNumerically(">", blind.Worth()), "%s at %.0f: %s\nagainst %s", s.Name, load, ours, blind)
			g.Expect(ours.Waste).To(BeNumerically("<", ours.Busy/20), "%s at %.0f: %s", s.Name, load, ours)
		}
	}
}

// TestOneQueueBeatsMany replays the usual load with one instance that gathers
// and with each for itself.
func TestOneQueueBeatsMany(t *testing.T) {
	ways := gathering.Ways()
	for _, s := range sites {
		one, many := play(s, ways[0], 1, 1), play(s, ways[2], 1, 1)
		g := NewWithT(t)
		g.Expect(one.Worth()).To(BeNumerically(">", 2*many.Worth()), "%s: %s\nagainst %s", s.Name, one, many)
		g.Expect(one.Batch()).To(BeNumerically(">", many.Batch()), "%s", s.Name)
	}
}

// TestInstancesThatAreCutOffLeaveRoom replays loads before two instances that
// cannot reach each other, and before six, and all gather. Heeding that others
// use the endpoints as well must serve a quarter more in time.
func TestInstancesThatAreCutOffLeaveRoom(t *testing.T) {
	ways := gathering.Ways()
	for _, s := range sites {
		for _, load := range []float64{1, 2} {
			for _, pair := range [][2]gathering.Way{{ways[2], ways[3]}, {ways[4], ways[5]}} {
				alone, heeding := play(s, pair[0], load, 1), play(s, pair[1], load, 1)
				NewWithT(t).Expect(heeding.Worth()).To(BeNumerically(">", 1.25*alone.Worth()), "%s, %s at %.1f: %s\nagainst %s", s.Name,
					pair[1].Name, load, heeding, alone)
			}
		}
	}
}

// TestNoClassStarves replays loads at which not all can be served. No class
// may be served less than a quarter as often as all, and none much more often
// than a more urgent one that needs the same services.
func TestNoClassStarves(t *testing.T) {
	for _, s := range sites {
		for _, load := range []float64{1.5, 2, 3} {
			r := play(s, gathering.Ways()[0], load, 1)
			asked, served := 0, 0
			for _, c := range r.Classes {
				asked += c.Asked
				served += c.InTime + c.Late
			}
			all := float64(served) / float64(asked)
			for name, c := range r.Classes {
				share := float64(c.InTime+c.Late) / float64(c.Asked)
				NewWithT(t).Expect(share).To(BeNumerically(">=", all/4), "%s at %.1f, %s: %s", s.Name, load, name, r)
			}
		}
	}
}

// TestLargeRequestsAreServedAsOften replays loads at which not all can be
// served, and prompts of which some are read for far longer than others. Those
// have less time for their stages, and must be served at least half as often.
func TestLargeRequestsAreServedAsOften(t *testing.T) {
	for _, s := range sites {
		for _, load := range []float64{1.5, 2, 3} {
			r := gathering.Run(s, gathering.Ways()[0], gathering.Options{Load: load, Length: length, Seed: 1, Reading: 40 * time.Millisecond})
			for name, c := range r.Classes {
				all, largest := c.Served()
				NewWithT(t).Expect(largest).To(BeNumerically(">=", all/2), "%s at %.1f, %s: of all %.3f", s.Name, load, name, all)
			}
		}
	}
}

// TestResultsStayInTheirDataCentre replays a load that leaves endpoints idle
// now and then: at most a tenth of what pieces take may come from other data
// centres, where placing them anywhere would move two thirds.
func TestResultsStayInTheirDataCentre(t *testing.T) {
	for _, s := range sites {
		r := play(s, gathering.Ways()[0], 0.7, 1)
		g := NewWithT(t)
		g.Expect(r.Far).To(BeNumerically("<=", r.Taken/10), "%s: of %d bytes: %s", s.Name, r.Taken, r)
		g.Expect(r.Worth()).To(BeNumerically(">=", 0.99), "%s: %s", s.Name, r)
	}
}

// TestBurstsAreBorne replays bursts of one class after the other, as days of
// high load bring them. What the endpoints can make at most bounds what can be
// asked for: nothing is lost on kelang, and on slamka a tenth.
func TestBurstsAreBorne(t *testing.T) {
	for i, least := range []float64{0.97, 0.85} {
		s := sites[i]
		bursts := make(map[string][]arrival.Burst)
		for k, c := range s.Classes {
			bursts[c.Name] = []arrival.Burst{{At: time.Duration(3+8*k) * time.Second, Length: 6 * time.Second, Factor: 2.5}}
		}
		r := gathering.Run(s, gathering.Ways()[0], gathering.Options{Load: 1, Length: length, Bursts: bursts, Seed: 1})
		NewWithT(t).Expect(r.Worth()).To(BeNumerically(">=", least), "%s: %s", s.Name, r)
	}
}
