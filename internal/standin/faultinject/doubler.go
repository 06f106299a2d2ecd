package faultinject

// This file defines doubler, which sends a response twice.

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// drainTimeout limits how long a connection is read after a doubled response.
const drainTimeout = 10 * time.Second

// doubler sends each event of a stream twice. It sends any other response twice as a
// whole on the connection, so that the client may take the second one for the
// response to its next call on that connection.
type doubler struct {
	http.ResponseWriter
	code int
	body bytes.Buffer
}

var _ http.ResponseWriter = (*doubler)(nil)

// Unwrap returns the underlying writer for http.ResponseController.
func (d *doubler) Unwrap() http.ResponseWriter { return d.ResponseWriter }

// WriteHeader stores the status until the response is complete.
func (d *doubler) WriteHeader(code int) { d.code = code }

// Write sends an event of a stream twice, or buffers a part of any other response.
func (d *doubler) Write(data []byte) (int, error) {
	if !isStream(d.Header()) {
		return d.body.Write(data)
	}
	if _, err := d.ResponseWriter.Write(data); err != nil {
		return 0, err
	}
	return d.ResponseWriter.Write(data)
}

// finish sends a buffered response twice.
func (d *doubler) finish() {
	if isStream(d.Header()) {
		return
	}
	resp := http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Header: d.Header().Clone(),
		ContentLength: int64(d.body.Len()),
	}
	if d.code != 0 {
		resp.StatusCode = d.code
	}
	resp.Header.Set("Content-Length", strconv.Itoa(d.body.Len()))
	conn, _, err := http.NewResponseController(d.ResponseWriter).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var raw bytes.Buffer
	for range 2 {
		resp.Body = io.NopCloser(bytes.NewReader(d.body.Bytes()))
		resp.Write(&raw)
	}
	conn.Write(raw.Bytes())
	go drain(conn)
}

// drain reads and discards what the client sends until it closes the connection or
// drainTimeout has passed. A call sent there gets no response other than the
// duplicate.
func drain(conn net.Conn) {
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(drainTimeout))
	io.Copy(io.Discard, conn)
}
