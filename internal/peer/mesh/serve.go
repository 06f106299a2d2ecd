package mesh

// This file answers the calls of peers.

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/jacinthstile/jacinthstile/internal/base/liveness"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/kind"
	"github.com/jacinthstile/jacinthstile/internal/peer/peerpb"
)

const acceptPause = 50 * time.Millisecond // after a failed accept

// Serve accepts sessions until the listener is closed.
func (m *Mesh) Serve(ctx context.Context, l net.Listener) error {
	m.mu.Lock()
	m.own = l.Addr().String()
	m.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go m.sweep(ctx)
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			m.log.Error(err, "accepting a peer failed")
			time.Sleep(acceptPause)
			continue
		}
		go m.accept(ctx, conn)
	}
}

func (m *Mesh) accept(ctx context.Context, raw net.Conn) {
	if err := liveness.Guard(raw); err != nil {
		m.log.Error(err, "a peer's silence is noticed late", "remote", raw.RemoteAddr().String())
	}
	meter := newMeter(raw, &m.bytes)
	var conn net.Conn = meter
	if m.tls != nil {
		conn = tls.Server(meter, m.tls)
	}
	mux, err := yamux.Server(conn, muxConfig())
	if err != nil {
		raw.Close()
		return
	}
	s := newSession(mux, meter)
	if !m.track(s) {
		mux.Close()
		m.log.V(1).Info("peer refused", "remote", raw.RemoteAddr().String(), "reason", "too many sessions")
		return
	}
	defer m.untrack(s)
	theirs, err := m.welcome(s, conn)
	if err != nil {
		m.log.V(1).Info("peer refused", "remote", raw.RemoteAddr().String(), "reason", err.Error())
		return
	}
	m.observer().PeerConnected(s.peer, theirs)
	m.offer(theirs, s)
	defer m.withdraw(theirs, s)
	m.answerAll(ctx, s)
}

// offer lets calls to the peer's address use a session that it opened.
func (m *Mesh) offer(address string, s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if address != "" {
		m.inbound[address] = s
	}
}

func (m *Mesh) withdraw(address string, s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inbound[address] == s {
		delete(m.inbound, address)
	}
}

// answerAll answers the calls of a peer until the session ends.
func (m *Mesh) answerAll(ctx context.Context, s *session) {
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			return
		}
		s.touch()
		s.tasks.Add(1)
		go func() {
			defer s.tasks.Add(-1)
			m.answer(ctx, s.peer, stream)
		}()
	}
}

// Busy returns how many calls of peers are being handled.
func (m *Mesh) Busy() int { return len(m.handled) }

// welcome takes the hello of a new session, which must come within helloTimeout.
func (m *Mesh) welcome(s *session, conn net.Conn) (string, error) {
	late := time.AfterFunc(helloTimeout, func() { s.mux.Close() })
	defer late.Stop()
	first, err := s.mux.AcceptStream()
	if err != nil {
		return "", err
	}
	defer first.Close()
	return m.greet(first, s, conn, false)
}

func (m *Mesh) track(s *session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || len(m.accepted) >= mostAccepted {
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
	defer stream.Close()
	if err := stream.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return
	}
	var req peerpb.Request
	if err := read(stream, &req); err != nil {
		return
	}
	if m.attends(kind.Kind(req.Kind)) {
		var stop context.CancelFunc
		ctx, stop = attend(ctx, stream)
		defer stop()
	}
	resp := m.respond(ctx, from, &req)
	if err := stream.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return
	}
	if _, err := protodelim.MarshalTo(stream, resp); err != nil {
		m.log.V(1).Info("peer answer lost", "peer", from.String(), "reason", err.Error())
	}
}

func (m *Mesh) attends(k kind.Kind) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.attended[k]
}

// attend returns a context that ends when the caller closes the stream of its
// call or the session ends. Callers send nothing after their request.
func attend(ctx context.Context, stream *yamux.Stream) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		var one [1]byte
		for {
			_, err := stream.Read(one[:])
			if !errors.Is(err, yamux.ErrTimeout) {
				return
			}
			// The deadline of the request has passed, which says nothing of the caller.
			if stream.SetReadDeadline(time.Time{}) != nil {
				return
			}
		}
	}()
	return ctx, cancel
}

func (m *Mesh) respond(ctx context.Context, from identity.Identity, req *peerpb.Request) *peerpb.Response {
	select {
	case m.handled <- struct{}{}:
		defer func() { <-m.handled }()
	default:
		return &peerpb.Response{Error: "too many calls are being handled; this one was not"}
	}
	body, err := m.handle(ctx, from, kind.Kind(req.Kind), req.Body)
	if err != nil {
		return &peerpb.Response{Error: err.Error()}
	}
	return &peerpb.Response{Body: body}
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

// sweep closes idle and deaf sessions until ctx ends.
func (m *Mesh) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			m.sweepAt(now)
		case <-ctx.Done():
			return
		}
	}
}

func (m *Mesh) sweepAt(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, s := range m.dialed {
		idle := !s.busy() && now.Sub(s.lastUsed()) > idleTimeout
		if idle || s.mux.IsClosed() {
			s.mux.Close()
			delete(m.dialed, address)
		}
	}
	for s := range m.accepted {
		if now.Sub(s.meter.lastHeard()) > deafTimeout {
			s.mux.Close()
		}
	}
}
