// Package sequence decides which event of a stream may follow those that its caller holds.
//
// The events of a stream have increasing ids. When a stream breaks, another endpoint resumes it after
// the last event; a faulty one may write the text of a failure, a second copy of its response's head, or
// other bytes in the place of events. What is not the next event is never passed on.
package sequence

// This file defines Sequence.

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// unknownStep and irregularStep are values of Sequence.step that are no difference of two ids.
const (
	unknownStep   = 0
	irregularStep = -1
)

// Verdict says what to do with an event.
type Verdict int

// The verdicts.
const (
	Pass Verdict = iota // the caller gets the event
	Skip                // the caller holds the event already
)

var verdictNames = [...]string{Pass: "pass", Skip: "skip"}

// String returns the verdict's name.
func (v Verdict) String() string { return verdictNames[v] }

// Sequence is what the caller of a stream holds of it. It is not safe for concurrent use.
type Sequence struct {
	last    string // id of the last event; empty if none has an id
	events  int
	inRun   int   // events of the run so far, with those that the caller held already
	resumed bool  // the next event is the first one of another run
	step    int64 // difference of the ids of successive events
}

// New returns the sequence of a stream of which the caller holds the events up to the one with the
// given id, or none if it is empty.
func New(last string) *Sequence { return &Sequence{last: last} }

// Last returns the id of the last event that the caller holds, empty if no event has an id.
func (s *Sequence) Last() string { return s.last }

// Events returns the number of events that were passed on. Comments are none.
func (s *Sequence) Events() int { return s.events }

// Resumable reports whether another run can go on with the stream: it could not know where if the
// caller holds events, but none with an id.
func (s *Sequence) Resumable() bool { return s.events == 0 || s.last != "" }

// Resume begins another run of the stream.
func (s *Sequence) Resume() { s.resumed, s.inRun = true, 0 }

// End says whether the run is complete whose response has ended. framed says whether the response stated
// where its body ends. One that ends with its connection before any event is not known to be whole.
func (s *Sequence) End(framed bool) error {
	if !framed && s.inRun == 0 {
		return errors.New("got the end of the connection, want an event before it")
	}
	return nil
}

// Next decides about the next event of a run. The error says why the event may not follow. Before
// the first event with an id, any bytes may: they are the endpoint's answer.
func (s *Sequence) Next(event []byte) (Verdict, error) {
	e, err := parse(event)
	switch {
	case s.last != "" && err != nil:
		return Skip, err
	case s.last != "" && e.hasContent && e.id == "":
		return Skip, fmt.Errorf("got an event without an id, %.40q, after event %.40q", event, s.last)
	case err == nil && !e.hasContent:
		return Pass, nil
	case e.id != "":
		if known, err := s.advance(e.id); err != nil {
			return Skip, err
		} else if known {
			s.inRun++
			return Skip, nil
		}
	}
	s.events++
	s.inRun++
	return Pass, nil
}

// advance records the id of the next event. It reports whether the caller holds that event already,
// which is the case if its number is not above that of the last one. It returns an error if another
// run begins after a gap in the numbers, or if ids cease to be numbers.
func (s *Sequence) advance(id string) (known bool, err error) {
	got, gotErr := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(s.last, 10, 64)
	switch {
	case gotErr != nil && lastErr == nil:
		return false, fmt.Errorf("got event %.40q after event %s, want a number", id, s.last)
	case gotErr != nil || lastErr != nil:
		if id == s.last {
			return true, nil
		}
		s.last, s.resumed = id, false
		return false, nil // ids that are not numbers have no order
	}
	step := got - last
	switch {
	case step <= 0:
		return true, nil
	case s.resumed && s.step > 0 && step != s.step:
		return false, fmt.Errorf("got event %s after event %s from the run that resumes the stream, want event %d", id, s.last, last+s.step)
	case s.resumed:
	case s.step == unknownStep:
		s.step = step
	case s.step != step:
		s.step = irregularStep
	}
	s.last, s.resumed = id, false
	return false, nil
}

// event is what a server-sent event says of itself.
type event struct {
	id         string // empty if it has none
	hasContent bool   // it has other fields than the time after which to reconnect
}

// parse parses the lines of a server-sent event up to its blank line. The error says which line is
// neither a comment nor a field.
func parse(text []byte) (event, error) {
	var e event
	lines := bytes.Split(bytes.TrimRight(text, "\r\n"), []byte("\n"))
	for i, line := range lines {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if bytes.HasPrefix(line, []byte(":")) || len(line) == 0 && i == 0 {
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !isField(name) {
			return event{}, fmt.Errorf("got %.40q in an event, want a field or a comment", line)
		}
		switch string(name) {
		case "id":
			e.id, e.hasContent = string(bytes.TrimSpace(value)), true
		case "retry":
		default:
			e.hasContent = true
		}
	}
	return e, nil
}

// isField reports whether a name can be that of a field: the fields of the format and those that
// endpoints add have names of small letters, digits and hyphens.
func isField(name []byte) bool {
	return len(name) > 0 && !bytes.ContainsFunc(name, func(r rune) bool { return !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-' || r == '_') })
}
