// Package token encodes and verifies tickets as signed text, which a caller
// holds and sends with its call. Any instance can read which instance issued a
// ticket; only the issuer can check the signature. It does no I/O.
package token

// This file defines Token, its encoding and its signature.

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"time"
)

// Token is the decoded content of a ticket. Issuer, Incarnation and Number
// together identify the ticket.
type Token struct {
	Issuer      string    // name of the instance that issued the ticket
	Incarnation uint64    // identifies one run of the issuer's process
	Number      uint64    // number of the ticket at its issuer
	Expiry      time.Time // in whole milliseconds
	Account     string    // client account that the ticket was issued to
}

// ErrMalformed is returned for text that can't be decoded as a ticket.
var ErrMalformed = errors.New("parsing ticket: malformed")

// ErrForged is returned for a ticket whose signature does not match.
var ErrForged = errors.New("parsing ticket: signature does not match")

const signatureSize = sha256.Size

// Sign encodes t as base64url text that ends with an HMAC-SHA256 under the
// issuer's secret.
func (t Token) Sign(secret []byte) string {
	body := t.encode()
	return base64.RawURLEncoding.EncodeToString(append(body, signature(secret, body)...))
}

func (t Token) encode() []byte {
	var b []byte
	b = binary.BigEndian.AppendUint64(b, t.Incarnation)
	b = binary.BigEndian.AppendUint64(b, t.Number)
	b = binary.BigEndian.AppendUint64(b, uint64(t.Expiry.UnixMilli()))
	b = binary.AppendUvarint(b, uint64(len(t.Issuer)))
	b = append(b, t.Issuer...)
	return append(b, t.Account...)
}

// Parse decodes a ticket without checking its signature, which only the issuer
// can do. The error is ErrMalformed.
func Parse(text string) (Token, error) {
	t, _, err := parse(text)
	return t, err
}

// Verify decodes a ticket and checks its signature. The error is ErrMalformed
// or ErrForged.
func Verify(text string, secret []byte) (Token, error) {
	t, raw, err := parse(text)
	if err != nil {
		return Token{}, err
	}
	body, got := raw[:len(raw)-signatureSize], raw[len(raw)-signatureSize:]
	if !hmac.Equal(got, signature(secret, body)) {
		return Token{}, ErrForged
	}
	return t, nil
}

// parse returns the decoded ticket and its raw bytes, which end with the signature.
func parse(text string) (Token, []byte, error) {
	const fixedSize = 3 * 8 // bytes of the incarnation, the number and the expiry
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) < fixedSize+1+signatureSize {
		return Token{}, nil, ErrMalformed
	}
	body := raw[:len(raw)-signatureSize]
	n, prefixSize := binary.Uvarint(body[fixedSize:])
	rest := body[fixedSize:]
	if prefixSize <= 0 || n > uint64(len(rest)-prefixSize) {
		return Token{}, nil, ErrMalformed
	}
	rest = rest[prefixSize:]
	return Token{
		Incarnation: binary.BigEndian.Uint64(body),
		Number:      binary.BigEndian.Uint64(body[8:]),
		Expiry:      time.UnixMilli(int64(binary.BigEndian.Uint64(body[16:]))),
		Issuer:      string(rest[:n]),
		Account:     string(rest[n:]),
	}, raw, nil
}

func signature(secret, body []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(body)
	return h.Sum(nil)
}
