// Package spool writes log lines without ever holding up who logs them. It
// bounds their number in a second and in memory; what is left out is counted
// and said.
package spool

// This file defines Spool.

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of a Spool.
const (
	// PerSecond is the number of lines that are taken in a second: several for
	// each of some hundred requests.
	PerSecond = 1000
	mostHeld  = 1024     // lines that wait to be written
	mostLine  = 4 << 10  // bytes of a line; the rest is cut off
	mostWrite = 64 << 10 // bytes of one write
	tellEvery = time.Second
)

// Spool is an io.Writer for whole lines. It is safe for concurrent use.
type Spool struct {
	out   io.Writer
	lines chan []byte
	left  atomic.Int64 // lines that were left out and not yet told

	mu     sync.Mutex
	second int64 // that taken counts
	taken  int

	ended chan struct{}
	done  chan struct{}
	end   sync.Once
}

var _ io.Writer = (*Spool)(nil)

// New returns a spool that writes to out, and a function that writes what
// waits and ends it; it waits no longer than a second for a stuck reader.
func New(out io.Writer) (*Spool, func()) {
	s := &Spool{out: out, lines: make(chan []byte, mostHeld), ended: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s, s.close
}

func (s *Spool) close() {
	s.end.Do(func() { close(s.ended) })
	select {
	case <-s.done:
	case <-time.After(time.Second):
	}
}

// Write takes a line or leaves it out. It never waits and never fails.
func (s *Spool) Write(line []byte) (int, error) {
	if !s.allowed(time.Now()) {
		s.left.Add(1)
		return len(line), nil
	}
	kept := line
	if len(kept) > mostLine {
		kept = append(append([]byte(nil), line[:mostLine]...), '\n')
	} else {
		kept = append([]byte(nil), kept...)
	}
	select {
	case s.lines <- kept:
	default:
		s.left.Add(1)
	}
	return len(line), nil
}

func (s *Spool) allowed(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Unix() != s.second {
		s.second, s.taken = now.Unix(), 0
	}
	s.taken++
	return s.taken <= PerSecond
}

func (s *Spool) run() {
	defer close(s.done)
	tell := time.NewTicker(tellEvery)
	defer tell.Stop()
	for {
		select {
		case line := <-s.lines:
			s.write(s.gather(line))
		case now := <-tell.C:
			s.tell(now)
		case <-s.ended:
			s.write(s.gather(nil))
			s.tell(time.Now())
			return
		}
	}
}

// gather joins the lines that wait.
func (s *Spool) gather(block []byte) []byte {
	for len(block) < mostWrite {
		select {
		case line := <-s.lines:
			block = append(block, line...)
		default:
			return block
		}
	}
	return block
}

func (s *Spool) tell(now time.Time) {
	if n := s.left.Swap(0); n > 0 {
		s.write(fmt.Appendf(nil, `{"time":%q,"level":"INFO","msg":"log lines left out","lines":%d,"bound":%d}`+"\n",
			now.UTC().Format(time.RFC3339Nano), n, PerSecond))
	}
}

// write writes a block. There is nowhere to report a failure to.
func (s *Spool) write(block []byte) {
	if len(block) > 0 {
		_, _ = s.out.Write(block)
	}
}
