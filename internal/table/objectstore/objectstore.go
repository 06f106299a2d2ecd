// Package objectstore provides an in-memory, content-addressed store of the objects of
// published tables: their groups and parts. It keeps each object under the SHA-256
// digest of its content, both as published, for peers that fetch it, and decoded.
// It does no I/O.
package objectstore

// This file defines Store.

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/table/fragment"
)

// Store holds objects by digest. It accepts content only under its own digest, so
// a truncated or altered object is never stored. It is safe for concurrent use.
type Store struct {
	mu      sync.RWMutex
	objects map[string]*object
}

// gracePeriod is how long an unused object is kept for peers that still fetch an
// older table.
const gracePeriod = 30 * time.Second

type object struct {
	data     []byte
	fragment *fragment.Fragment // decoded on first use; nil before
	unused   time.Time          // when Retain first did not find it in use; zero while it is
}

// New returns an empty store.
func New() *Store { return &Store{objects: make(map[string]*object)} }

// Digest returns the SHA-256 of data in hex, under which data is stored.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Put stores data under digest, or returns an error if that is not its digest.
// The caller must not change data afterwards.
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

// Get returns the content stored under digest. The caller must not change it.
func (s *Store) Get(digest string) (data []byte, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	o := s.objects[digest]
	if o == nil {
		return nil, false
	}
	return o.data, true
}

// Fragment returns the rows of the part stored under digest. The part is decoded
// at the first call; all callers share the result.
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

// Missing returns the digests that are not in the store, without duplicates.
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

// Retain keeps the objects whose digests are in the lists, and deletes those that
// no call has listed for longer than gracePeriod before now.
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
		case now.Sub(o.unused) > gracePeriod:
			delete(s.objects, d)
		}
	}
}

// Bytes returns the total size of the stored objects, as published.
func (s *Store) Bytes() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	n := 0
	for _, o := range s.objects {
		n += len(o.data)
	}
	return n
}
