package mesh

// This file answers the calls of peers.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/kind"
	"github.com/jacinthstile/jacinthstile/internal/peer/peerpb"
)

// Serve accepts sessions until the listener is closed.
func (m *Mesh) Serve(ctx context.Context, l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accepting peers: %w", err)
		}
		go m.accept(ctx, conn)
	}
}

func (m *Mesh) accept(ctx context.Context, conn net.Conn) {
	mux, err := yamux.Server(conn, muxConfig())
	if err != nil {
		conn.Close()
		return
	}
	s := &session{mux: mux}
	if !m.track(s) {
		mux.Close()
		return
	}
	defer m.untrack(s)
	first, err := mux.AcceptStream()
	if err != nil {
		return
	}
	s.peer, err = m.greet(first)
	first.Close()
	if err != nil {
		m.log.V(1).Info("peer refused", "remote", conn.RemoteAddr().String(), "reason", err.Error())
		return
	}
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			return
		}
		m.busy.Add(1)
		go m.answer(ctx, s.peer, stream)
	}
}

// Busy returns how many calls of peers are being answered.
func (m *Mesh) Busy() int { return int(m.busy.Load()) }

func (m *Mesh) track(s *session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.accepted[s] = struct{}{}
	return true
}

func (m *Mesh) untrack(s *session) {
	s.mux.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.accepted, s)
}

func (m *Mesh) answer(ctx context.Context, from identity.Identity, stream *yamux.Stream) {
	defer m.busy.Add(-1)
	defer stream.Close()
	if err := stream.SetReadDeadline(time.Now().Add(callTimeout)); err != nil {
		return
	}
	var req peerpb.Request
	if err := read(stream, &req); err != nil {
		return
	}
	var resp peerpb.Response
	body, err := m.handle(ctx, from, kind.Kind(req.Kind), req.Body)
	if err != nil {
		resp.Error = err.Error()
	} else {
		resp.Body = body
	}
	if _, err := protodelim.MarshalTo(stream, &resp); err != nil {
		m.log.V(1).Info("peer answer lost", "peer", from.String(), "reason", err.Error())
	}
}

func (m *Mesh) handle(ctx context.Context, from identity.Identity, k kind.Kind, body []byte) ([]byte, error) {
	m.mu.Lock()
	h := m.handlers[k]
	m.mu.Unlock()
	if h == nil {
		return nil, fmt.Errorf("handling peer call: got kind %s, want one that is known", k)
	}
	return h(ctx, from, body)
}
