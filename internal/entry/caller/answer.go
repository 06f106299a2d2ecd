package caller

// This file reads request bodies and writes answers.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"

	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// wireError has the shape that chat clients of the field parse, with the class beside it.
type wireError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Param   any    `json:"param"`
	Code    int    `json:"code"`
	Class   string `json:"class"`
	Request string `json:"request"`
}

type wireFailure struct {
	Error wireError `json:"error"`
}

func failureOf(id string, f *fault.Fault) wireFailure {
	return wireFailure{Error: wireError{
		Message: f.Code.Text() + ": " + f.Detail,
		Type:    f.Code.String(),
		Code:    int(f.Code),
		Class:   f.Code.Class().String(),
		Request: id,
	}}
}

// refuse writes a fault as the answer.
func refuse(w http.ResponseWriter, id string, f *fault.Fault) {
	h := w.Header()
	h.Set(HeaderRequest, id)
	if f.After > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.After.Seconds()))))
	}
	writeJSON(w, f.Code.Status(), failureOf(id, f))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// read returns the whole body, which may be empty.
func (s *Server) read(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.body))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.New(code.BodyTooLarge, "got more than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, fault.Wrap(code.BadJSON, err, "reading the body")
	}
	return data, nil
}

func (s *Server) decode(w http.ResponseWriter, r *http.Request, into any) error {
	data, err := s.read(w, r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fault.Wrap(code.BadJSON, err, "parsing the body")
	}
	return nil
}

// events writes server-sent events. Headers go out with the first one.
type events struct {
	w       http.ResponseWriter
	started bool
}

func (e *events) send(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return e.raw(data)
}

func (e *events) raw(data []byte) error {
	if !e.started {
		e.started = true
		e.w.Header().Set("Content-Type", "text/event-stream")
		e.w.Header().Set("Cache-Control", "no-store")
	}
	if _, err := fmt.Fprintf(e.w, "data: %s\n\n", data); err != nil {
		return err
	}
	return http.NewResponseController(e.w).Flush()
}

// end reports a fault within the stream once it has started, since the status is out.
func (e *events) end(id string, err error) error {
	if err == nil || !e.started {
		return err
	}
	if sendErr := e.send(failureOf(id, fault.From(err))); sendErr != nil {
		return nil
	}
	return nil
}
