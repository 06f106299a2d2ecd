// Package token provides the signed text that a caller holds for a ticket.
package token

// This file defines Token and its text form.

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"time"
)

// Token names a ticket: who issued it, its number there, and when it expires.
type Token struct {
	Issuer      string // name of the instance
	Incarnation uint64 // start of the issuing process
	Number      uint64
	Expiry      time.Time // in whole milliseconds
	Account     string
}

// ErrMalformed is returned for text that is no token.
var ErrMalformed = errors.New("parsing ticket: malformed")

// ErrForged is returned for a token whose signature does not match.
var ErrForged = errors.New("parsing ticket: signature does not match")

const sumSize = sha256.Size

// Sign returns the text form, signed with the issuer's secret.
func (t Token) Sign(secret []byte) string {
	body := t.encode()
	return base64.RawURLEncoding.EncodeToString(append(body, sum(secret, body)...))
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

// Parse reads the text form without checking its signature, which only the
// issuer can do.
func Parse(text string) (Token, error) {
	t, _, err := parse(text)
	return t, err
}

// Verify reads the text form and checks its signature.
func Verify(text string, secret []byte) (Token, error) {
	t, raw, err := parse(text)
	if err != nil {
		return Token{}, err
	}
	body, got := raw[:len(raw)-sumSize], raw[len(raw)-sumSize:]
	if !hmac.Equal(got, sum(secret, body)) {
		return Token{}, ErrForged
	}
	return t, nil
}

func parse(text string) (Token, []byte, error) {
	const fixed = 3 * 8
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) < fixed+1+sumSize {
		return Token{}, nil, ErrMalformed
	}
	body := raw[:len(raw)-sumSize]
	n, size := binary.Uvarint(body[fixed:])
	rest := body[fixed:]
	if size <= 0 || n > uint64(len(rest)-size) {
		return Token{}, nil, ErrMalformed
	}
	rest = rest[size:]
	return Token{
		Incarnation: binary.BigEndian.Uint64(body),
		Number:      binary.BigEndian.Uint64(body[8:]),
		Expiry:      time.UnixMilli(int64(binary.BigEndian.Uint64(body[16:]))),
		Issuer:      string(rest[:n]),
		Account:     string(rest[n:]),
	}, raw, nil
}

func sum(secret, body []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(body)
	return h.Sum(nil)
}
