package quarantine

// This file defines Subject, and the features of requests that verdicts are about.

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthstile/jacinthstile/internal/edge/request"
)

// requestPrefix begins the feature that stands for a request as a whole. The ids of prompt
// parts have no colon.
const requestPrefix = "request:"

// Subject is what the quarantine knows a request by.
type Subject struct {
	Fingerprint uint64 // the same for equal requests, see request.Request.Fingerprint; zero if not known
	Prompt      []request.PromptPart
}

// SubjectOf returns the subject of a request.
func SubjectOf(r *request.Request) Subject {
	return Subject{Fingerprint: r.Fingerprint(), Prompt: r.Prompt}
}

// features returns what a verdict may be about: the parts of the prompt, and the request as a
// whole.
func (s Subject) features() []string {
	features := sharedParts(s.Prompt)
	if s.Fingerprint != 0 {
		features = append(features, wholeOf(s.Fingerprint))
	}
	return features
}

// wholeOf returns the feature of a request as a whole.
func wholeOf(fingerprint uint64) string { return fmt.Sprintf("%s%016x", requestPrefix, fingerprint) }

func isWhole(feature string) bool { return strings.HasPrefix(feature, requestPrefix) }

// promptHash returns a hash of the whole prompt; of a request without one, its fingerprint.
func (s Subject) promptHash() uint64 {
	if len(s.Prompt) == 0 {
		return s.Fingerprint
	}
	h := xxhash.New()
	for _, p := range s.Prompt {
		if _, err := h.WriteString(p.ID + ","); err != nil {
			panic("quarantine: hashing a prompt part: " + err.Error())
		}
	}
	return h.Sum64()
}

// sharedParts returns the ids of the parts of a prompt without the last one.
func sharedParts(prompt []request.PromptPart) []string {
	if len(prompt) < 2 {
		return nil
	}
	parts := make([]string, 0, len(prompt)-1)
	for _, p := range prompt[:len(prompt)-1] {
		if !slices.Contains(parts, p.ID) {
			parts = append(parts, p.ID)
		}
	}
	return parts
}
