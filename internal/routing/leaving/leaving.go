// Package leaving determines which endpoints must get no new work because the
// date by which they must be empty is near. The result depends only on the table
// and the time, so an instance keeps to the date even when it cannot reach the
// platform or its peers.
package leaving

// This file defines Due.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

// Due returns the names of the endpoints whose leaving date, or that of their
// data centre, is no further away than the longest deadline in the table. Any
// work that an endpoint was given before then has ended by the date.
func Due(table *fleettable.Table, now time.Time) map[string]bool {
	due := make(map[string]bool)
	latest := now.Add(longestDeadline(table))
	for i := range table.Endpoints {
		e := &table.Endpoints[i]
		c := table.Centre(e.Centre)
		if notAfter(e.Leave, latest) || c != nil && notAfter(c.Leave, latest) {
			due[e.Name] = true
		}
	}
	return due
}

// notAfter reports whether a date is set and not after the latest time.
func notAfter(date *time.Time, latest time.Time) bool { return date != nil && !date.After(latest) }

// longestDeadline returns the longest deadline that a request can have.
func longestDeadline(table *fleettable.Table) time.Duration {
	var d time.Duration
	for _, p := range table.Pipelines {
		d = max(d, p.Deadline.Duration())
	}
	for _, v := range table.Services {
		d = max(d, v.Deadline.Duration())
	}
	return d
}
