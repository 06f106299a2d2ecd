package faultinject

// This file defines recorder, which stores a response instead of sending it.

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

// Header returns the stored headers.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader stores the status.
func (r *recorder) WriteHeader(code int) { r.code = code }

// Write appends to the stored body.
func (r *recorder) Write(data []byte) (int, error) { return r.body.Write(data) }

// Flush does nothing, since nothing is sent. The engine flushes after each event.
func (r *recorder) Flush() {}
