// Package drain sums up over all entry instances how far an endpoint or a data
// centre has emptied.
package drain

// This file defines Report and Sum.

import (
	"fmt"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/command/inquiry"
	"github.com/jacinthstile/jacinthstile/internal/entry/operator"
)

// Instance is the row as one instance uses it.
type Instance struct {
	Name    string     `json:"name"` // its URL, where it did not answer
	Epoch   uint64     `json:"epoch"`
	Version uint64     `json:"version"`
	Closed  bool       `json:"closed"`         // the row gets no new work from here
	Flights int        `json:"flights"`        // calls in flight
	Last    *time.Time `json:"last,omitempty"` // last new call
	Error   string     `json:"error,omitempty"`
}

// Report is the row over all instances.
type Report struct {
	Row       string     `json:"row"`
	Endpoints int        `json:"endpoints"` // that the row stands for
	Flights   int        `json:"flights"`
	Last      *time.Time `json:"last,omitempty"`
	Empty     bool       `json:"empty"` // every instance answered, gives no new work and has none in flight
	Instances []Instance `json:"instances"`
}

// Sum returns how far a row, an endpoint or a data centre, has emptied. The
// error says that no instance has such a row.
func Sum(row string, answers []inquiry.Usage) (Report, error) {
	r := Report{Row: row, Empty: true}
	answered := 0
	for _, a := range answers {
		n, found := instanceOf(row, a)
		if a.Error == "" {
			answered++
		}
		r.Endpoints = max(r.Endpoints, found)
		r.Flights += n.Flights
		r.Last = later(r.Last, n.Last)
		r.Empty = r.Empty && a.Error == "" && found > 0 && n.Closed && n.Flights == 0
		r.Instances = append(r.Instances, n)
	}
	if answered > 0 && r.Endpoints == 0 {
		return r, fmt.Errorf("got row %q, want the name of an endpoint or a data centre of the table", row)
	}
	return r, nil
}

// instanceOf returns what one instance says, and how many of its endpoints the row stands for.
func instanceOf(row string, a inquiry.Usage) (n Instance, found int) {
	if a.Error != "" {
		return Instance{Name: a.URL, Error: a.Error}, 0
	}
	n = Instance{Name: a.Endpoints.Name, Epoch: a.Endpoints.Epoch, Version: a.Endpoints.Version, Closed: true}
	for _, e := range a.Endpoints.Endpoints {
		if e.Name != row && e.Centre != row {
			continue
		}
		found++
		n.Closed = n.Closed && isClosed(e)
		n.Flights += e.CallsInFlight
		n.Last = later(n.Last, e.LastCall)
	}
	n.Closed = n.Closed && found > 0
	return n, found
}

func isClosed(e operator.Endpoint) bool { return e.Weight == 0 || e.Leaving }

func later(a, b *time.Time) *time.Time {
	if a == nil || b != nil && b.After(*a) {
		return b
	}
	return a
}
