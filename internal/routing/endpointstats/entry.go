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

// Forget forgets what calls have shown of the endpoint: it may be another one when it comes back into use.
// Calls that are counted stay counted.
func (e *Entry) Forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.forget()
	e.adaptiveLimit = concurrency.AdaptiveLimit{}
}

// Get returns a copy of the endpoint's statistics.
func (e *Entry) Get() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.stats
	st.Limit = e.adaptiveLimit.Limit()
	return st
}
