// Package outline provides the parts of a configuration that a check looks at, in one form for the
// product's table and for other published formats. It does no I/O.
package outline

// This file defines Outline and its rows.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/table/revision"
)

// Outline is a configuration. A Row field names the row as reports do, such as "account north".
type Outline struct {
	Revision  revision.Revision
	Routes    []Route
	Services  []Service
	Endpoints []Endpoint // nil if endpoints register themselves, and are in no configuration
	Accounts  []Account
	Bounds    []Bound
	// Cells holds the texts of all values by row and column, to compare configurations. It holds no secrets.
	Cells map[string]map[string]string
}

// Route is a set of requests that are served alike.
type Route struct {
	Row, Column string // Column is empty if the route is a row of its own
	Host        string // host, or another key of which one value is matched exactly
	Method      string // empty for any
	Prefix      string // of the path
	Targets     []Target
	Steps       []Step
	Goal        time.Duration // zero for none
	Timeout     time.Duration // zero for none
}

// Target is a service that answers requests of a route.
type Target struct {
	Service string
	Weight  float64
}

// Step is a stage of a route.
type Step struct {
	Column  string
	Service string
	Model   string        // that an endpoint of the service must hold; empty for none
	After   []int         // indexes of the steps whose results it reads
	Least   time.Duration // that it takes at least
	Bytes   int64         // of one result; zero if not known
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Row         string
	Name        string
	ResultBytes int64 // space for results at one endpoint; zero if not known
	MaxPieces   int   // in one call; zero if not known
}

// Endpoint is a worker.
type Endpoint struct {
	Row     string
	Service string
	Models  []string
	Weight  float64 // that of its data centre included; zero for no new work
	Leave   *time.Time
	// CentreLeave is the leaving date of its data centre.
	CentreLeave *time.Time
}

// Account is a client account.
type Account struct {
	Row  string
	Keys []string // digests of its keys
}

// Bound is a limit that the configuration sets within what an instance accepts at all.
type Bound struct {
	Column string
	Value  float64
	Most   float64 // that has an effect
	Unit   string
}
