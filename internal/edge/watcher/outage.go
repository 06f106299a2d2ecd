package watcher

// This file records outages of the store, and which endpoints outlast them.

import "time"

// setUnreachable records that a call to the store failed. Of several failures in
// succession it logs the first, second, fourth and so on.
func (w *Watcher) setUnreachable(err error) {
	w.failures.Inc(1)
	age, _ := w.freshness.Age()
	if w.unreachable {
		if w.failedCalls++; w.failedCalls&(w.failedCalls-1) == 0 {
			w.log.Error(err, "store still out of reach", "proof", age.String(), "failures", w.failedCalls, "since", time.Since(w.unreachableSince).String())
		}
		return
	}
	w.unreachable, w.unreachableSince, w.failedCalls = true, time.Now(), 1
	w.registry.SetUnreachable()
	w.log.Error(err, "store out of reach", "proof", age.String())
}

// setReachable records that the store answered this or another instance at the given time. If
// calls have failed, the state is confirmed again; the log line gives the reason.
func (w *Watcher) setReachable(reason string, answeredAt time.Duration) {
	outage := answeredAt - w.answeredAt
	w.answeredAt = max(w.answeredAt, answeredAt)
	if !w.unreachable {
		return
	}
	w.unreachable = false
	expired := w.registry.SetReachable(outage, time.Now())
	w.log.Info("store reached again", "ground", reason, "after", time.Since(w.unreachableSince).String(), "outage", outage.String(), "expired", expired)
}

// untilExpiry returns the time until an endpoint expires, or limit if that is shorter.
func (w *Watcher) untilExpiry(limit time.Duration) time.Duration {
	if left, ok := w.registry.UntilExpiry(time.Now()); ok {
		return min(limit, left)
	}
	return limit
}

// removeExpired removes the endpoints that did not register again after an outage
// of the store, and the drained data centres that a restored store has lost.
func (w *Watcher) removeExpired() {
	for _, id := range w.registry.RemoveExpired(time.Now()) {
		w.log.Info("endpoint gone", "endpoint", id, "reason", "its registration did not come back")
	}
	w.drains.Expire(time.Now())
	w.updateDrained("a restored store does not name it")
}
