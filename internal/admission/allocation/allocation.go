// Package allocation divides services that are short between the kinds of work that need
// them.
//
// A kind of work may need several services, and can be served only as far as the
// shortest of them allows. What it would take of the others beyond that is left to the
// kinds that can use it. The division is max-min fair up to a guaranteed part of each
// kind's fair share, so that no kind is starved; beyond it, the more urgent priorities are
// served first.
//
// It answers overload in which an urgent kind needs a long path and a less urgent one a
// short path or has more time: admission in the order of arrival serves the latter first.
//
// The package keeps no state and does no I/O.
package allocation

// This file defines Demand and Shares.

import "slices"

const (
	// guaranteedPart is the part of its max-min fair share that each kind is served
	// whatever its priority.
	guaranteedPart = 0.5
	// negligible is the part of a service's capacity, or of a demand, that counts as none.
	negligible = 1e-9
)

// Demand is the demand of one kind of work.
type Demand struct {
	Priority int       // zero is the most urgent
	Use      []float64 // by service: part of its capacity that serving all of the demand takes; the same length for all demands
}

// division is a division of the services in the making.
type division struct {
	demands []Demand
	shares  []float64 // by demand
	left    []float64 // by service: part of its capacity that is not allotted
}

// Shares returns the share of each demand that is to be served, from 0 to 1.
func Shares(demands []Demand) []float64 {
	if len(demands) == 0 {
		return nil
	}
	fair := newDivision(demands)
	fair.raise(func(Demand) bool { return true })
	d := newDivision(demands)
	priorities := make([]int, len(demands))
	for i, x := range demands {
		d.add(i, guaranteedPart*fair.shares[i])
		priorities[i] = x.Priority
	}
	slices.Sort(priorities)
	for _, p := range slices.Compact(priorities) {
		d.raise(func(x Demand) bool { return x.Priority == p })
	}
	return d.shares
}

func newDivision(demands []Demand) *division {
	d := &division{demands: demands, shares: make([]float64, len(demands)), left: make([]float64, len(demands[0].Use))}
	for r := range d.left {
		d.left[r] = 1
	}
	return d
}

// add raises the share of a demand.
func (d *division) add(i int, share float64) {
	if d.shares[i] += share; d.shares[i] > 1-negligible {
		d.shares[i] = 1
	}
	for r, use := range d.demands[i].Use {
		d.left[r] = max(0, d.left[r]-share*use)
	}
}

// raise raises the shares of the selected demands by the same steps, each until it is
// served whole or a service that it needs is used up.
func (d *division) raise(selected func(Demand) bool) {
	for {
		var rising []int
		for i, x := range d.demands {
			if selected(x) && d.shares[i] < 1 && d.fits(x) {
				rising = append(rising, i)
			}
		}
		if len(rising) == 0 {
			return
		}
		step := d.step(rising)
		for _, i := range rising {
			d.add(i, step)
		}
	}
}

// fits reports whether something is left of all services that a demand needs.
func (d *division) fits(x Demand) bool {
	for r, use := range x.Use {
		if use > 0 && d.left[r] <= negligible {
			return false
		}
	}
	return true
}

// step returns the greatest step by which all of the given demands can rise.
func (d *division) step(rising []int) float64 {
	step := 1.0
	use := make([]float64, len(d.left))
	for _, i := range rising {
		step = min(step, 1-d.shares[i])
		for r, u := range d.demands[i].Use {
			use[r] += u
		}
	}
	for r, u := range use {
		if u > 0 {
			step = min(step, d.left[r]/u)
		}
	}
	return step
}
