package transport

// This file defines session, and the calling side of a call on it.

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthstile/jacinthstile/internal/base/bounded"
	"github.com/jacinthstile/jacinthstile/internal/peer/coalescer"
	"github.com/jacinthstile/jacinthstile/internal/peer/encoding"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/peer/peerpb"
)

// session is one open connection to a peer. Each call is one stream of it.
type session struct {
	mux          *yamux.Session
	conn         *meteredConn
	peer         identity.Identity
	slots        chan struct{} // holds one value for each call of this instance in progress
	inboundCalls atomic.Int64  // number of the peer's calls being handled
	streams      *streams      // of the peer's calls
	used         atomic.Int64  // when a call of either side last started, in nanoseconds of the Unix epoch
}

// newSession returns a session over a connection that open makes one of yamux.
func newSession(coalesced *coalescer.Conn, metered *meteredConn, memory *memory, open func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*session, error) {
	received := &countedConn{Conn: coalesced, raw: metered, streams: newStreams(memory)}
	mux, err := open(received, muxConfig())
	if err != nil {
		coalesced.Close()
		return nil, err
	}
	received.streams.session.Close = func() {
		metered.Close() // first, as mux would wait until the peer has read what was sent
		mux.Close()
	}
	s := &session{mux: mux, conn: metered, slots: make(chan struct{}, maxSessionCalls), streams: received.streams}
	s.touch()
	return s, nil
}

func (s *session) touch() { s.used.Store(time.Now().UnixNano()) }

func (s *session) lastUsed() time.Time { return time.Unix(0, s.used.Load()) }

func (s *session) busy() bool { return len(s.slots) > 0 || s.inboundCalls.Load() > 0 }

// call sends one request and reads its response into out. It blocks while
// maxSessionCalls calls are in progress. Its error is an *UnreachableError, a
// *ResponseLostError or a *RemoteError.
func (s *session) call(ctx context.Context, address string, m method.Method, body []byte, out proto.Message) error {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return &UnreachableError{Address: address, Cause: fmt.Errorf("waiting for a free stream: %w", ctx.Err())}
	}
	defer func() { <-s.slots }()
	s.touch()
	start := time.Now()
	stream, err := s.mux.OpenStream()
	if err != nil {
		return &UnreachableError{Address: address, Cause: err}
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	resp, err := exchange(stream, &peerpb.Request{Kind: uint32(m), Body: body})
	if err != nil {
		s.closeIfUnresponsive(start)
		return &ResponseLostError{Peer: s.peer, Cause: err}
	}
	if resp.Error != "" {
		return &RemoteError{Peer: s.peer, Text: resp.Error}
	}
	if err := encoding.Unmarshal(resp.Body, out); err != nil {
		return &ResponseLostError{Peer: s.peer, Cause: err}
	}
	return nil
}

// answersPing reports whether the peer's process answers on the session before ctx ends, or
// sends anything else meanwhile: a busy one answers other calls first. No handler of the peer takes part.
func (s *session) answersPing(ctx context.Context) bool {
	start := time.Now()
	answered := make(chan error, 1)
	go func() {
		_, err := s.mux.Ping()
		answered <- err
	}()
	select {
	case err := <-answered:
		return err == nil
	case <-ctx.Done():
		return s.conn.lastReceived().After(start)
	}
}

func exchange(stream *yamux.Stream, req *peerpb.Request) (*peerpb.Response, error) {
	if _, err := protodelim.MarshalTo(stream, req); err != nil {
		return nil, err
	}
	resp := new(peerpb.Response)
	if err := read(stream, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// closeIfUnresponsive closes the session if the peer has sent nothing since a
// call that started at least unresponsiveTimeout ago. The next call then opens a
// new session instead of waiting on a dead connection.
func (s *session) closeIfUnresponsive(start time.Time) {
	if time.Since(start) >= unresponsiveTimeout && s.conn.lastReceived().Before(start) {
		s.mux.Close()
	}
}

// read decodes one length-prefixed message.
func read(r io.Reader, m proto.Message) error {
	size, err := binary.ReadUvarint(byteReader{r})
	if err != nil {
		return err
	}
	if size > maxMessageBytes {
		return fmt.Errorf("got a message of %d bytes, want %d at most", size, maxMessageBytes)
	}
	data, err := bounded.Read(r, int64(size))
	if err != nil {
		return err
	}
	return encoding.Unmarshal(data, m)
}

// byteReader adds ReadByte to a reader, without reading ahead.
type byteReader struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (b byteReader) ReadByte() (byte, error) {
	var one [1]byte
	_, err := io.ReadFull(b.Reader, one[:])
	return one[0], err
}

// muxConfig disables the keep-alives of yamux: package keepalive sets them on the
// TCP connection.
func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = callTimeout
	c.StreamCloseTimeout = callTimeout
	return c
}
