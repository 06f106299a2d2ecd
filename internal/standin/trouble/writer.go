package trouble

// This file defines how each kind of fault changes an answer.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// wrap returns a handler that answers under the fault.
func (f *Fault) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(h, w, r) })
}

// serve answers a call under the fault.
func (f *Fault) serve(h http.Handler, w http.ResponseWriter, r *http.Request) {
	switch f.Kind {
	case DeadBefore:
		panic(http.ErrAbortHandler)
	case DeadAfter:
		h.ServeHTTP(newRecorder(), r)
		panic(http.ErrAbortHandler)
	case Refused:
		w.Header().Set(HeaderNotRun, "1")
		w.Header().Set(headerRequest, r.Header.Get(headerRequest))
		http.Error(w, "refused before running", http.StatusServiceUnavailable)
	case Errored:
		h.ServeHTTP(newRecorder(), r)
		w.Header().Set(headerRequest, r.Header.Get(headerRequest))
		http.Error(w, "failed on demand", http.StatusInternalServerError)
	case Late:
		late := newRecorder()
		h.ServeHTTP(late, r)
		time.Sleep(f.Delay)
		replay(w, late)
	case Slow:
		h.ServeHTTP(&writer{ResponseWriter: w, fault: f, request: r, last: time.Now()}, r)
	case Doubled:
		d := &doubler{ResponseWriter: w}
		h.ServeHTTP(d, r)
		d.finish()
	case Swapped, Cut, Short:
		h.ServeHTTP(&writer{ResponseWriter: w, fault: f, request: r}, r)
	default:
		panic(fmt.Sprintf("trouble: got kind %q, want one that is known", f.Kind))
	}
}

func replay(w http.ResponseWriter, kept *recorder) {
	for k, v := range kept.Header() {
		w.Header()[k] = v
	}
	w.WriteHeader(kept.code)
	w.Write(kept.body.Bytes())
}

// writer changes the pieces of an answer on their way out. A piece is one Write
// of the stand-in: a whole body or one event of a stream.
type writer struct {
	http.ResponseWriter
	fault   *Fault
	request *http.Request
	pieces  int
	ended   bool      // the rest of the answer is dropped
	last    time.Time // when the piece before was written
}

var _ http.ResponseWriter = (*writer)(nil)

// Unwrap gives http.ResponseController the writer behind.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the status, with another request's identity when swapped.
func (w *writer) WriteHeader(status int) {
	w.foreign()
	w.ResponseWriter.WriteHeader(status)
}

func (w *writer) foreign() {
	h := w.Header()
	if id := h.Get(headerRequest); w.fault.Kind == Swapped && id != "" {
		h.Set(headerRequest, otherID(id))
	}
}

// Write writes one piece as the fault has it.
func (w *writer) Write(data []byte) (int, error) {
	if w.ended {
		return len(data), nil
	}
	first := w.pieces == 0
	w.pieces++
	switch w.fault.Kind {
	case Slow:
		w.wait()
	case Swapped:
		if first {
			w.foreign()
		}
		data = swap(data)
	case Cut, Short:
		if w.cuts() {
			return w.cut(data)
		}
	default:
		panic(fmt.Sprintf("trouble: got kind %q, want one that changes pieces", w.fault.Kind))
	}
	if _, err := w.ResponseWriter.Write(data); err != nil {
		return 0, err
	}
	return len(data), nil
}

// wait stretches the time since the piece before by the fault's factor.
func (w *writer) wait() {
	stretch := time.Since(w.last) * time.Duration(w.fault.Factor-1)
	select {
	case <-time.After(stretch):
	case <-w.request.Context().Done():
	}
	w.last = time.Now()
}

func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// cuts reports whether the piece that comes now is cut.
func (w *writer) cuts() bool { return !isStream(w.Header()) || w.pieces > w.fault.At }

// cut writes half a body, or nothing more of a stream, and ends the answer.
func (w *writer) cut(data []byte) (int, error) {
	if !isStream(w.Header()) {
		if w.fault.Kind == Cut {
			w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		}
		w.ResponseWriter.Write(data[:len(data)/2])
	}
	http.NewResponseController(w.ResponseWriter).Flush()
	if w.fault.Kind == Cut {
		panic(http.ErrAbortHandler)
	}
	w.ended = true
	return len(data), nil
}

// otherID returns an identity of the same length that no request has.
func otherID(id string) string { return strings.Repeat("f", len(id)) }

// swap returns a piece of the answer to another request: its identity and its content differ.
func swap(data []byte) []byte {
	prefix, body, isEvent := bytes.Cut(data, []byte("data: "))
	if !isEvent {
		prefix, body = nil, data
	}
	var fields map[string]any
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	if d.Decode(&fields) != nil {
		return data
	}
	for _, name := range []string{"request", "text", "body"} {
		if s, ok := fields[name].(string); ok {
			fields[name] = otherID(s)
		}
	}
	out, err := json.Marshal(fields)
	if err != nil {
		return data
	}
	if !isEvent {
		return out
	}
	return fmt.Appendf(prefix, "data: %s\n\n", out)
}
