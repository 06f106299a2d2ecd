// Package account provides the table's client account rows.
package account

// This file defines Account.

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/jacinthstile/jacinthstile/internal/table/problem"
)

// Account is a client account. Its requests are recognised by the digest of their
// bearer key, so that the table does not contain the key itself.
type Account struct {
	Name   string  `json:"name"`
	Digest string  `json:"digest"` // SHA-256 of the bearer key, in hex
	Weight float64 `json:"weight"` // weight of the account in the fair sharing of a contended queue
	Rate   float64 `json:"rate"`   // limit of requests a second over the whole fleet; 0 for no limit
	Cap    int     `json:"cap"`    // limit of requests in flight over the whole fleet; 0 for no limit
}

// DigestOf returns the value of the digest column for a bearer key.
func DigestOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Check adds the invalid values of a to list.
func (a Account) Check(list *problem.List) {
	row := "account " + a.Name
	if a.Name == "" {
		list.Add(row, "name", `""`, "a name")
	}
	if raw, err := hex.DecodeString(a.Digest); err != nil || len(raw) != sha256.Size {
		list.Add(row, "digest", a.Digest, "64 hex digits")
	}
	if a.Weight <= 0 {
		list.Add(row, "weight", a.Weight, "more than 0")
	}
	if a.Rate < 0 {
		list.Add(row, "rate", a.Rate, "0 or more")
	}
	if a.Cap < 0 {
		list.Add(row, "cap", a.Cap, "0 or more")
	}
}
