package caller

// This file defines events, a stream of server-sent events.

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// writeGrace is how long after a request's deadline a slow caller may still read.
const writeGrace = time.Second

// events writes server-sent events. Headers go out with the first one.
type events struct {
	w       http.ResponseWriter
	control *http.ResponseController
	started bool
	buf     []byte
}

// newEvents returns a stream whose writes fail once a slow caller has held the
// request beyond its deadline.
func newEvents(w http.ResponseWriter, deadline time.Time) *events {
	e := &events{w: w, control: http.NewResponseController(w)}
	// A writer without deadlines, as in tests, is never slow.
	e.control.SetWriteDeadline(deadline.Add(writeGrace))
	return e
}

// close lifts the deadline, since the connection may carry another request.
func (e *events) close() { e.control.SetWriteDeadline(time.Time{}) }

func (e *events) send(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return e.raw(data)
}

// raw sends data, which holds no line break.
func (e *events) raw(data []byte) error {
	e.open()
	e.buf = append(e.buf, data...)
	return e.flush()
}

// text sends an event that consists of head, text as a JSON string, and tail.
func (e *events) text(head []byte, text, tail string) error {
	e.open()
	e.buf = append(e.buf, head...)
	e.buf = appendString(e.buf, text)
	e.buf = append(e.buf, tail...)
	return e.flush()
}

func (e *events) open() {
	if !e.started {
		e.started = true
		h := e.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
	}
	e.buf = append(e.buf[:0], "data: "...)
}

func (e *events) flush() error {
	e.buf = append(e.buf, "\n\n"...)
	if _, err := e.w.Write(e.buf); err != nil {
		return err
	}
	return e.control.Flush()
}

// end reports a fault within the stream once it has started, since the status
// is out, and returns it as a *sentFault. It returns err where nothing has been
// sent yet.
func (e *events) end(id string, err error) error {
	if !e.started {
		return err
	}
	f := fault.From(err)
	// A caller that can't be written to has left.
	e.send(failureOf(id, f))
	return &sentFault{f}
}

// sentFault is a fault that the caller has been told of.
type sentFault struct{ *fault.Fault }

// appendString appends s as a JSON string.
func appendString(buf []byte, s string) []byte {
	if isPlain(s) {
		buf = append(buf, '"')
		buf = append(buf, s...)
		return append(buf, '"')
	}
	data, err := json.Marshal(s)
	if err != nil {
		panic("caller: encoding a string: " + err.Error())
	}
	return append(buf, data...)
}

// isPlain reports whether s needs no escaping in JSON.
func isPlain(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}
