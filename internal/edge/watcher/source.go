package watcher

// This file defines Source.

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/change"
)

// ErrCompacted is returned by Source.Watch if the store no longer holds all changes
// after the requested revision.
var ErrCompacted = errors.New("the store no longer holds the changes after the requested revision")

// Source is a store that can be listed and watched, but not written.
type Source interface {
	// List returns all entries of the store as changes, and the revision from
	// which to watch. It need not be a snapshot: the changes may include some
	// that are newer than this revision.
	List(ctx context.Context) ([]change.Change, uint64, error)
	// Watch waits for changes after a revision, and returns them with the
	// revision from which to continue. If there are none within wait, it returns
	// no changes. It returns ErrCompacted if the store no longer holds all
	// changes after the revision; the caller must then call List.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]change.Change, uint64, error)
}
