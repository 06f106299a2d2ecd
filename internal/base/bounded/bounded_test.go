package bounded_test

// This file tests announced lengths.

import (
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/base/bounded"
)

// TestRead guards against bytes that are lost where more room is made, and against room for bytes that don't come.
func TestRead(t *testing.T) {
	g := NewWithT(t)
	for _, size := range []int{0, 1, 64<<10 - 1, 64 << 10, 64<<10 + 1, 300_007} {
		sent := strings.Repeat("0123456789", size/10+1)[:size]
		got, err := bounded.Read(strings.NewReader(sent+"more"), int64(size))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(got) == sent).To(BeTrue(), "%d bytes", size)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		got, err = bounded.Read(strings.NewReader(sent), 1<<30)
		runtime.ReadMemStats(&after)
		g.Expect(errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)).To(BeTrue(), "%v", err)
		g.Expect(got).To(HaveLen(size))
		g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 128<<10+8*size))
	}
}
