// Package change provides what a store tells of: a new catalog, and endpoints
// that register and leave.
package change

// This file defines Change and its kinds.

import (
	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/fleet"
)

// Change is one of Published, Registered, Unregistered and Unreadable.
type Change interface{ change() }

// Published is a new version of the catalog.
type Published struct{ Catalog *catalog.Catalog }

// Registered is an endpoint's registration, new or changed.
type Registered struct{ Endpoint fleet.Endpoint }

// Unregistered tells that a registration is gone.
type Unregistered struct{ ID string }

// Unreadable is an entry that cannot be read. It names no endpoint to use.
type Unreadable struct {
	Endpoint string // id of the registration that it stands in; empty for none
	Reason   error
}

var (
	_ Change = Published{}
	_ Change = Registered{}
	_ Change = Unregistered{}
	_ Change = Unreadable{}
)

func (Published) change()    {}
func (Registered) change()   {}
func (Unregistered) change() {}
func (Unreadable) change()   {}
