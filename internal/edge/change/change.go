// Package change provides the changes that the platform's metadata store reports:
// a new version of the catalog, endpoints that register or unregister, and data centres
// that are drained or no longer drained. It holds plain values only.
package change

// This file defines Change and its kinds.

import (
	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
)

// Change is one change of an entry in the store: a Published, Registered,
// Unregistered, Drained, Undrained or Unreadable.
type Change interface{ change() }

// Published reports a new version of the catalog.
type Published struct{ Catalog *catalog.Catalog }

// Registered reports a new or changed registration of an endpoint.
type Registered struct{ Endpoint registry.Endpoint }

// Unregistered reports that the registration of the endpoint with this id was
// removed or has expired.
type Unregistered struct{ ID string }

// Drained reports that the endpoints of a data centre must get no new work.
type Drained struct{ Centre string }

// Undrained reports that the endpoints of a data centre may get work again.
type Undrained struct{ Centre string }

// Unreadable reports an entry that cannot be decoded. An endpoint whose
// registration cannot be decoded must no longer be used.
type Unreadable struct {
	Endpoint string // id of the endpoint whose registration it is; empty for other entries
	Reason   error
}

var (
	_ Change = Published{}
	_ Change = Registered{}
	_ Change = Unregistered{}
	_ Change = Drained{}
	_ Change = Undrained{}
	_ Change = Unreadable{}
)

func (Published) change()    {}
func (Registered) change()   {}
func (Unregistered) change() {}
func (Drained) change()      {}
func (Undrained) change()    {}
func (Unreadable) change()   {}
