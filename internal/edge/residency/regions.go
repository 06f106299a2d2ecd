// Package residency finds the data centres in which a request may be processed, where its route or its
// client account is restricted to regions. It answers the load of one region that spills over into another
// one, where its data must not go. The package does no I/O.
package residency

// This file defines Regions.

import (
	"maps"
	"slices"
)

// Regions knows the region of each data centre. It is immutable and safe for concurrent use.
type Regions struct{ of map[string]string }

// New returns the regions of the data centres that the map names.
func New(of map[string]string) *Regions { return &Regions{of: maps.Clone(of)} }

// Centres returns the data centres in regions that are in each of the lists, sorted. An empty list restricts
// nothing. The result is nil if no data centre is left out, and empty if all are.
func (r *Regions) Centres(lists ...[]string) []string {
	lists = slices.DeleteFunc(slices.Clone(lists), func(l []string) bool { return len(l) == 0 })
	if len(lists) == 0 {
		return nil
	}
	centres := make([]string, 0, len(r.of))
	for centre, region := range r.of {
		if !slices.ContainsFunc(lists, func(l []string) bool { return !slices.Contains(l, region) }) {
			centres = append(centres, centre)
		}
	}
	if len(centres) == len(r.of) && len(centres) > 0 {
		return nil
	}
	slices.Sort(centres)
	return centres
}
