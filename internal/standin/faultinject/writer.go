package faultinject

// This file applies each kind of fault to a call and its response.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// wrap returns a handler that applies the fault to each call.
func (f *Fault) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(h, w, r) })
}

// serve applies the fault to a call.
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
		rec := newRecorder()
		h.ServeHTTP(rec, r)
		time.Sleep(f.Delay)
		replay(w, rec)
	case Slow:
		h.ServeHTTP(&writer{ResponseWriter: w, fault: f, request: r, last: time.Now()}, r)
	case Doubled:
		d := &doubler{ResponseWriter: w}
		h.ServeHTTP(d, r)
		d.finish()
	case Swapped, Cut, Short:
		h.ServeHTTP(&writer{ResponseWriter: w, fault: f, request: r}, r)
	default:
		panic(fmt.Sprintf("faultinject: got kind %q, want one that is known", f.Kind))
	}
}

// replay sends a recorded response.
func replay(w http.ResponseWriter, rec *recorder) {
	for k, v := range rec.Header() {
		w.Header()[k] = v
	}
	w.WriteHeader(rec.code)
	w.Write(rec.body.Bytes())
}

// writer applies a fault to the parts of a response. A part is what the stand-in
// passes to one call of Write: a whole body or one event of a stream.
type writer struct {
	http.ResponseWriter
	fault   *Fault
	request *http.Request
	parts   int
	ended   bool      // whether the rest of the response is dropped
	last    time.Time // when the previous part was written
}

var _ http.ResponseWriter = (*writer)(nil)

// Unwrap returns the underlying writer for http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the status. A Swapped fault also replaces the request ID.
func (w *writer) WriteHeader(status int) {
	w.swapHeader()
	w.ResponseWriter.WriteHeader(status)
}

// swapHeader replaces the request ID in the header if the fault is Swapped.
func (w *writer) swapHeader() {
	h := w.Header()
	if id := h.Get(headerRequest); w.fault.Kind == Swapped && id != "" {
		h.Set(headerRequest, otherID(id))
	}
}

// Write writes one part, changed or delayed by the fault.
func (w *writer) Write(data []byte) (int, error) {
	if w.ended {
		return len(data), nil
	}
	first := w.parts == 0
	w.parts++
	switch w.fault.Kind {
	case Slow:
		w.wait()
	case Swapped:
		if first {
			w.swapHeader()
		}
		data = swap(data)
	case Cut, Short:
		if w.cuts() {
			return w.cut(data)
		}
	default:
		panic(fmt.Sprintf("faultinject: got kind %q, want one that changes parts", w.fault.Kind))
	}
	if _, err := w.ResponseWriter.Write(data); err != nil {
		return 0, err
	}
	return len(data), nil
}

// wait prolongs the time since the previous part by Fault.Factor.
func (w *writer) wait() {
	extra := time.Since(w.last) * time.Duration(w.fault.Factor-1)
	select {
	case <-time.After(extra):
	case <-w.request.Context().Done():
	}
	w.last = time.Now()
}

func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// cuts reports whether the response is cut at the current part.
func (w *writer) cuts() bool { return !isStream(w.Header()) || w.parts > w.fault.At }

// cut writes half of a body, or no further event of a stream, and ends the response:
// Cut closes the connection, Short drops the rest.
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

// otherID returns an ID of the same length that no request has.
func otherID(id string) string { return strings.Repeat("f", len(id)) }

// swap returns a part in which the request ID, the text and the body are replaced, as
// if it belonged to another request.
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
