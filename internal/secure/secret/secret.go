// Package secret compares credentials without telling by its timing how much of
// a guess was right.
package secret

// This file defines Secret.

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"os"
	"strings"
)

// Secret is a credential. It holds only a digest and prints as nothing else.
type Secret struct {
	digest [sha256.Size]byte
}

// New returns the secret for a text.
func New(text string) Secret { return Secret{digest: sha256.Sum256([]byte(text))} }

// Read returns the secret that a file holds, without white space around it.
func Read(path string) (Secret, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Secret{}, fmt.Errorf("reading secret: %w", err)
	}
	text := strings.TrimSpace(string(data))
	if text == "" {
		return Secret{}, fmt.Errorf("reading secret %s: got nothing, want text", path)
	}
	return New(text), nil
}

// Matches reports whether a guess is the secret, in constant time.
func (s Secret) Matches(guess string) bool {
	d := sha256.Sum256([]byte(guess))
	return subtle.ConstantTimeCompare(s.digest[:], d[:]) == 1
}

// String returns a fixed text, so that logs never hold a secret.
func (s Secret) String() string { return "(secret)" }
