// Package plan works out what each model engine should hold. It is a pure
// function of one version of the table, so that instances that disagree about
// who is alive still want the same.
package plan

// This file defines Order and Of.

import (
	"slices"
	"strings"

	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/revision"
	"github.com/jacinthstile/jacinthstile/internal/table/sheet"
)

// Model is one model at one version, with the adapter on it.
type Model struct {
	Name    string
	Version string
	Adapter string // empty for none
}

// Order is what one engine should hold. At is its fencing number.
type Order struct {
	Endpoint string
	Address  string
	At       revision.Revision
	Role     string
	Models   []Model // ordered by name
	Bytes    int64   // of all the models' weights
}

// Of returns the orders of a table by endpoint name. Engines that may take no
// work, because their weight is zero, have none: what they hold stays.
func Of(s *sheet.Sheet) map[string]Order {
	out := make(map[string]Order)
	for _, e := range s.Endpoints {
		if e.Kind != endpoint.Engine || s.Weight(e.Name) == 0 {
			continue
		}
		out[e.Name] = orderOf(s, e)
	}
	return out
}

func orderOf(s *sheet.Sheet, e endpoint.Endpoint) Order {
	o := Order{Endpoint: e.Name, Address: e.Address, At: s.Revision(), Role: e.Role}
	names := slices.Compact(slices.Sorted(slices.Values(e.Models)))
	for _, name := range names {
		m := s.Model(name)
		o.Models = append(o.Models, Model{Name: m.Name, Version: m.Version, Adapter: m.Adapter})
		o.Bytes += m.Size
	}
	return o
}

// Same reports whether two orders ask for the same, whatever their fencing numbers.
func (o Order) Same(role string, models []Model) bool {
	if o.Role != role || len(o.Models) != len(models) {
		return false
	}
	sorted := slices.SortedFunc(slices.Values(models), func(a, b Model) int { return strings.Compare(a.Name, b.Name) })
	return slices.Equal(o.Models, sorted)
}

// Groups returns how many engines should hold each model, by model name.
func Groups(orders map[string]Order) map[string]int {
	out := make(map[string]int)
	for _, o := range orders {
		for _, m := range o.Models {
			out[m.Name]++
		}
	}
	return out
}
