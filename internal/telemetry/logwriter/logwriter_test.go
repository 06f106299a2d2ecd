package logwriter_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/telemetry/logwriter"
)

// sink records what is written to it. Its writes can be made to block.
type sink struct {
	mu   sync.Mutex
	buf  bytes.Buffer
	gate chan struct{} // writes block until it is closed; nil if writes do not block
}

func (s *sink) Write(b []byte) (int, error) {
	s.mu.Lock()
	gate := s.gate
	s.mu.Unlock()
	if gate != nil {
		<-gate
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(b)
}

func (s *sink) lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Split(strings.TrimSuffix(s.buf.String(), "\n"), "\n")
}

// TestVolumeIsBounded logs ten times as many lines as the rate limit permits. It
// fails if more lines than that are written, or if the reported number of dropped
// lines is wrong.
func TestVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		out := new(sink)
		w, end := logwriter.New(out)
		const seconds = 5
		for i := range 10 * logwriter.MaxLinesPerSecond * seconds {
			fmt.Fprintf(w, "line %d\n", i)
			time.Sleep(time.Second / (10 * logwriter.MaxLinesPerSecond))
		}
		time.Sleep(2 * time.Second)
		end()
		written, dropped := 0, 0
		for _, line := range out.lines() {
			var n int
			if _, rest, ok := strings.Cut(line, `"lines":`); ok {
				_, err := fmt.Sscan(rest[:strings.Index(rest, ",")], &n)
				g.Expect(err).NotTo(HaveOccurred())
				dropped += n
				continue
			}
			written++
		}
		g.Expect(written).To(BeNumerically("<=", logwriter.MaxLinesPerSecond*(seconds+1)))
		g.Expect(written).To(BeNumerically(">=", logwriter.MaxLinesPerSecond*(seconds-1)))
		g.Expect(written + dropped).To(Equal(10 * logwriter.MaxLinesPerSecond * seconds))
	})
}

// TestBlockedWriterDoesNotBlockLogging logs to a writer that blocks. It fails if a call of
// Write blocks, or if the dropped lines are not reported afterwards.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		out := &sink{gate: make(chan struct{})}
		w, end := logwriter.New(out)
		start := time.Now()
		for range 100 {
			for range 100 {
				io.WriteString(w, "line\n")
			}
			time.Sleep(time.Second)
		}
		g.Expect(time.Since(start)).To(Equal(100 * time.Second))
		out.mu.Lock()
		close(out.gate)
		out.gate = nil
		out.mu.Unlock()
		time.Sleep(2 * time.Second)
		end()
		all := out.lines()
		g.Expect(len(all)).To(BeNumerically("<", 10000))
		g.Expect(all).To(ContainElement(ContainSubstring("log lines left out")))
	})
}

// TestLongLinesAreCut checks that a line longer than the limit is truncated.
func TestLongLinesAreCut(t *testing.T) {
	out := new(sink)
	w, end := logwriter.New(out)
	fmt.Fprintln(w, strings.Repeat("x", 1<<20))
	end()
	NewWithT(t).Expect(len(out.lines()[0])).To(BeNumerically("<", 1<<13))
}

// TestWaitingLinesAreWrittenAtTheEnd checks that the lines queued at the stop are
// written before it returns.
func TestWaitingLinesAreWrittenAtTheEnd(t *testing.T) {
	out := new(sink)
	w, end := logwriter.New(out)
	for i := range 100 {
		fmt.Fprintln(w, i)
	}
	end()
	NewWithT(t).Expect(out.lines()).To(HaveLen(100))
}
