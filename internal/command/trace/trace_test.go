package trace_test

// This file checks how the log lines of a request are collected and printed.

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/command/trace"
)

// TestLinesOfOneRequestInOrder guards against a trace that misses lines with a
// collector's prefix, contains lines of other requests, keeps the order of the log
// files, or hides that instances dropped log lines.
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

// TestUnknownRequest guards against failures on text that is not JSON or is cut off.
func TestUnknownRequest(t *testing.T) {
	g := NewWithT(t)
	tr, err := trace.Read(strings.NewReader("no json\n{\"request\":\"b\"}\n{\n"), "a1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tr.Lines).To(BeEmpty())
}

// TestFilesWithoutLastNewline guards against losing the last line of a file and the first
// one of the next file, where the former has no newline at its end.
func TestFilesWithoutLastNewline(t *testing.T) {
	g := NewWithT(t)
	line := `{"request":"a1","msg":"m"}`
	tr, err := trace.Read(trace.Join(strings.NewReader(line), strings.NewReader(line+"\n"), strings.NewReader(line)), "a1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tr.Lines).To(HaveLen(3))
}
