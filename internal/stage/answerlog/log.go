// Package answerlog recognizes a second copy of an answer to a stage call. Such a copy may
// arrive late, on a connection that carries the next call already. Answers to stage calls
// name no call that they belong to, so the copy would be taken for the next answer, and its
// results be handed to other requests. But every result has a handle of its own, so an
// answer with a handle that an earlier answer of the same endpoint had is a copy. The
// package does no I/O.
package answerlog

// This file defines Log.

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	maxAnswers   = 8    // kept for each endpoint; more than the connections on which copies are still to come
	maxEndpoints = 4096 // beyond it, all are forgotten
)

// Log keeps a handle of each of the latest answers, by endpoint name. It is safe for
// concurrent use.
type Log struct {
	mu     sync.Mutex
	recent map[string][]uint64 // hashes of handles, oldest first
}

// New returns an empty log.
func New() *Log { return &Log{recent: make(map[string][]uint64)} }

// Add records an answer of an endpoint by one of its handles. It returns false if the
// answer is a copy of an earlier one.
func (l *Log) Add(endpoint, handle string) bool {
	h := xxhash.Sum64String(handle)
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.recent[endpoint]
	if slices.Contains(list, h) {
		return false
	}
	if list == nil && len(l.recent) >= maxEndpoints {
		clear(l.recent)
	}
	if len(list) >= maxAnswers {
		list = append(list[:0], list[1:]...)
	}
	l.recent[endpoint] = append(list, h)
	return true
}
