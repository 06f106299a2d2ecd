package trace_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/command/trace"
)

func TestLinesOfOneRequestInOrder(t *testing.T) {
	g := NewWithT(t)
	log, err := os.ReadFile("testdata/log.txt")
	g.Expect(err).NotTo(HaveOccurred())
	want, err := os.ReadFile("testdata/trace.txt")
	g.Expect(err).NotTo(HaveOccurred())
	tr, err := trace.Read(strings.NewReader(string(log)), "a1")
	g.Expect(err).NotTo(HaveOccurred())
	var b strings.Builder
	g.Expect(tr.Write(&b)).To(Succeed())
	g.Expect(b.String()).To(Equal(string(want)))
}

func TestUnknownRequest(t *testing.T) {
	g := NewWithT(t)
	tr, err := trace.Read(strings.NewReader("no json\n{\"request\":\"b\"}\n{\n"), "a1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tr.Lines).To(BeEmpty())
}
