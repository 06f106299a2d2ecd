// Package catalog provides the published routing configuration: which service
// serves which host and path, which requests may be sent again after a failure,
// and which client account an API key belongs to. A Catalog is immutable once
// built and is shared between goroutines without locks. The package does no I/O.
package catalog

// This file defines Catalog and its lookups.

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Catalog is one version of the routing configuration.
type Catalog struct {
	Version  uint64
	Services map[string]*Service
	Limits   Limits

	routes      []*Route
	hosts       map[string][]*Route // routes by host, longest prefix first
	accounts    map[string]Account  // by API key
	keyRequired bool                // whether the configuration publishes accounts
}

// Limits bounds what a client may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // to receive the headers of a request
	IdleTimeout   time.Duration // of a connection without a request
}

// Account is a client account. Priority is that of its requests, from 0 (most
// urgent) to NumPriorities-1, and is set only if HasPriority is true.
type Account struct {
	Name        string
	Priority    int
	HasPriority bool
	Regions     []string // in which its requests may be processed; empty for all
}

// Service is a group of interchangeable endpoints. Engine is set for generation
// services, Batch for services that run pieces of stages.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int // connections to one endpoint, summed over all callers
	Engine     *Engine
	Batch      *Batch
	WarmUp     *WarmUp // nil if its endpoints need none
}

// WarmUp describes how endpoints behave for a time after their start, or whenever they say that
// they are cold.
type WarmUp struct {
	Time      time.Duration // from the start of an endpoint
	PerSecond float64       // requests a second that a cold endpoint bears from all instances together; zero for any number
}

// Engine describes the endpoints of a generation service.
type Engine struct {
	Slots      int // requests that one endpoint runs at a time
	Tokens     int // KV cache capacity of one endpoint, in tokens
	TokenBytes int // KV cache bytes per token
}

// Batch describes the endpoints of a service that runs pieces of stages, several
// pieces to a call. A call of n pieces takes about CallOverhead + n*PieceTime.
type Batch struct {
	MaxPieces       int           // maximum number of pieces in one call
	MaxCalls        int           // maximum number of calls in progress at one endpoint
	MaxQueuedCalls  int           // maximum number of calls queued at one endpoint
	CallOverhead    time.Duration // fixed time of a call, regardless of its pieces
	PieceTime       time.Duration // approximate additional time per piece
	ResultBytes     int64         // bytes of results that one endpoint can store
	ResultRetention time.Duration // how long an endpoint keeps a result after the call
}

// New returns a catalog of the given parts, which must not be changed afterwards.
// The keys map holds the account of each API key. With keyRequired, requests
// need one of these keys; otherwise all requests are accepted without a key.
func New(version uint64, routes []*Route, services []*Service, keys map[string]Account, keyRequired bool, limits Limits) *Catalog {
	c := &Catalog{
		Version:     version,
		Services:    make(map[string]*Service, len(services)),
		Limits:      limits,
		routes:      routes,
		hosts:       make(map[string][]*Route),
		accounts:    keys,
		keyRequired: keyRequired,
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

// Routes returns all routes. The caller must not change the slice.
func (c *Catalog) Routes() []*Route { return c.routes }

// Route returns the route of host whose prefix is the longest match for path, or
// nil if no route matches.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the account of an API key, and false if the key is unknown. If
// the configuration publishes no accounts, every key, also the empty one, belongs
// to an account without a name.
func (c *Catalog) Account(key string) (Account, bool) {
	if !c.keyRequired {
		return Account{}, true
	}
	a, ok := c.accounts[key]
	return a, ok
}

// RequiresKey reports whether requests need an API key.
func (c *Catalog) RequiresKey() bool { return c.keyRequired }

// Service chooses one of the route's target services with a probability in
// proportion to its weight. The choice is a hash of the request id, so the same
// id always gets the same service. It returns "" if the weights add up to zero.
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
	offset := int(xxhash.Sum64String(id) % uint64(total))
	for _, t := range r.Targets {
		if offset -= t.Weight; offset < 0 {
			return t.Service
		}
	}
	return ""
}
