// Package originlog remembers which software began each stream, for as long as callers may
// take the streams up again.
//
// It answers the load of streams that begin: thousands a second on a coordinator. A record is
// a key of eight bytes and a pointer to an origin that all streams of a version share. Records
// are dropped by generation, so that none needs a timer, and their number is bounded.
//
// Callers pass the time in; the package does no I/O.
package originlog

// This file defines Log.

import (
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/origin"
)

const (
	// generationTime is the least time for which a record is kept, and half of the greatest.
	// It is longer than the time that callers have for a stream, all of their tries included.
	generationTime = 45 * time.Second
	// maxRecords bounds one generation. The oldest records make way for newer ones.
	maxRecords = 200_000
	// maxOrigins bounds the different origins of a generation. Streams of further ones are
	// not recorded.
	maxOrigins = 1024
)

// Log holds the origins of streams. It is safe for concurrent use.
type Log struct {
	mu       sync.Mutex
	current  generation
	previous generation
}

// generation holds the records that were made within generationTime.
type generation struct {
	since   time.Time
	origins map[origin.Origin]*origin.Origin
	streams map[uint64]*origin.Origin // by key
}

func newGeneration(now time.Time) generation {
	return generation{since: now, origins: make(map[origin.Origin]*origin.Origin), streams: make(map[uint64]*origin.Origin)}
}

// New returns an empty log.
func New() *Log { return &Log{} }

// Record records the origin of a stream. An origin without a version says that the version is in
// doubt; one without a service is not recorded.
func (l *Log) Record(key uint64, o origin.Origin, now time.Time) {
	if o.Service == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	shared := l.current.origins[o]
	if shared == nil {
		if len(l.current.origins) >= maxOrigins {
			return
		}
		shared = &o
		l.current.origins[o] = shared
	}
	l.current.streams[key] = shared
}

// Lookup returns the recorded origin of a stream, which may be in doubt, and false if there is none.
func (l *Log) Lookup(key uint64, now time.Time) (origin.Origin, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	for _, g := range []generation{l.current, l.previous} {
		if o := g.streams[key]; o != nil {
			return *o, true
		}
	}
	return origin.Origin{}, false
}

// Streams returns the keys of all streams, by origin.
func (l *Log) Streams(now time.Time) map[origin.Origin][]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	list := make(map[origin.Origin][]uint64)
	for _, g := range []generation{l.previous, l.current} {
		for key, o := range g.streams {
			list[*o] = append(list[*o], key)
		}
	}
	return list
}

// rotate begins a new generation if the current one is old or full, and drops the one before.
// The caller holds the lock.
func (l *Log) rotate(now time.Time) {
	if l.current.streams == nil {
		l.current, l.previous = newGeneration(now), newGeneration(now)
	}
	age := now.Sub(l.current.since)
	if age < generationTime && len(l.current.streams) < maxRecords {
		return
	}
	l.previous = l.current
	if age >= 2*generationTime {
		l.previous = newGeneration(now)
	}
	l.current = newGeneration(now)
}
