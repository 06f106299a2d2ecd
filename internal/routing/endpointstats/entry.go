package endpointstats

// This file defines Entry.

import (
	"sync"

	"github.com/jacinthstile/jacinthstile/internal/admission/concurrency"
)

// Entry holds the statistics of one endpoint. A Tracker never removes an entry,
// so callers may keep the pointer. It is safe for concurrent use.
type Entry struct {
	mu            *sync.Mutex // the lock of the entry's shard
	stats         Stats
	adaptiveLimit concurrency.AdaptiveLimit
	history       history
}

// Get returns a copy of the endpoint's statistics.
func (e *Entry) Get() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.stats
	st.Limit = e.adaptiveLimit.Limit()
	return st
}
