package caller

// This file defines eventStream, a response that consists of server-sent events.

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// writeGrace is the time after the deadline of a request in which a slow caller
// may still read the rest of its stream.
const writeGrace = time.Second

// eventStream writes server-sent events. The headers are sent with the first event.
type eventStream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	started bool
	buf     []byte
}

// newEventStream returns a stream whose writes fail from writeGrace after the deadline
// on, so that a caller that reads slowly cannot hold the request for longer.
func newEventStream(w http.ResponseWriter, deadline time.Time) *eventStream {
	e := &eventStream{w: w, control: http.NewResponseController(w)}
	// The error is ignored: writers in tests do not support deadlines.
	e.control.SetWriteDeadline(deadline.Add(writeGrace))
	return e
}

// close clears the write deadline, since the connection may carry another request.
func (e *eventStream) close() { e.control.SetWriteDeadline(time.Time{}) }

func (e *eventStream) send(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return e.sendRaw(data)
}

// sendRaw sends data as one event. The data must not contain a line break.
func (e *eventStream) sendRaw(data []byte) error {
	e.begin()
	e.buf = append(e.buf, data...)
	return e.flush()
}

// sendText sends an event that consists of prefix, text as a JSON string, and suffix.
func (e *eventStream) sendText(prefix []byte, text, suffix string) error {
	e.begin()
	e.buf = append(e.buf, prefix...)
	e.buf = appendString(e.buf, text)
	e.buf = append(e.buf, suffix...)
	return e.flush()
}

// begin sets the headers of the first event and starts an event in the buffer.
func (e *eventStream) begin() {
	if !e.started {
		e.started = true
		h := e.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
	}
	e.buf = append(e.buf[:0], "data: "...)
}

func (e *eventStream) flush() error {
	e.buf = append(e.buf, "\n\n"...)
	if _, err := e.w.Write(e.buf); err != nil {
		return err
	}
	return e.control.Flush()
}

// fail ends the stream with an error. If an event has been sent, and with it the
// HTTP status, it sends the error as an event and returns it as a *reportedFault.
// Otherwise it sends nothing and returns err for the caller to report.
func (e *eventStream) fail(id string, err error) error {
	if !e.started {
		return err
	}
	f := fault.From(err)
	// A write error is ignored: it means that the caller has disconnected.
	e.send(failureBody(id, f))
	return &reportedFault{f}
}

// reportedFault is a fault that has already been sent to the caller as an event.
type reportedFault struct{ *fault.Fault }

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
