package runner

// This file defines stream, the tokens that a stage has given so far.

import (
	"strings"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/stagecall"
)

// stream joins the tokens of all attempts of a stage. One attempt feeds it at
// a time. Another one takes over when it gives the token that is wanted next
// before the feeder does; this is always its first token, since an attempt
// that starts behind ends at once. The others are told to end then.
type stream struct {
	sink Sink
	won  func(attempt int) // called with the lock held when another attempt takes over

	mu       sync.Mutex
	closed   bool
	feeder   int            // attempt that feeds, or 0
	at       map[int]string // endpoint of each attempt that was sent
	next     int            // index of the token wanted next
	text     strings.Builder
	progress time.Time // when a call was sent or a token came last; zero before
	load     float64   // load of the role when a call was sent last
}

// touch records that an attempt was sent to an endpoint, at a load of the role,
// and returns the token from which it has to go on, and the text before it.
func (s *stream) touch(attempt int, name string, load float64, now time.Time) (from int, partial string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at == nil {
		s.at = make(map[int]string)
	}
	s.at[attempt] = name
	s.progress = now
	s.load = load
	return s.next, s.text.String()
}

// token takes a token of an attempt. An error tells the attempt to end.
func (s *stream) token(attempt int, t stagecall.Token) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed || t.Index < s.next:
		return failure.New(failure.Late, nil, "another attempt was faster")
	case t.Index > s.next:
		return failure.New(failure.Lost, nil, "got token %d, want %d", t.Index, s.next)
	}
	if s.feeder != attempt {
		s.feeder = attempt
		s.won(attempt)
	}
	s.progress = time.Now()
	s.next++
	s.text.WriteString(t.Text)
	if s.sink == nil {
		return nil
	}
	return s.sink(t)
}

// close makes the stream refuse further tokens, and returns the number it took.
func (s *stream) close() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.next
}

// reached returns the index of the token wanted next.
func (s *stream) reached() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// silence returns how long nothing has come, or zero while nothing was sent,
// and the load of the role at the last send.
func (s *stream) silence(now time.Time) (quiet time.Duration, load float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.progress.IsZero() {
		return 0, s.load
	}
	return now.Sub(s.progress), s.load
}

// source returns the attempt that feeds and its endpoint, or 0.
func (s *stream) source() (attempt int, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.feeder, s.at[s.feeder]
}
