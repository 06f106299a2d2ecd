package board

// This file defines Row.

import (
	"sync"

	"github.com/jacinthstile/jacinthstile/internal/admission/concurrency"
)

// Row is one endpoint's place on a board. It lasts as long as the board.
type Row struct {
	mu      *sync.Mutex // of the shard
	stat    Stat
	ceiling concurrency.AdaptiveLimit
	history history
}

// Get returns what is known of the endpoint.
func (r *Row) Get() Stat {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.stat
	st.Limit = r.ceiling.Limit()
	return st
}
