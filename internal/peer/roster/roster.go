// Package roster follows the platform's list of instances.
package roster

// This file defines Roster.

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/platform/instance"
	"github.com/jacinthstile/jacinthstile/internal/platform/reader"
)

const (
	watchWait  = 30 * time.Second
	retryPause = time.Second
)

// Roster holds the last list that the platform gave.
type Roster struct {
	source reader.Source
	log    logr.Logger
	list   atomic.Pointer[instance.List]
}

// New returns an empty roster.
func New(source reader.Source, log logr.Logger) *Roster {
	r := &Roster{source: source, log: log}
	r.list.Store(new(instance.List))
	return r
}

// List returns the last list. It must not be changed.
func (r *Roster) List() *instance.List { return r.list.Load() }

// Run follows the list until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	var version uint64
	for ctx.Err() == nil {
		v, changed, err := r.source.Watch(ctx, instance.Key, version, watchWait)
		if err != nil {
			pause(ctx, retryPause)
			continue
		}
		if !changed {
			continue
		}
		version = v.Version
		list := new(instance.List)
		if err := json.Unmarshal(v.Data, list); err != nil {
			r.log.Error(err, "instance list refused", "version", v.Version)
			continue
		}
		r.list.Store(list)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
