// Package store keeps the objects of published tables by the digest of their
// content, as they were published and decoded.
package store

// This file defines Store.

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/table/fragment"
)

// Store holds objects. Only content that has the digest that names it gets in.
// It is safe for concurrent use.
type Store struct {
	mu      sync.RWMutex
	objects map[string]*object
}

// grace is how long an object is kept for peers that still fetch an older table.
const grace = 30 * time.Second

type object struct {
	data     []byte
	fragment *fragment.Fragment // nil until it is asked for
	unused   time.Time          // since when no table needs it; zero while one does
}

// New returns an empty store.
func New() *Store { return &Store{objects: make(map[string]*object)} }

// Digest returns the name of a content: its SHA-256 in hex.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Put keeps data under digest, or returns an error if that is not its digest.
func (s *Store) Put(digest string, data []byte) error {
	if got := Digest(data); got != digest {
		return fmt.Errorf("storing object: got digest %s, want %s", got, digest)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[digest] == nil {
		s.objects[digest] = &object{data: data}
	}
	return nil
}

// Get returns the content that is held under digest. It must not be changed.
func (s *Store) Get(digest string) (data []byte, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	o := s.objects[digest]
	if o == nil {
		return nil, false
	}
	return o.data, true
}

// Fragment returns the rows of the part that is held under digest. They are
// decoded at the first call.
func (s *Store) Fragment(digest string) (*fragment.Fragment, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[digest]
	if o == nil {
		return nil, fmt.Errorf("reading part: %s is not held", digest)
	}
	if o.fragment == nil {
		f, err := fragment.Parse(o.data)
		if err != nil {
			return nil, fmt.Errorf("part %s: %w", digest, err)
		}
		o.fragment = f
	}
	return o.fragment, nil
}

// Missing returns those of digests that are not held, each once.
func (s *Store) Missing(digests []string) []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []string
	seen := make(map[string]struct{})
	for _, d := range digests {
		if _, twice := seen[d]; twice || s.objects[d] != nil {
			continue
		}
		seen[d] = struct{}{}
		out = append(out, d)
	}
	return out
}

// Retain drops the objects that the lists do not name, once they were not named
// for some time.
func (s *Store) Retain(now time.Time, lists ...[]string) {
	keep := make(map[string]struct{})
	for _, list := range lists {
		for _, d := range list {
			keep[d] = struct{}{}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for d, o := range s.objects {
		_, needed := keep[d]
		switch {
		case needed:
			o.unused = time.Time{}
		case o.unused.IsZero():
			o.unused = now
		case now.Sub(o.unused) > grace:
			delete(s.objects, d)
		}
	}
}

// Bytes returns the sum of the sizes of the objects that are held.
func (s *Store) Bytes() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	n := 0
	for _, o := range s.objects {
		n += len(o.data)
	}
	return n
}
