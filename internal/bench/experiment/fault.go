package experiment

// This file defines Fault.

import (
	"fmt"
	"slices"
)

// Fault is what goes wrong during a run, from its faultAt on.
type Fault int

// Faults.
const (
	None            Fault = iota
	SlowEngine            // one engine takes ten times as long
	DyingEngine           // one engine loses its calls and refuses connections
	FailingRetrieve       // the retrieve stage fails a fifth of its calls
	FailingGenerate       // the generate stage fails a fifth of its calls
	Burst                 // five times the arrivals for five seconds
	LateReports           // load reports are two seconds late
	CacheGaps             // three in ten cache events are lost
	EmptiedCentre         // one data centre gets weight zero
	Hog                   // one client account sends ten times its share
)

var faults = [...]string{
	None:            "none",
	SlowEngine:      "slow engine",
	DyingEngine:     "dying engine",
	FailingRetrieve: "retrieve fails 20%",
	FailingGenerate: "generate fails 20%",
	Burst:           "burst of 5x",
	LateReports:     "reports 2 s late",
	CacheGaps:       "cache events 30% lost",
	EmptiedCentre:   "centre emptied",
	Hog:             "account at 10x",
}

// Faults returns all faults, None first.
func Faults() []Fault {
	list := make([]Fault, len(faults))
	for i := range faults {
		list[i] = Fault(i)
	}
	return list
}

// String returns the name used in reports.
func (f Fault) String() string {
	if f < None || f > Hog {
		return fmt.Sprintf("fault(%d)", int(f))
	}
	return faults[f]
}

// MarshalText returns the name used in reports.
func (f Fault) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText reads the name used in reports.
func (f *Fault) UnmarshalText(text []byte) error {
	i := slices.Index(faults[:], string(text))
	if i < 0 {
		return fmt.Errorf("reading a fault: got %q, want one of %q", text, faults)
	}
	*f = Fault(i)
	return nil
}
