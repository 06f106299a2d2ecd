// Package answer writes the response to a caller's request.
//
// A response is either whole or a stream of events, to which several endpoints may contribute. Once
// a stream has begun, a failure can only be reported by breaking the connection: a whole response
// would become part of the stream. All responses of endpoints are therefore written by an Answer,
// which refuses what can't follow.
package answer

// This file defines Answer.

import (
	"errors"
	"fmt"
	"mime"
	"net/http"
	"strconv"
)

// ErrBegun means that a response can't be written, since another one has begun.
var ErrBegun = errors.New("another response has begun")

// eventStream is the media type of a stream of events.
const eventStream = "text/event-stream"

// state is what has been written of a response.
type state int

const (
	empty     state = iota // nothing
	streaming              // the headers of a stream, and possibly events
	whole                  // a whole response
)

// Answer is the response to one request. It is not safe for concurrent use.
type Answer struct {
	writer http.ResponseWriter
	strip  func(http.Header)
	state  state
	status int    // of the stream
	media  string // media type of the stream; empty if its first endpoint named none
}

// New returns the response that is written to w. strip removes the headers of endpoints' responses
// that are not for the caller.
func New(w http.ResponseWriter, strip func(http.Header)) *Answer {
	return &Answer{writer: w, strip: strip}
}

// Begun reports whether anything has been written.
func (a *Answer) Begun() bool { return a.state != empty }

// Whole writes a whole response. The error is ErrBegun if a response has begun, and otherwise that of
// writing the body.
func (a *Answer) Whole(status int, header http.Header, body []byte) error {
	if a.Begun() {
		return fmt.Errorf("status %d: %w", status, ErrBegun)
	}
	a.state = whole
	a.copyHeader(header)
	a.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	a.writer.WriteHeader(status)
	_, err := a.writer.Write(body)
	return err
}

// Stream begins a stream with the status and headers of an endpoint's response, or checks that the
// response of another endpoint may go on with the stream that has begun: it has the same status
// and, if that was one of events, the same media type.
func (a *Answer) Stream(status int, header http.Header) error {
	media := mediaType(header)
	switch a.state {
	case whole:
		return fmt.Errorf("stream with status %d: %w", status, ErrBegun)
	case streaming:
		if status != a.status {
			return fmt.Errorf("got status %d from the endpoint that resumes the stream, want %d", status, a.status)
		}
		if media != a.media && a.media == eventStream {
			return fmt.Errorf("got media type %.80q from the endpoint that resumes the stream, want %s", media, eventStream)
		}
		return nil
	case empty:
		a.state, a.status, a.media = streaming, status, media
		a.copyHeader(header)
		a.writer.Header().Del("Content-Length")
		a.writer.WriteHeader(status)
		return nil
	default:
		panic(fmt.Sprintf("answer: unknown state %d", a.state))
	}
}

// Event writes an event of the stream. Flush sends it.
func (a *Answer) Event(event []byte) error {
	if a.state != streaming {
		return fmt.Errorf("event outside a stream: %w", ErrBegun)
	}
	_, err := a.writer.Write(event)
	return err
}

// Flush sends the events that were written.
func (a *Answer) Flush() {
	if flusher, ok := a.writer.(http.Flusher); ok {
		flusher.Flush()
	}
}

func (a *Answer) copyHeader(from http.Header) {
	h := a.writer.Header()
	for name, values := range from {
		h[name] = values
	}
	a.strip(h)
}

// mediaType returns the media type of a response without its parameters.
func mediaType(h http.Header) string {
	media, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	if err != nil {
		return h.Get("Content-Type")
	}
	return media
}
