// Package witness holds what another instance proved of the store, so that not
// every instance has to ask for itself. A proof is a moment at which a revision
// of the store was the newest; it holds for everybody who knows that revision.
package witness

// This file defines Witness.

import (
	"sync"
	"time"
)

// Witness holds the last proof that was heard. It is safe for concurrent use.
type Witness struct {
	mu       sync.Mutex
	revision uint64
	at       time.Duration
	heard    bool
	news     chan struct{} // holds one element
}

// New returns a witness that has heard nothing.
func New() *Witness { return &Witness{news: make(chan struct{}, 1)} }

// Hear records that a revision was the newest at a moment of this instance's
// own boot clock. It is the moment at which the other instance was asked, less
// the age that it gave for its proof.
func (w *Witness) Hear(revision uint64, at time.Duration) {
	w.mu.Lock()
	w.revision, w.at, w.heard = revision, at, true
	w.mu.Unlock()
	select {
	case w.news <- struct{}{}:
	default:
	}
}

// Forget drops what was heard, when another instance is followed or none.
func (w *Witness) Forget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heard = false
}

// Last returns the last proof, and false where there is none.
func (w *Witness) Last() (revision uint64, at time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision, w.at, w.heard
}

// News receives an element after Hear was called.
func (w *Witness) News() <-chan struct{} { return w.news }
