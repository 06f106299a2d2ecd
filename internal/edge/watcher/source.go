package watcher

// This file defines Source.

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/change"
	"github.com/jacinthstile/jacinthstile/internal/edge/position"
)

// ErrCompacted is returned by Source.Watch if the store no longer holds all changes
// after the requested position.
var ErrCompacted = errors.New("the store no longer holds the changes after the requested position")

// ErrNewEra is returned by Source.Watch if the store came back from a copy after the
// requested position, so that its revisions no longer count the same changes.
var ErrNewEra = errors.New("the store came back from a copy")

// ErrTooLong is returned by Source.Watch if the changes after the requested position are more than one answer
// may have. A list comes in pages.
var ErrTooLong = errors.New("the changes are too long for one answer")

// ErrSuperseded is returned by Source.Watch if the caller no longer wanted an answer before one had begun.
var ErrSuperseded = errors.New("the watch is superseded")

// Source is a store that can be listed and watched, but not written.
type Source interface {
	// List returns all entries of the store as changes, and the position from
	// which to watch. It need not be a snapshot: the changes may include some
	// that are newer than this position, but all are of its era. It gives up early
	// on a store that does not answer.
	List(ctx context.Context) ([]change.Change, position.Position, error)
	// Watch waits for changes after a position, and returns them with the
	// position from which to continue, which is of the same era. If there are none
	// within wait, it returns no changes. It returns ErrCompacted if the store no
	// longer holds all changes after the position, and ErrNewEra if the position
	// is of an earlier era, or ErrTooLong; the caller must then call List. It gives up early on a
	// store that does not answer, but not on a large answer that progresses. It returns ErrSuperseded
	// if superseded is closed before an answer begins.
	Watch(ctx context.Context, superseded <-chan struct{}, after position.Position, wait time.Duration) ([]change.Change, position.Position, error)
	// NewestEra returns the newest era that any answer of the store has shown,
	// also one that refused a call. Answers of an earlier era are errors.
	NewestEra() uint64
}
