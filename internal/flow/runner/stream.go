package runner

// This file defines stream, which merges the tokens of a stage's attempts.

import (
	"strings"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/stagecall"
)

// stream merges the tokens of all attempts of a stage into one sequence, in which each
// token occurs once and in order. One attempt is the source of tokens at a time. Another
// attempt takes over if it delivers the next token before the source does. This is always
// the first token of that attempt, because an attempt whose first token is out of order
// fails at once. On a takeover all other attempts are cancelled.
type stream struct {
	sink       Sink
	onTakeover func(attempt int) // called with mu held when an attempt becomes the source

	mu           sync.Mutex
	closed       bool
	source       int            // attempt that is the source of tokens, or 0
	endpoints    map[int]string // endpoint of each attempt that was sent
	next         int            // index of the next token
	text         strings.Builder
	lastProgress time.Time // when an attempt was last sent or a token last received; zero before the first send
	load         float64   // utilisation of the role at the last send
}

// recordSend records that an attempt is sent to an endpoint, and the utilisation of the
// role. It returns the index of the first token that the attempt must generate and the
// text of the tokens before it.
func (s *stream) recordSend(attempt int, name string, load float64, now time.Time) (from int, partial string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpoints == nil {
		s.endpoints = make(map[int]string)
	}
	s.endpoints[attempt] = name
	s.lastProgress = now
	s.load = load
	return s.next, s.text.String()
}

// appendToken appends a token of an attempt and passes it to the sink. If it returns an error,
// the attempt must end.
func (s *stream) appendToken(attempt int, t stagecall.Token) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed || t.Index < s.next:
		return failure.New(failure.Late, nil, "another attempt was faster")
	case t.Index > s.next:
		return failure.New(failure.Lost, nil, "got token %d, want %d", t.Index, s.next)
	}
	if s.source != attempt {
		s.source = attempt
		s.onTakeover(attempt)
	}
	s.lastProgress = time.Now()
	s.next++
	s.text.WriteString(t.Text)
	if s.sink == nil {
		return nil
	}
	return s.sink(t)
}

// close makes the stream reject further tokens. It returns the number of tokens received.
func (s *stream) close() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.next
}

// nextToken returns the index of the next token, which is the number of tokens received.
func (s *stream) nextToken() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// idleTime returns the time since the last send or token, or zero if no attempt has been
// sent, and the utilisation of the role at the last send.
func (s *stream) idleTime(now time.Time) (idle time.Duration, load float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastProgress.IsZero() {
		return 0, s.load
	}
	return now.Sub(s.lastProgress), s.load
}

// currentSource returns the attempt that is the source of tokens, or 0, and its endpoint.
func (s *stream) currentSource() (attempt int, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source, s.endpoints[s.source]
}
