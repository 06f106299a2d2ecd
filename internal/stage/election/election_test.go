package election_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/stage/election"
)

const (
	round = 300 * time.Millisecond // between two questions
	delay = 2 * time.Millisecond
)

// instance is one daemon of a simulated fleet.
type instance struct {
	*election.Election
	address string
	up      bool
	stopped bool // up, and no longer fit
	doubt   bool
	rounds  int // since its start
}

// fleet plays instances that ask each other in rounds.
type fleet struct {
	now       time.Time
	instances []*instance
	cut       func(from, to string) bool
	births    int64
	asked     int
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), cut: func(string, string) bool { return false }}
	for i := range n {
		f.instances = append(f.instances, &instance{address: fmt.Sprint("i", i)})
		f.start(i)
	}
	return f
}

// start starts an instance anew. The first three are everybody's seeds.
func (f *fleet) start(i int) {
	f.births++
	in := f.instances[i]
	in.Election = election.New(election.Candidate{Address: in.address, Power: 400, Since: f.births}, []string{"i0", "i1", "i2"})
	in.up, in.stopped, in.rounds = true, false, 0
}

func (f *fleet) find(address string) *instance {
	for _, in := range f.instances {
		if in.address == address && in.up {
			return in
		}
	}
	return nil
}

// run plays rounds and returns how often instances changed their leader.
func (f *fleet) run(rounds int) (changes int) {
	for range rounds {
		f.now = f.now.Add(round)
		for _, in := range f.instances {
			if !in.up {
				continue
			}
			in.SetState(!in.stopped, in.doubt)
			before := in.Leader(f.now)
			for _, address := range in.Ask(nil, in.rounds%4 == 0 || before == in.address, f.now) {
				f.asked++
				to := f.find(address)
				if to == nil || f.cut(in.address, address) || f.cut(address, in.address) {
					in.Failed(address)
					continue
				}
				to.Heard(in.Tell(f.now))
				in.Answered(address, to.Tell(f.now), f.now)
			}
			if in.rounds++; in.rounds > 2 {
				in.Claim(f.now)
			}
			if in.Leader(f.now) != before {
				changes++
			}
		}
	}
	return changes
}

// leaders returns whom the instances that are up follow.
func (f *fleet) leaders() map[string]int {
	m := make(map[string]int)
	for _, in := range f.instances {
		if in.up {
			m[in.Leader(f.now)]++
		}
	}
	return m
}

func TestAllFollowOne(t *testing.T) {
	for _, n := range []int{1, 2, 9, 86} {
		f := newFleet(n)
		f.run(4)
		NewWithT(t).Expect(f.leaders()).To(HaveLen(1), "%d instances", n)
	}
}

func TestDeadLeaderIsLeftWithinTwoRounds(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(9)
	f.run(6)
	g.Expect(f.leaders()).To(Equal(map[string]int{"i8": 9}))
	f.find("i8").up = false
	f.run(2)
	g.Expect(f.leaders()).To(Equal(map[string]int{"i7": 8}))
	f.start(8)
	f.run(6)
	g.Expect(f.leaders()).To(Equal(map[string]int{"i7": 9}), "the one that gathers keeps the work")
}

// TestRestartsInTurnChangeTheLeaderTwice replays a day on which all instances
// are stopped and started one after the other, in any order. The work moves
// when its first leader stops, to one that was restarted already if any was,
// and so once more at most.
func TestRestartsInTurnChangeTheLeaderTwice(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(9)
		f.run(6)
		leader := f.instances[0].Leader(f.now)
		moves := 0
		for _, i := range rand.New(rand.NewPCG(seed, 0)).Perm(9) {
			for _, do := range []func(){
				func() { f.instances[i].stopped = true },
				func() { f.instances[i].up = false },
				func() { f.start(i) },
			} {
				do()
				f.run(6)
				NewWithT(t).Expect(f.leaders()).To(HaveLen(1), "seed %d", seed)
				for now := range f.leaders() {
					if now != leader {
						leader = now
						moves++
					}
				}
			}
		}
		NewWithT(t).Expect(moves).To(BeNumerically("<=", 2), "seed %d", seed)
	}
}

// TestWorkingLeaderIsAsked checks that an instance that turned unfit is still
// asked by those that it works for, and so not taken for silent.
func TestWorkingLeaderIsAsked(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	e := election.New(election.Candidate{Address: "b", Since: 2}, []string{"b"})
	e.Answered("a", []election.Candidate{{Address: "a", Since: 1, Heard: now}}, now)
	g.Expect(e.Ask(nil, false, now)).To(BeEmpty(), "it is not followed")
	g.Expect(e.Ask([]string{"a"}, false, now)).To(Equal([]string{"a"}))
}

func TestCutInstanceFollowsWhomItReaches(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(5)
	f.run(6)
	f.cut = func(a, b string) bool { return a == "i0" && b == "i4" }
	f.run(6)
	g.Expect(f.leaders()).To(Equal(map[string]int{"i4": 4, "i3": 1}))
	f.cut = func(a, b string) bool { return (a == "i0") != (b == "i0") }
	f.run(6)
	g.Expect(f.leaders()).To(Equal(map[string]int{"i4": 4, "i0": 1}), "alone, it gathers for itself")
	f.cut = func(string, string) bool { return false }
	f.run(6)
	g.Expect(f.leaders()).To(Equal(map[string]int{"i4": 5}))
}

// TestSilentLeader checks when what was asked of a leader is given up.
func TestSilentLeader(t *testing.T) {
	g := NewWithT(t)
	e := election.New(election.Candidate{Address: "b", Since: 1}, []string{"a"})
	now := time.Unix(1000, 0)
	e.SetState(true, false)
	g.Expect(e.Leader(now)).To(Equal("b"))
	e.Answered("a", []election.Candidate{{Address: "a", Since: 2, Fit: true, Heard: now}}, now)
	g.Expect(e.Leader(now)).To(Equal("a"))
	g.Expect(e.Silent("a", now.Add(election.Silence))).To(BeFalse())
	g.Expect(e.Silent("a", now.Add(election.Silence+delay))).To(BeTrue())
	g.Expect(e.Leader(now.Add(election.Silence + delay))).To(Equal("b"))
	e.Answered("a", []election.Candidate{{Address: "a", Since: 1, Heard: now.Add(time.Second)}}, now.Add(time.Second))
	g.Expect(e.Leader(now.Add(time.Second))).To(Equal("b"), "it says that it cannot gather")
}

// TestDoubtMattersOnlyWhereSomeAreBetter cuts the leader off from the store,
// and then takes the store away from all.
func TestDoubtMattersOnlyWhereSomeAreBetter(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(5)
	f.run(6)
	f.instances[4].doubt = true
	f.run(4)
	g.Expect(f.leaders()).To(Equal(map[string]int{"i3": 5}))
	for _, in := range f.instances {
		in.doubt = true
	}
	f.run(4)
	g.Expect(f.leaders()).To(HaveLen(1), "one gathers, though nobody hears of the store")
}

// TestQuestionsAreFew counts the questions of a large fleet at rest.
func TestQuestionsAreFew(t *testing.T) {
	f := newFleet(86)
	f.run(10)
	f.asked = 0
	f.run(100)
	NewWithT(t).Expect(float64(f.asked)/100/86).To(BeNumerically("<=", 2.5), "questions of an instance in a round")
}
