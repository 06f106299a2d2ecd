package statuscode_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/statuscode"
)

// TestCodes guards against a code that is taken for what it isn't at the limits of each class.
func TestCodes(t *testing.T) {
	for code, want := range map[statuscode.Code]struct{ interim, final bool }{
		-1: {}, 0: {}, 99: {}, 100: {true, false}, 101: {}, 103: {true, false}, 199: {true, false},
		200: {false, true}, 421: {false, true}, 599: {false, true}, 600: {}, 999: {},
	} {
		g := NewWithT(t)
		g.Expect(code.IsInterim()).To(Equal(want.interim), "%d", code)
		g.Expect(code.IsFinal()).To(Equal(want.final), "%d", code)
	}
}
