// Package witness holds what another instance proved of the store, so that not
// every instance has to ask for itself. A proof is a moment at which a revision
// of the store was the newest; it holds for everybody who knows that revision.
package witness

// This file defines Witness and News.

import (
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/change"
)

// News is what the other instance told.
type News struct {
	Revision uint64 // that was the newest
	// At is when it was, by this instance's own boot clock: the moment at which
	// the other instance was asked, less the age that it gave for its proof.
	At time.Duration
	// Changes leads from revision After to Revision, where Told is true.
	Changes []change.Change
	After   uint64
	Told    bool
}

// Witness holds the last news that was heard. It is safe for concurrent use.
type Witness struct {
	mu    sync.Mutex
	last  News
	heard bool
	news  chan struct{} // holds one element
}

// New returns a witness that has heard nothing.
func New() *Witness { return &Witness{news: make(chan struct{}, 1)} }

// Hear records news.
func (w *Witness) Hear(n News) {
	w.mu.Lock()
	w.last, w.heard = n, true
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
	w.last, w.heard = News{}, false
}

// Last returns the last news, and false where there is none.
func (w *Witness) Last() (News, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last, w.heard
}

// News receives an element after Hear was called.
func (w *Witness) News() <-chan struct{} { return w.news }
