package trouble

// This file defines recorder, which keeps an answer instead of sending it.

import (
	"bytes"
	"net/http"
)

type recorder struct {
	header http.Header
	code   int
	body   bytes.Buffer
}

var _ http.ResponseWriter = (*recorder)(nil)

func newRecorder() *recorder { return &recorder{header: http.Header{}, code: http.StatusOK} }

// Header returns the headers kept.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader keeps the status.
func (r *recorder) WriteHeader(code int) { r.code = code }

// Write keeps a piece of the body.
func (r *recorder) Write(data []byte) (int, error) { return r.body.Write(data) }

// Flush does nothing, since nothing is sent.
func (r *recorder) Flush() {}
