package follower

// This file defines Source.

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/change"
)

// ErrCompacted tells that a source no longer has the changes that were asked for.
var ErrCompacted = errors.New("the history does not reach back that far")

// Source is a store that can only be read and watched.
type Source interface {
	// List returns all that the store holds, as changes, and the revision from
	// which to watch.
	List(ctx context.Context) ([]change.Change, uint64, error)
	// Watch waits for changes after a revision, and returns them with the
	// revision from which to go on. Without changes it returns when the wait is
	// over. The error is ErrCompacted where the changes are no longer known.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]change.Change, uint64, error)
}
