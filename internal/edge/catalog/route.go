package catalog

// This file defines Route, Stage and Kind.

import (
	"fmt"
	"time"
)

// Kind says what of a request may be repeated.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run once at most.
	NonIdempotent
	// Stream requests are answered by events. They run once at most, unless
	// the route can resume.
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

// Ranks is how many ranks there are; zero is the most urgent.
const Ranks = 10

// Route says how the requests below one path are served.
type Route struct {
	Name     string
	Host     string
	Prefix   string // begins and ends with a slash
	Kind     Kind
	Targets  []Target
	Timeout  time.Duration // that a request may be kept waiting
	Goal     time.Duration // within which an answer is worth most
	Pause    time.Duration // longest pause between two events that is on time
	Rank     int           // zero is the most urgent
	Attempts int           // endpoints that one request may run on
	Public   bool          // whether no key is needed
	Resume   bool          // whether a stream may go on at another endpoint
	Stages   []Stage
}

// Target is a service with its share of a route.
type Target struct {
	Service string
	Weight  int
}

// Stage is work that is done before the request itself can run.
type Stage struct {
	Service string
	After   []int // stages whose results it takes
	Bytes   int64 // of one result, roughly
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
