package caller

// This file reads request bodies and writes responses.

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/webserver"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// wireError is the error object of the OpenAI API, extended by the class of the
// result code and the ID of the request.
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

func failureBody(id string, f *fault.Fault) wireFailure {
	return wireFailure{Error: wireError{
		Message: f.Code.Text() + ": " + f.Detail,
		Type:    f.Code.String(),
		Code:    int(f.Code),
		Class:   f.Code.Class().String(),
		Request: id,
	}}
}

// writeFault writes f as the response, with its result code in the headers and the body.
func writeFault(w http.ResponseWriter, id string, f *fault.Fault) {
	h := w.Header()
	h.Set(HeaderRequest, id)
	setCode(h, f.Code)
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	writeJSON(w, f.Code.Status(), failureBody(id, f))
}

// setCode sets the headers with the result code and its class, for clients that
// do not parse the body.
func setCode(h http.Header, c code.Code) {
	h.Set(HeaderCode, strconv.Itoa(int(c)))
	h.Set(HeaderClass, c.Class().String())
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	limitWriteTime(w)
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// Time limits that keep a slow caller from occupying a connection.
const (
	bodyTimeout  = 10 * time.Second // time in which the caller must send the request body
	writeTimeout = 10 * time.Second // time in which the caller must read a response that is not a stream
	// memoryRetryAfter is the time after which there may be memory for a request.
	memoryRetryAfter = time.Second
	valueBytes       = 96 // memory of a decoded value of a list, without its bytes
)

// limitWriteTime sets the write deadline for a whole response. The deadline stays on
// the connection; authenticated clears it when the next request arrives.
func limitWriteTime(w http.ResponseWriter) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// readBody returns the whole request body, which may be empty. It fails if the body
// exceeds the size limit or does not arrive within bodyTimeout.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := webserver.ReadBody(w, r, s.maxBody, time.Now().Add(bodyTimeout))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return data, nil
	case errors.As(err, &tooLarge):
		w.Header().Set("Connection", "close")
		return nil, fault.New(code.BodyTooLarge, "got more than %d bytes", tooLarge.Limit)
	case errors.Is(err, webserver.ErrNoMemory):
		return nil, noMemory(w, err)
	default:
		return nil, fault.Wrap(code.BadJSON, err, "reading the body")
	}
}

// noMemory returns the fault of a request for which there is no memory, and has its connection closed.
func noMemory(w http.ResponseWriter, err error) error {
	w.Header().Set("Connection", "close")
	f := fault.Wrap(code.Overloaded, err, "reading the body")
	f.RetryAfter = memoryRetryAfter
	return f
}

// decodeBody reads the request body and decodes it from JSON. The error is a
// *fault.Fault. Its text, which the caller gets, can name the Go types of the
// request bodies (wireChat, wireInput, wireJob).
func (s *Server) decodeBody(w http.ResponseWriter, r *http.Request, into any) error {
	data, err := s.readBody(w, r)
	if err != nil {
		return err
	}
	if err := webserver.Reserve(r.Context(), int64(len(data)+valueBytes*bytes.Count(data, []byte{','}))); err != nil {
		return noMemory(w, err)
	}
	err = json.Unmarshal(data, into)
	var badType *json.UnmarshalTypeError
	var contentFault *fault.Fault // from wireContent.UnmarshalJSON
	switch {
	case err == nil:
		return nil
	case errors.As(err, &contentFault):
		return contentFault
	case errors.As(err, &badType) && badType.Field != "":
		return fault.New(code.BadField, "%s: got %s, want %s", badType.Field, badType.Value, badType.Type)
	default:
		return fault.Wrap(code.BadJSON, err, "parsing the body")
	}
}
