package daemon

// This file tells routing which endpoints are leaving: those that the platform
// lists so, and those whose date is near.

import (
	"context"
	"maps"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/platform/instance"
	"github.com/jacinthstile/jacinthstile/internal/routing/leaving"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

const leavingEvery = 500 * time.Millisecond

// followLeaving keeps the tracker's set of leaving endpoints until ctx ends. A
// new list or table is followed at once, a date within leavingEvery.
func (d *Daemon) followLeaving(ctx context.Context) {
	changed := make(chan struct{}, 1)
	notify := func() {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
	d.instances.OnChange(func(*instance.List) { notify() })
	d.tables.Watch(func(*fleettable.Table) { notify() })
	tick := time.NewTicker(leavingEvery)
	defer tick.Stop()
	var last map[string]bool
	for {
		last = d.markLeaving(last, time.Now())
		select {
		case <-tick.C:
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// markLeaving puts the set in use where it differs from the last one, and returns it.
func (d *Daemon) markLeaving(last map[string]bool, now time.Time) map[string]bool {
	set := make(map[string]bool)
	if s := d.tables.Current(); s != nil {
		maps.Copy(set, leaving.Due(s, now))
	}
	maps.Copy(set, d.instances.LeavingEndpoints())
	if maps.Equal(set, last) && last != nil {
		return last
	}
	d.board.SetLeaving(set)
	for name := range set {
		if !last[name] {
			d.log.Info("endpoint leaving: no new work", "endpoint", name, "listed", d.instances.LeavingEndpoints()[name])
		}
	}
	for name := range last {
		if !set[name] {
			d.log.Info("endpoint no longer leaving", "endpoint", name)
		}
	}
	return set
}
