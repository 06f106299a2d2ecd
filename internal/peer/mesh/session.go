package mesh

// This file defines session and the calls on it.

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/kind"
	"github.com/jacinthstile/jacinthstile/internal/peer/peerpb"
)

type session struct {
	mux   *yamux.Session
	meter *meter
	peer  identity.Identity
	slots chan struct{} // one for each call under way
	tasks atomic.Int64  // calls of the peer being answered
	used  atomic.Int64  // when a call of either side last started, in nanoseconds of the Unix epoch
}

func newSession(mux *yamux.Session, m *meter) *session {
	s := &session{mux: mux, meter: m, slots: make(chan struct{}, mostCalls)}
	s.touch()
	return s
}

func (s *session) touch() { s.used.Store(time.Now().UnixNano()) }

func (s *session) lastUsed() time.Time { return time.Unix(0, s.used.Load()) }

func (s *session) busy() bool { return len(s.slots) > 0 || s.tasks.Load() > 0 }

// call sends one request and reads its answer. Its error is an *Unreachable,
// a *Lost or a *Remote.
func (s *session) call(ctx context.Context, address string, k kind.Kind, body []byte, out proto.Message) error {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return &Unreachable{Address: address, Cause: fmt.Errorf("waiting for a free stream: %w", ctx.Err())}
	}
	defer func() { <-s.slots }()
	s.touch()
	start := time.Now()
	stream, err := s.mux.OpenStream()
	if err != nil {
		return &Unreachable{Address: address, Cause: err}
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	resp, err := exchange(stream, &peerpb.Request{Kind: uint32(k), Body: body})
	if err != nil {
		s.closeIfSilent(start)
		return &Lost{Peer: s.peer, Cause: err}
	}
	if resp.Error != "" {
		return &Remote{Peer: s.peer, Text: resp.Error}
	}
	if err := proto.Unmarshal(resp.Body, out); err != nil {
		return &Lost{Peer: s.peer, Cause: err}
	}
	return nil
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

// closeIfSilent closes a session whose peer sent no byte since a call that
// waited long enough, so that the next call opens a new one.
func (s *session) closeIfSilent(start time.Time) {
	if time.Since(start) >= silentTimeout && s.meter.lastHeard().Before(start) {
		s.mux.Close()
	}
}

// read decodes one message with its length in front. protodelim wants single bytes.
func read(r io.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: mostMessage}.UnmarshalFrom(byteReader{r}, m)
}

type byteReader struct{ io.Reader }

// ReadByte reads one byte.
func (b byteReader) ReadByte() (byte, error) {
	var one [1]byte
	_, err := io.ReadFull(b.Reader, one[:])
	return one[0], err
}

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = callTimeout
	return c
}
