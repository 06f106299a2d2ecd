package catalog

// This file defines Route, Stage and Kind.

import (
	"fmt"
	"time"
)

// Kind says whether a request may be sent again after it may have run.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered by a stream of events. They run at most
	// once, unless Route.Resume is set.
	Stream
)

var kindNames = [...]string{
	Idempotent:    "idempotent",
	NonIdempotent: "non-idempotent",
	Stream:        "stream",
}

// String returns the name used in logs.
func (k Kind) String() string {
	if k < Idempotent || k > Stream {
		return fmt.Sprintf("kind(%d)", int(k))
	}
	return kindNames[k]
}

// NumPriorities is the number of priorities; 0 is the most urgent.
const NumPriorities = 10

// Route says how requests for one host and path prefix are served.
type Route struct {
	Name         string
	Host         string
	Prefix       string // begins and ends with a slash
	Kind         Kind
	Targets      []Target
	Timeout      time.Duration // upper limit on the time to the deadline; zero for no limit
	Goal         time.Duration // target for the time from receipt to the answer
	EventGapGoal time.Duration // target for the gap between two events of a stream
	Priority     int           // priority of the requests; 0 is the most urgent
	Attempts     int           // maximum number of endpoints that one request runs on
	Public       bool          // whether requests need no API key
	Resume       bool          // whether a broken stream may continue on another endpoint
	Stages       []Stage
	Regions      []string // in which its requests may be processed; empty for all
}

// Target is a service and its share of the requests of a route.
type Target struct {
	Service string
	Weight  int
}

// Stage is a preparatory step that must finish before the request itself runs.
type Stage struct {
	Service string
	After   []int // indexes of the earlier stages whose results it reads
	Bytes   int64 // approximate size of one result
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	switch r.Kind {
	case Idempotent:
		return true
	case NonIdempotent:
		return false
	case Stream:
		return r.Resume
	default:
		panic(fmt.Sprintf("catalog: got route kind %d", int(r.Kind)))
	}
}
