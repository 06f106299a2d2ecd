package fleet

// This file defines Index, the published view of a fleet.

// Index finds endpoints. It is frozen.
type Index struct {
	byName   map[string]*Endpoint
	services map[string][]*Endpoint
}

// NewIndex returns the index of a list of endpoints.
func NewIndex(all []*Endpoint) *Index {
	x := &Index{
		byName:   make(map[string]*Endpoint, len(all)),
		services: make(map[string][]*Endpoint),
	}
	for _, e := range all {
		x.byName[e.Name()] = e
		if e.Takes() {
			x.services[e.Service] = append(x.services[e.Service], e)
		}
	}
	return x
}

// Named returns the endpoint of a name, or nil.
func (x *Index) Named(name string) *Endpoint { return x.byName[name] }

// Of returns the endpoints of a service that take new work.
func (x *Index) Of(service string) []*Endpoint { return x.services[service] }
