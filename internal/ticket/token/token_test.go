package token_test

// This file checks the encoding of tickets: a signed ticket decodes to what was
// signed, and a modified one is rejected.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/ticket/token"
)

var (
	secret = []byte("of the issuer")
	sample = token.Token{
		Issuer: "entry-1", Incarnation: 7, Number: 9, Expiry: time.UnixMilli(1_800_000_000_123), Account: "acme",
	}
)

func TestVerifyReturnsWhatWasSigned(t *testing.T) {
	g := NewWithT(t)
	got, err := token.Verify(sample.Sign(secret), secret)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(sample))
	_, err = token.Verify(sample.Sign(secret), []byte("of another"))
	g.Expect(err).To(MatchError(token.ErrForged))
}

// FuzzVerify guards against accepting a forged ticket: any text that passes
// Verify must decode to the one ticket that was signed.
func FuzzVerify(f *testing.F) {
	text := sample.Sign(secret)
	for _, seed := range []string{text, "", "AAAA", text[:len(text)-4], text + "AAAA"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		got, err := token.Verify(s, secret)
		if err == nil && got != sample {
			t.Errorf("verifying %q: got %+v, want an error", s, got)
		}
	})
}
