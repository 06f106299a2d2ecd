package follower

// This file defines Source and what it tells.

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/fleet"
)

// ErrCompacted tells that a source no longer has the changes that were asked for.
var ErrCompacted = errors.New("the history does not reach back that far")

// Source is a store that can only be read and watched.
type Source interface {
	// List returns all that the store holds, as changes, and the revision from
	// which to watch.
	List(ctx context.Context) ([]Change, uint64, error)
	// Watch waits for changes after a revision, and returns them with the
	// revision from which to go on. Without changes it returns when the wait is
	// over. The error is ErrCompacted where the changes are no longer known.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]Change, uint64, error)
}

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
