package registry

// This file defines departures, the endpoint processes that left.

import (
	"maps"
	"time"
)

const (
	// leavingRetention is how long it is remembered that a process of an endpoint
	// leaves. It is longer than any process takes to leave, and than the age of a
	// copy from which the store may come back.
	leavingRetention = 10 * time.Minute
	// removalRetention is how long a registration that was removed is not believed if
	// it is in the copy from which the store came back. A registration of a process
	// that is gone expires within that time.
	removalRetention = 30 * time.Second
)

// departures holds the processes of endpoints that said that they leave, or whose
// registration was removed, by Endpoint.Name. The Registry's lock guards it.
type departures struct {
	leaving map[string]time.Time // when it was first known that the process leaves
	removed map[string]time.Time // when the registration was removed
}

func newDepartures() departures {
	return departures{leaving: make(map[string]time.Time), removed: make(map[string]time.Time)}
}

// markLeaving records that a process leaves, and reports whether that is new.
func (d *departures) markLeaving(name string, now time.Time) bool {
	if _, ok := d.leaving[name]; ok {
		return false
	}
	d.leaving[name] = now
	return true
}

// isLeaving reports whether the process of an endpoint said that it leaves. Without a
// start time a process cannot be told from the next one under the same id, so its
// registration alone decides.
func (d *departures) isLeaving(e *Endpoint) bool {
	_, ok := d.leaving[e.Name()]
	return ok && e.StartTime != 0
}

// wasRemoved reports whether the registration of a process was removed not long ago.
func (d *departures) wasRemoved(name string, now time.Time) bool {
	at, ok := d.removed[name]
	return ok && now.Sub(at) < removalRetention
}

// prune forgets what is older than its retention time.
func (d *departures) prune(now time.Time) {
	maps.DeleteFunc(d.leaving, func(_ string, at time.Time) bool { return now.Sub(at) > leavingRetention })
	maps.DeleteFunc(d.removed, func(_ string, at time.Time) bool { return now.Sub(at) > removalRetention })
}
