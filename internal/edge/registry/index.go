package registry

// This file defines Index.

import (
	"maps"
	"slices"
)

// Index finds endpoints by name and by service. It is immutable and safe for
// concurrent use.
type Index struct {
	byName    map[string]*Endpoint
	byService map[string][]*Endpoint // those that accept new work
	drained   []string               // services whose endpoints would accept new work if their data centres were not drained
}

// NewIndex returns the index of a list of endpoints.
func NewIndex(all []*Endpoint) *Index {
	x := &Index{
		byName:    make(map[string]*Endpoint, len(all)),
		byService: make(map[string][]*Endpoint),
	}
	held := make(map[string]bool) // services with endpoints in drained data centres
	for _, e := range all {
		x.byName[e.Name()] = e
		if e.AcceptsWork() {
			x.byService[e.Service] = append(x.byService[e.Service], e)
		} else if e.State != Draining {
			held[e.Service] = true
		}
	}
	for service := range held {
		if len(x.byService[service]) == 0 {
			x.drained = append(x.drained, service)
		}
	}
	return x
}

// ByName returns the endpoint with this Endpoint.Name, or nil.
func (x *Index) ByName(name string) *Endpoint { return x.byName[name] }

// ByID returns the endpoint with this id, or nil. It takes time in proportion to the number of
// endpoints.
func (x *Index) ByID(id string) *Endpoint {
	for _, e := range x.byName {
		if e.ID == id {
			return e
		}
	}
	return nil
}

// Accepting returns the endpoints of a service that accept new work.
func (x *Index) Accepting(service string) []*Endpoint { return x.byService[service] }

// Drained returns the services none of whose endpoints accepts new work, since their data centres are
// drained. Requests that need them can't be served.
func (x *Index) Drained() []string { return x.drained }

// Services returns the names of the services with endpoints that accept new work.
func (x *Index) Services() []string { return slices.Collect(maps.Keys(x.byService)) }

// AcceptingVersion returns the endpoints of a service that accept new work and whose software
// has the version; all of them if the version is empty.
func (x *Index) AcceptingVersion(service, version string) []*Endpoint {
	all := x.byService[service]
	if version == "" {
		return all
	}
	var list []*Endpoint
	for _, e := range all {
		if e.Version == version {
			list = append(list, e)
		}
	}
	return list
}
