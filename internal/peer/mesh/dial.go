package mesh

// This file opens sessions.

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/jacinthstile/jacinthstile/internal/base/liveness"
	"github.com/jacinthstile/jacinthstile/internal/peer/credential"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/peerpb"
)

// session returns the open session with the peer at an address, whichever side
// opened it, or opens one. Callers that
// come while it is being opened wait for the same one.
func (m *Mesh) session(ctx context.Context, address string) (*session, error) {
	m.mu.Lock()
	closed := m.closed
	for _, s := range []*session{m.dialed[address], m.inbound[address]} {
		if s != nil && !closed && !s.mux.IsClosed() {
			m.mu.Unlock()
			return s, nil
		}
	}
	m.mu.Unlock()
	if closed {
		return nil, net.ErrClosed
	}
	opened := m.dials.DoChan(address, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		return m.open(ctx, address)
	})
	select {
	case r := <-opened:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.(*session), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (m *Mesh) open(ctx context.Context, address string) (*session, error) {
	s, theirs, err := m.dial(ctx, address)
	if err != nil {
		m.observer().DialFailed(address)
		return nil, err
	}
	if err := m.keep(address, s); err != nil {
		s.mux.Close()
		return nil, err
	}
	m.observer().PeerConnected(s.peer, theirs)
	go m.answerAll(m.ctx, s)
	return s, nil
}

// keep stores a new session, and closes the one that has been unused for
// longest where more than mostDialed stand.
func (m *Mesh) keep(address string, s *session) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return net.ErrClosed
	}
	m.dialed[address] = s
	if len(m.dialed) > mostDialed {
		m.evict(address)
	}
	return nil
}

func (m *Mesh) evict(except string) {
	oldest := ""
	for address, s := range m.dialed {
		if address == except || s.busy() {
			continue
		}
		if oldest == "" || s.used.Load() < m.dialed[oldest].used.Load() {
			oldest = address
		}
	}
	if oldest != "" {
		m.dialed[oldest].mux.Close()
		delete(m.dialed, oldest)
	}
}

// connect tries anew where a try stays without an answer. The kernel would send
// a first packet that was lost, or came before the peer was up, again after 1 s.
// A time-out that the kernel reports is not one of a try: it may come at once.
// The dialer reports its own in two ways.
func connect(ctx context.Context, try func(ctx context.Context, network, address string) (net.Conn, error), address string) (net.Conn, error) {
	for {
		conn, err := try(ctx, "tcp", address)
		late := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
		if err == nil || ctx.Err() != nil || !late {
			return conn, err
		}
	}
}

func (m *Mesh) dial(ctx context.Context, address string) (*session, string, error) {
	raw, err := connect(ctx, liveness.Dialer(connectTimeout).DialContext, address)
	if err != nil {
		return nil, "", err
	}
	meter := newMeter(raw, &m.bytes)
	stop := context.AfterFunc(ctx, func() { raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	var conn net.Conn = meter
	if m.tls != nil {
		conn = tls.Client(meter, m.tls)
	}
	mux, err := yamux.Client(conn, muxConfig())
	if err != nil {
		raw.Close()
		return nil, "", err
	}
	s := newSession(mux, meter)
	stream, err := mux.OpenStream()
	if err != nil {
		mux.Close()
		return nil, "", err
	}
	defer stream.Close()
	theirs, err := m.greet(stream, s, conn, true)
	if err != nil {
		mux.Close()
		return nil, "", err
	}
	return s, theirs, nil
}

// greet exchanges hellos on the first stream of a session, and returns the
// address on which the peer accepts sessions. The side that dialed speaks
// first; the other answers only a peer whose name is proved.
func (m *Mesh) greet(stream *yamux.Stream, s *session, conn net.Conn, first bool) (string, error) {
	if err := stream.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return "", err
	}
	if first {
		if err := m.sendHello(stream); err != nil {
			return "", err
		}
	}
	var h peerpb.Hello
	if err := read(stream, &h); err != nil {
		return "", fmt.Errorf("reading hello: %w", err)
	}
	if c, ok := conn.(*tls.Conn); ok {
		if err := credential.CheckName(c.ConnectionState(), h.Name); err != nil {
			return "", err
		}
	}
	s.peer = identity.Identity{
		Name:        h.Name,
		Centre:      h.Centre,
		Incarnation: h.Incarnation,
		Seat:        int(h.Seat) - 1,
	}
	if !first {
		return h.Address, m.sendHello(stream)
	}
	return h.Address, nil
}

func (m *Mesh) sendHello(stream *yamux.Stream) error {
	own := &peerpb.Hello{
		Name:        m.self.Name,
		Centre:      m.self.Centre,
		Incarnation: m.self.Incarnation,
		Seat:        uint32(m.self.Seat + 1),
		Address:     m.address(),
	}
	if _, err := protodelim.MarshalTo(stream, own); err != nil {
		return fmt.Errorf("sending hello: %w", err)
	}
	return nil
}
