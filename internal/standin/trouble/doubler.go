package trouble

// This file defines doubler, which sends an answer twice.

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const drainTimeout = 10 * time.Second

// doubler sends each event of a stream twice. Of an answer with one body it
// sends the whole response twice on the connection, so that the second one
// meets the next call there.
type doubler struct {
	http.ResponseWriter
	code int
	body bytes.Buffer
}

var _ http.ResponseWriter = (*doubler)(nil)

// Unwrap gives http.ResponseController the writer behind.
func (d *doubler) Unwrap() http.ResponseWriter { return d.ResponseWriter }

// WriteHeader keeps the status until the answer is whole.
func (d *doubler) WriteHeader(code int) { d.code = code }

// Write sends an event twice, or keeps a piece of a body.
func (d *doubler) Write(data []byte) (int, error) {
	if !isStream(d.Header()) {
		return d.body.Write(data)
	}
	if _, err := d.ResponseWriter.Write(data); err != nil {
		return 0, err
	}
	return d.ResponseWriter.Write(data)
}

// finish sends a kept answer twice.
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

// drain reads what the client still sends until it closes the connection. The
// calls that it sends there get no answer but the second one above.
func drain(conn net.Conn) {
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(drainTimeout))
	io.Copy(io.Discard, conn)
}
