// Package logwriter writes log lines asynchronously, so that a slow or blocked log
// reader does not block the goroutines that log. It limits the rate of lines and
// the number of lines in memory. Lines beyond these limits are dropped; their
// number is logged.
package logwriter

// This file defines Writer.

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of a Writer.
const (
	// MaxLinesPerSecond is the maximum number of lines per second. It allows several lines
	// for each of a few hundred requests per second.
	MaxLinesPerSecond = 1000
	maxQueuedLines    = 1024
	maxLineBytes      = 4 << 10  // longer lines are truncated
	maxWriteBytes     = 64 << 10 // size at which no more lines are added to one write
	reportInterval    = time.Second
)

// Writer is an io.Writer for whole lines. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64 // dropped lines whose number has not been logged yet

	mu        sync.Mutex
	second    int64 // Unix time to which lineCount refers
	lineCount int   // lines passed to Write in that second, including dropped ones

	closed    chan struct{} // closed to stop run
	done      chan struct{} // closed when run has returned
	closeOnce sync.Once
}

var _ io.Writer = (*Writer)(nil)

// New returns a writer that writes to out, and a function that writes the queued
// lines and stops the writer. The function waits for at most a second if out
// blocks.
func New(out io.Writer) (*Writer, func()) {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w, w.close
}

func (w *Writer) close() {
	w.closeOnce.Do(func() { close(w.closed) })
	select {
	case <-w.done:
	case <-time.After(time.Second):
	}
}

// Write queues a line or drops it. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.allowed(time.Now()) {
		w.dropped.Add(1)
		return len(line), nil
	}
	queued := line
	if len(queued) > maxLineBytes {
		queued = append(append([]byte(nil), line[:maxLineBytes]...), '\n')
	} else {
		queued = append([]byte(nil), queued...)
	}
	select {
	case w.lines <- queued:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// allowed applies the rate limit to one line.
func (w *Writer) allowed(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Unix() != w.second {
		w.second, w.lineCount = now.Unix(), 0
	}
	w.lineCount++
	return w.lineCount <= MaxLinesPerSecond
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			w.write(w.batch(line))
		case now := <-ticker.C:
			w.reportDropped(now)
		case <-w.closed:
			w.write(w.batch(nil))
			w.reportDropped(time.Now())
			return
		}
	}
}

// batch appends queued lines to block.
func (w *Writer) batch(block []byte) []byte {
	for len(block) < maxWriteBytes {
		select {
		case line := <-w.lines:
			block = append(block, line...)
		default:
			return block
		}
	}
	return block
}

// reportDropped logs the number of lines dropped since the last report, if any.
func (w *Writer) reportDropped(now time.Time) {
	if n := w.dropped.Swap(0); n > 0 {
		w.write(fmt.Appendf(nil, `{"time":%q,"level":"INFO","msg":"log lines left out","lines":%d,"bound":%d}`+"\n",
			now.UTC().Format(time.RFC3339Nano), n, MaxLinesPerSecond))
	}
}

// write writes a block of lines. Errors are ignored, since the log itself is the
// only place where they could be reported.
func (w *Writer) write(block []byte) {
	if len(block) > 0 {
		_, _ = w.out.Write(block)
	}
}
