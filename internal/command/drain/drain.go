// Package drain computes the drain state of an endpoint or a data centre from the
// reports of all entry instances: whether any of them still sends it new calls
// and how many calls are in flight.
package drain

// This file defines Report and Summarize.

import (
	"fmt"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/command/operatorclient"
	"github.com/jacinthstile/jacinthstile/internal/entry/operator"
)

// Instance is the state of the row at one entry instance.
type Instance struct {
	Name          string     `json:"name"` // the instance's URL if it did not answer
	Epoch         uint64     `json:"epoch"`
	Version       uint64     `json:"version"`
	Closed        bool       `json:"closed"` // whether this instance sends no new calls to the row
	CallsInFlight int        `json:"flights"`
	LastCall      *time.Time `json:"last,omitempty"` // start of the last call
	Error         string     `json:"error,omitempty"`
}

// Report is the state of a row, which is an endpoint or a data centre, at all
// entry instances.
type Report struct {
	Row           string     `json:"row"`
	Endpoints     int        `json:"endpoints"` // number of endpoints that the row comprises
	CallsInFlight int        `json:"flights"`
	LastCall      *time.Time `json:"last,omitempty"`
	Empty         bool       `json:"empty"` // whether every instance answered, sends no new calls and has none in flight
	Instances     []Instance `json:"instances"`
}

// Summarize combines the reports of the instances about a row, the name of an
// endpoint or a data centre. It returns an error if some instances answered and
// none of them has such a row.
func Summarize(row string, reports []operatorclient.InstanceEndpoints) (Report, error) {
	r := Report{Row: row, Empty: true}
	answered := 0
	for _, a := range reports {
		n, found := instanceOf(row, a)
		if a.Error == "" {
			answered++
		}
		r.Endpoints = max(r.Endpoints, found)
		r.CallsInFlight += n.CallsInFlight
		r.LastCall = latest(r.LastCall, n.LastCall)
		r.Empty = r.Empty && a.Error == "" && found > 0 && n.Closed && n.CallsInFlight == 0
		r.Instances = append(r.Instances, n)
	}
	if answered > 0 && r.Endpoints == 0 {
		return r, fmt.Errorf("got row %q, want the name of an endpoint or a data centre of the table", row)
	}
	return r, nil
}

// instanceOf returns the state of the row at the instance that sent report a, and
// the number of endpoints in the report that belong to the row.
func instanceOf(row string, a operatorclient.InstanceEndpoints) (n Instance, found int) {
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
		n.CallsInFlight += e.CallsInFlight
		n.LastCall = latest(n.LastCall, e.LastCall)
	}
	n.Closed = n.Closed && found > 0
	return n, found
}

func isClosed(e operator.Endpoint) bool { return e.Weight == 0 || e.Leaving }

func latest(a, b *time.Time) *time.Time {
	if a == nil || b != nil && b.After(*a) {
		return b
	}
	return a
}
