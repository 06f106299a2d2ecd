// Package plan computes the desired placement, that is which models each engine
// should hold, and decides whether an engine must be ordered to change.
//
// The placement is a pure function of one version of the table. Instances that have
// the same table therefore compute the same placement, even if they disagree about
// which instances are alive. The package does no I/O and no locking.
package plan

// This file defines Order and Orders.

import (
	"slices"
	"strings"

	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/revision"
)

// Model is one version of a model, with an optional adapter.
type Model struct {
	Name    string
	Version string
	Adapter string // empty if there is none
}

// Order is the role and the models that one engine should hold.
type Order struct {
	Endpoint string
	Address  string
	At       revision.Revision // revision of the table, the order's fencing number
	Role     string
	Models   []Model // ordered by name
	Bytes    int64   // total size of the models' weights
}

// Orders returns the orders of a table by endpoint name. An engine that may take no
// work, because its weight is zero, has no order and keeps the models that it holds.
func Orders(table *fleettable.Table) map[string]Order {
	out := make(map[string]Order)
	for _, e := range table.Endpoints {
		if e.Kind != endpoint.Engine || table.Weight(e.Name) == 0 {
			continue
		}
		out[e.Name] = orderOf(table, e)
	}
	return out
}

func orderOf(table *fleettable.Table, e endpoint.Endpoint) Order {
	o := Order{Endpoint: e.Name, Address: e.Address, At: table.Revision(), Role: e.Role}
	names := slices.Compact(slices.Sorted(slices.Values(e.Models)))
	for _, name := range names {
		m := table.Model(name)
		o.Models = append(o.Models, Model{Name: m.Name, Version: m.Version, Adapter: m.Adapter})
		o.Bytes += m.Size
	}
	return o
}

// Matches reports whether an engine with the given role and models, in any order,
// holds what the order demands. It ignores the fencing number.
func (o Order) Matches(role string, models []Model) bool {
	if o.Role != role || len(o.Models) != len(models) {
		return false
	}
	sorted := slices.SortedFunc(slices.Values(models), func(a, b Model) int { return strings.Compare(a.Name, b.Name) })
	return slices.Equal(o.Models, sorted)
}

// EnginesPerModel returns the number of engines that should hold each model, by model
// name.
func EnginesPerModel(orders map[string]Order) map[string]int {
	out := make(map[string]int)
	for _, o := range orders {
		for _, m := range o.Models {
			out[m.Name]++
		}
	}
	return out
}
