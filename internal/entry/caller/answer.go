package caller

// This file reads request bodies and writes answers.

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

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
	setCode(h, f.Code)
	if f.After > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.After.Seconds()))))
	}
	writeJSON(w, f.Code.Status(), failureOf(id, f))
}

// setCode names the result code in the headers, for clients that do not read bodies.
func setCode(h http.Header, c code.Code) {
	h.Set(HeaderCode, strconv.Itoa(int(c)))
	h.Set(HeaderClass, c.Class().String())
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	limitWrite(w)
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// Times that a caller may take, so that a slow one does not hold a connection for long.
const (
	bodyTimeout  = 10 * time.Second // to send a request's body
	writeTimeout = 10 * time.Second // to take an answer, or one event of a stream
)

// limitWrite bounds the time to take a whole answer. The deadline stays on the
// connection until the next request lifts it.
func limitWrite(w http.ResponseWriter) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// read returns the whole body, which may be empty.
func (s *Server) read(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer control.SetReadDeadline(time.Time{})
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
	err = json.Unmarshal(data, into)
	var badType *json.UnmarshalTypeError
	var own *fault.Fault
	switch {
	case err == nil:
		return nil
	case errors.As(err, &own):
		return own
	case errors.As(err, &badType) && badType.Field != "":
		return fault.New(code.BadField, "%s: got %s, want %s", badType.Field, badType.Value, badType.Type)
	default:
		return fault.Wrap(code.BadJSON, err, "parsing the body")
	}
}
