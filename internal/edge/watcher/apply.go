package watcher

// This file applies single changes of the store.

import (
	"fmt"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/contain"
	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/change"
)

const maxIgnored = 100 // entries that cannot be decoded, from which on only their number is logged

// apply applies one change. One that cannot be handled is logged, and the others hold.
func (w *Watcher) apply(c change.Change) {
	contain.Do(w.log, "change of the store", func() { w.applyKind(c) })
}

func (w *Watcher) applyKind(c change.Change) {
	switch c := c.(type) {
	case change.Published:
		w.applyCatalog(c.Catalog)
	case change.Registered:
		e := c.Endpoint
		delete(w.ignored, e.ID)
		w.log.Info("endpoint registered", "endpoint", e.ID, "service", e.Service, "state", e.State.String(), "born", e.StartTime)
		w.versions.Register(&e, time.Now())
		w.registry.Put(e, time.Now())
	case change.Unregistered:
		gone := w.registry.Remove(c.ID, time.Now())
		if w.ignored[c.ID] {
			delete(w.ignored, c.ID)
			return
		}
		w.log.Info("endpoint unregistered", "endpoint", c.ID, "gone", gone)
	case change.Drained, change.Undrained: // the tracker has followed them
	case change.Unreadable:
		w.logIgnored(c)
		if c.Endpoint != "" {
			w.registry.Remove(c.Endpoint, time.Now())
		}
	default:
		panic(fmt.Sprintf("watcher: got change of unknown type %T", c))
	}
}

// logIgnored logs an entry that cannot be decoded, but an endpoint's only once until it can be decoded or is
// removed: another program may write it again and again.
func (w *Watcher) logIgnored(c change.Unreadable) {
	if c.Endpoint != "" {
		if w.ignored[c.Endpoint] {
			return
		}
		w.ignored[c.Endpoint] = true
		if n := len(w.ignored); n > maxIgnored {
			if n&(n-1) == 0 {
				w.log.Info("many entries ignored, of which not each is logged", "entries", n)
			}
			return
		}
	}
	w.log.Info("entry ignored", "endpoint", c.Endpoint, "reason", c.Reason.Error(), "version", w.version)
}

// applyCatalog puts a catalog in force, unless its version is not newer than the one
// in force.
func (w *Watcher) applyCatalog(c *catalog.Catalog) {
	if c.Version <= w.version {
		return
	}
	w.log.Info("catalog in force", "version", c.Version, "before", w.version, "routes", len(c.Routes()))
	w.version = c.Version
	w.versions.ObserveRoutes(c, time.Now())
	w.publish(c)
}
