package watcher

// This file keeps the drained data centres current.

import "slices"

// learnDrained takes over what the latest report and other instances that poll this one say of drained data centres. It
// also serves an instance that the store turns away.
func (w *Watcher) learnDrained() {
	report, ok := w.peer.Get()
	if ok = ok && !report.DrainedUnknown; ok {
		w.drains.Learn(report.Drained, report.Position)
	}
	told, known := w.peer.Drained()
	known = known && w.position.Before(told.Position) && (!ok || report.Position.Before(told.Position))
	if known {
		w.drains.Learn(told.Centres, told.Position)
	}
	if !ok && !known {
		return
	}
	w.updateDrained("another instance told")
	w.shareStatus()
}

// updateDrained passes a change of the drained data centres on, and logs it with its reason.
func (w *Watcher) updateDrained(reason string) {
	centres := w.drains.Centres()
	if slices.Equal(centres, w.drainedCentres) {
		return
	}
	for _, c := range centres {
		if !slices.Contains(w.drainedCentres, c) {
			w.log.Info("data centre drained", "centre", c, "reason", reason, "position", w.position.String())
		}
	}
	for _, c := range w.drainedCentres {
		if !slices.Contains(centres, c) {
			w.log.Info("data centre no longer drained", "centre", c, "reason", reason, "position", w.position.String())
		}
	}
	w.registry.SetDrained(centres)
	w.drainedCentres = centres
	w.drained.Update(float64(len(centres)))
}
