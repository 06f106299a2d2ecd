package fairshare

// This file computes the level of the shares.

import (
	"cmp"
	"math"
	"slices"
)

// group is a number of accounts with the same demand.
type group struct {
	weight float64 // of all accounts of the group
	demand float64 // of all accounts of the group
}

// computeLevel returns the level at which the accounts together get what was admitted.
func (l *Ledger) computeLevel() float64 {
	if l.total.admitted >= l.total.demand {
		return math.Inf(1)
	}
	groups := make([]group, 0, len(l.accounts)+1)
	rest, least := l.total.demand, math.Inf(1)
	for _, a := range l.accounts {
		groups = append(groups, group{weight: a.weight, demand: a.demand})
		rest -= a.demand
		least = min(least, a.demand)
	}
	if len(l.accounts) == Capacity && rest > 0 {
		// Of the accounts that are not kept none has more demand than the least of those that are.
		groups = append(groups, group{weight: max(1, rest/least), demand: rest})
	}
	return fill(groups, l.total.admitted)
}

// fill returns the level at which the groups get an amount together if each gets its weight
// times the level, or its demand if that is less.
func fill(groups []group, amount float64) float64 {
	slices.SortFunc(groups, func(a, b group) int { return cmp.Compare(a.demand*b.weight, b.demand*a.weight) })
	weight := 0.0
	for _, g := range groups {
		weight += g.weight
	}
	for _, g := range groups {
		if g.demand*weight > amount*g.weight {
			return amount / weight
		}
		amount -= g.demand
		weight -= g.weight
	}
	return math.Inf(1)
}
