package quarantine

// This file defines Loss, and keeps the losses that are evidence.

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	maxLosses    = 256 // kept; the oldest are dropped first
	maxLossParts = 256 // of a prompt
	maxNameBytes = 256 // of the id of a part or the name of an endpoint
	// begunWindow is the time before a loss in which an answer to a request with a part
	// clears the part. A part in frequent use is thus cleared at once.
	begunWindow = 1500 * time.Millisecond
)

// Loss is a request that an endpoint lost while it ran it.
type Loss struct {
	Engine      string    // name of the endpoint's process
	Prompt      uint64    // hash of the whole prompt, or of a request without one
	Parts       []string  // ids of the parts of the prompt, without the last one; none if the answer had begun
	Fingerprint uint64    // of the request; zero if not known
	Crashed     bool      // whether the process is known to have ended
	At          time.Time // when the loss was noticed
}

// NewLoss returns the loss of a request by an endpoint. If its answer had begun, it says
// nothing about the parts of the prompt.
func NewLoss(endpoint string, s Subject, begun, crashed bool, at time.Time) Loss {
	l := Loss{Engine: endpoint, Prompt: s.promptHash(), Fingerprint: s.Fingerprint, Crashed: crashed, At: at}
	if begun {
		return l
	}
	l.Parts = sharedParts(s.Prompt)
	for i, p := range l.Parts {
		l.Parts[i] = strings.Clone(p) // not a part of a longer header
	}
	return l
}

// validParts reports whether parts are within the limits of what is kept.
func validParts(parts []string) bool { return len(parts) <= maxLossParts && validNames(parts) }

// validNames reports whether no name of a part or an endpoint is too long.
func validNames(names []string) bool {
	return !slices.ContainsFunc(names, func(n string) bool { return len(n) > maxNameBytes })
}

// RecordLoss keeps a loss as evidence, and reports whether it is new and within the limits.
func (q *Quarantine) RecordLoss(l Loss) bool {
	if l.Engine == "" || len(l.Engine) > maxNameBytes || !validParts(l.Parts) || len(l.Parts) == 0 && !(l.Crashed && l.Fingerprint != 0) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if l.Crashed && q.hasAnswered(l.Engine, l.At) {
		l.Crashed = false
	}
	if slices.ContainsFunc(q.losses, func(k Loss) bool { return k.Engine == l.Engine && k.Prompt == l.Prompt }) {
		return false
	}
	q.losses = append(q.losses, l)
	q.prune(l.At)
	return true
}

// Losses returns the losses that are still evidence, to tell them to a new coordinator.
func (q *Quarantine) Losses(now time.Time) []Loss {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.prune(now)
	return slices.Clone(q.losses)
}

// prune drops the losses that are too old, whose features have all been cleared, or that are
// too many. The caller holds the lock.
func (q *Quarantine) prune(now time.Time) {
	q.losses = slices.DeleteFunc(q.losses, func(l Loss) bool { return now.Sub(l.At) > retention || len(q.suspects(l)) == 0 })
	if extra := len(q.losses) - maxLosses; extra > 0 {
		q.losses = slices.Delete(q.losses, 0, extra)
	}
	q.updateKept()
}

// suspects returns the features of a loss that have not been cleared. The caller holds the lock.
func (q *Quarantine) suspects(l Loss) []string {
	var list []string
	for _, p := range l.Parts {
		if at, ok := q.begun.Peek(xxhash.Sum64String(p)); !ok || l.At.Sub(at) > begunWindow {
			list = append(list, p)
		}
	}
	if q.countsForWhole(l) {
		list = append(list, wholeOf(l.Fingerprint))
	}
	return list
}
