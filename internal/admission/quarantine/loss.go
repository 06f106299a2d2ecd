package quarantine

// This file defines Loss, and keeps the losses that are evidence.

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthstile/jacinthstile/internal/edge/request"
)

const (
	maxLosses    = 256 // kept; the oldest are dropped first
	maxLossParts = 256 // of a prompt
	maxPartBytes = 256 // of the id of a part
	// begunWindow is the time before a loss in which an answer to a request with a part
	// clears the part. A part in frequent use is thus cleared at once.
	begunWindow = 1500 * time.Millisecond
)

// Loss is a request that an engine lost before the first event of its answer.
type Loss struct {
	Engine string    // name of the engine's process
	Prompt uint64    // hash of the whole prompt, which is the same for repeats of a request
	Parts  []string  // ids of the parts of the prompt, without the last one
	At     time.Time // when the loss was noticed
}

// NewLoss returns the loss of a request with a prompt by an engine.
func NewLoss(engine string, prompt []request.PromptPart, at time.Time) Loss {
	h := xxhash.New()
	for _, p := range prompt {
		if _, err := h.WriteString(p.ID + ","); err != nil {
			panic("quarantine: hashing a prompt part: " + err.Error())
		}
	}
	parts := sharedParts(prompt)
	for i, p := range parts {
		parts[i] = strings.Clone(p) // not a part of a longer header
	}
	return Loss{Engine: engine, Prompt: h.Sum64(), Parts: parts, At: at}
}

// validParts reports whether parts are within the limits of what is kept.
func validParts(parts []string) bool {
	return len(parts) > 0 && len(parts) <= maxLossParts && !slices.ContainsFunc(parts, func(p string) bool { return len(p) > maxPartBytes })
}

// RecordLoss keeps a loss as evidence, and reports whether it is new and within the limits.
func (q *Quarantine) RecordLoss(l Loss) bool {
	if l.Engine == "" || !validParts(l.Parts) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
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

// prune drops the losses that are too old, whose parts have all been cleared, or that are
// too many. The caller holds the lock.
func (q *Quarantine) prune(now time.Time) {
	q.losses = slices.DeleteFunc(q.losses, func(l Loss) bool { return now.Sub(l.At) > retention || len(q.suspects(l)) == 0 })
	if extra := len(q.losses) - maxLosses; extra > 0 {
		q.losses = slices.Delete(q.losses, 0, extra)
	}
}

// suspects returns the parts of a loss that have not been cleared. The caller holds the lock.
func (q *Quarantine) suspects(l Loss) []string {
	var list []string
	for _, p := range l.Parts {
		if at, ok := q.begun.Peek(xxhash.Sum64String(p)); !ok || l.At.Sub(at) > begunWindow {
			list = append(list, p)
		}
	}
	return list
}
