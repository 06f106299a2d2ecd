package routingsim

// This file defines Fault.

import (
	"fmt"
	"slices"
)

// Fault is what goes wrong during a run, from the end of the warm-up on.
type Fault int

// Faults. NoisyAccount applies from the start of the run.
const (
	NoFault         Fault = iota
	SlowEngine            // the service times of one engine are ten times as long
	DyingEngine           // one engine loses its calls and then refuses connections
	FailingRetrieve       // a fifth of the calls of the retrieve stage fail
	FailingGenerate       // a fifth of the calls of the generate stage fail
	Burst                 // five times as many requests arrive for five seconds
	LateReports           // load reports are two seconds late
	CacheGaps             // 30 % of the cache events are lost
	EmptiedCentre         // one data centre gets weight zero
	NoisyAccount          // one client account sends ten times its share
)

var faults = [...]string{
	NoFault:         "none",
	SlowEngine:      "slow engine",
	DyingEngine:     "dying engine",
	FailingRetrieve: "retrieve fails 20%",
	FailingGenerate: "generate fails 20%",
	Burst:           "burst of 5x",
	LateReports:     "reports 2 s late",
	CacheGaps:       "cache events 30% lost",
	EmptiedCentre:   "centre emptied",
	NoisyAccount:    "account at 10x",
}

// Faults returns all faults, NoFault first.
func Faults() []Fault {
	list := make([]Fault, len(faults))
	for i := range faults {
		list[i] = Fault(i)
	}
	return list
}

// String returns the name used in reports.
func (f Fault) String() string {
	if f < NoFault || f > NoisyAccount {
		return fmt.Sprintf("fault(%d)", int(f))
	}
	return faults[f]
}

// MarshalText returns the name used in reports.
func (f Fault) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText parses the name used in reports.
func (f *Fault) UnmarshalText(text []byte) error {
	i := slices.Index(faults[:], string(text))
	if i < 0 {
		return fmt.Errorf("reading a fault: got %q, want one of %q", text, faults)
	}
	*f = Fault(i)
	return nil
}
