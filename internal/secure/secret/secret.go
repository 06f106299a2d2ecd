// Package secret compares credentials in constant time, so that the time of a
// comparison does not reveal how much of a guess is correct.
package secret

// This file defines Secret.

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"os"
	"strings"
)

// Secret is a credential. It stores only the digest, and its text form is a fixed
// placeholder.
type Secret struct {
	digest [sha256.Size]byte
}

// New returns the secret with the given text.
func New(text string) Secret { return Secret{digest: sha256.Sum256([]byte(text))} }

// Read returns the secret in a file, without leading and trailing white space. An
// empty file is an error.
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

// Matches reports in constant time whether guess equals the secret.
func (s Secret) Matches(guess string) bool {
	d := sha256.Sum256([]byte(guess))
	return subtle.ConstantTimeCompare(s.digest[:], d[:]) == 1
}

// String returns a placeholder, so that secrets do not get into logs.
func (s Secret) String() string { return "(secret)" }
