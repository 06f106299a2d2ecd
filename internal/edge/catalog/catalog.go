// Package catalog provides the published routing configuration: which path
// goes to which service, what may be repeated there, and which client account
// a key belongs to. A Catalog is frozen once built and shared without locks.
package catalog

// This file defines Catalog and its lookups.

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Catalog is one version of the configuration.
type Catalog struct {
	Version  uint64
	Services map[string]*Service
	Limits   Limits

	routes   []*Route
	hosts    map[string][]*Route // longest prefix first
	accounts map[string]Account  // by key
	keyed    bool                // whether any accounts are published
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Account is a client account and its rank; zero is the most urgent rank.
type Account struct {
	Name    string
	Rank    int
	HasRank bool
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Name       string
	HealthPath string
	MostConns  int // over all callers, for each endpoint
	Engine     *Engine
	Batch      *Batch
}

// Engine describes the endpoints of a generation service.
type Engine struct {
	Slots      int
	Tokens     int // memory of one endpoint, in tokens
	TokenBytes int
}

// Batch describes the endpoints of a service that makes pieces of stages.
type Batch struct {
	Most  int           // pieces in one call
	Calls int           // calls in progress at one endpoint
	Queue int           // calls that may wait at one endpoint
	Call  time.Duration // of a call, whatever it holds
	Item  time.Duration // of one piece, roughly
	Room  int64         // bytes of results that one endpoint holds
	Keep  time.Duration // that a result is held after its call
}

// New returns a frozen catalog of the given parts.
func New(version uint64, routes []*Route, services []*Service, keys map[string]Account, keyed bool, limits Limits) *Catalog {
	c := &Catalog{
		Version:  version,
		Services: make(map[string]*Service, len(services)),
		Limits:   limits,
		routes:   routes,
		hosts:    make(map[string][]*Route),
		accounts: keys,
		keyed:    keyed,
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, list := range c.hosts {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Routes returns all routes. The slice is not to be changed.
func (c *Catalog) Routes() []*Route { return c.routes }

// Route returns the route with the longest prefix of path on host, or nil.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the account that holds a key. Without any published
// accounts, all requests belong to the nameless one.
func (c *Catalog) Account(key string) (Account, bool) {
	if !c.keyed {
		return Account{}, true
	}
	a, ok := c.accounts[key]
	return a, ok
}

// Keyed reports whether requests need a key.
func (c *Catalog) Keyed() bool { return c.keyed }

// Service chooses one of the route's services by weight. The same request id
// always chooses the same one.
func (r *Route) Service(id string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return ""
}
