// Package departure says which endpoints must take no more work because the
// date by which they must be empty is near. It is a pure function of the table
// and the time, so that the date does not move when the platform or peers are
// out of reach.
package departure

// This file defines Due.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/table/sheet"
)

// Due returns the endpoints whose own leaving date, or that of their data
// centre, is no further away than the longest deadline of the table. Work that
// they were given before has ended by the date.
func Due(s *sheet.Sheet, now time.Time) map[string]bool {
	due := make(map[string]bool)
	last := now.Add(longest(s))
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		c := s.Centre(e.Centre)
		if isBy(e.Leave, last) || c != nil && isBy(c.Leave, last) {
			due[e.Name] = true
		}
	}
	return due
}

func isBy(date *time.Time, last time.Time) bool { return date != nil && !date.After(last) }

// longest returns the longest deadline that a request can have.
func longest(s *sheet.Sheet) time.Duration {
	var d time.Duration
	for _, p := range s.Pipelines {
		d = max(d, p.Deadline.Duration())
	}
	for _, v := range s.Services {
		d = max(d, v.Deadline.Duration())
	}
	return d
}
