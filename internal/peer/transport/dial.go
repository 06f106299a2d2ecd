package transport

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

	"github.com/jacinthstile/jacinthstile/internal/base/keepalive"
	"github.com/jacinthstile/jacinthstile/internal/peer/coalescer"
	"github.com/jacinthstile/jacinthstile/internal/peer/credential"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/peerpb"
)

// session returns the open session with the peer at an address, whichever side
// opened it, or opens one. Concurrent callers share one attempt to open it.
func (t *Transport) session(ctx context.Context, address string) (*session, error) {
	s, closed := t.openSession(address)
	if s != nil {
		return s, nil
	}
	if closed {
		return nil, net.ErrClosed
	}
	opened := t.dialGroup.DoChan(address, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		return t.open(ctx, address)
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

// openSession returns the open session with the peer at an address, or nil, and whether
// the Transport is closed.
func (t *Transport) openSession(address string) (s *session, closed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, true
	}
	for _, s := range []*session{t.dialed[address], t.acceptedByAddress[address]} {
		if s != nil && !s.mux.IsClosed() {
			return s, false
		}
	}
	return nil, false
}

// Ping reports whether the process at address answers, before ctx ends, on the session
// that is open with it. It opens no session. An instance that is slow to handle calls
// answers; one that is stopped, suspended or cut off does not.
func (t *Transport) Ping(ctx context.Context, address string) bool {
	s, _ := t.openSession(address)
	return s != nil && s.answersPing(ctx)
}

// open dials a new session, stores it and reports the outcome to the observer.
func (t *Transport) open(ctx context.Context, address string) (*session, error) {
	s, peerAddress, err := t.dial(ctx, address)
	if err != nil {
		t.observer().DialFailed(address)
		return nil, err
	}
	if err := t.addDialed(address, s); err != nil {
		s.mux.Close()
		return nil, err
	}
	t.observer().PeerConnected(s.peer, peerAddress)
	go t.serveCalls(t.ctx, s)
	return s, nil
}

// addDialed stores a new session. If there are then more than maxDialedSessions,
// it closes the least recently used one that has no call in progress.
func (t *Transport) addDialed(address string, s *session) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return net.ErrClosed
	}
	t.dialed[address] = s
	if len(t.dialed) > maxDialedSessions {
		t.evict(address)
	}
	return nil
}

// evict closes the least recently used dialed session without calls in progress,
// other than the one with the address except.
func (t *Transport) evict(except string) {
	oldest := ""
	for address, s := range t.dialed {
		if address == except || s.busy() {
			continue
		}
		if oldest == "" || s.used.Load() < t.dialed[oldest].used.Load() {
			oldest = address
		}
	}
	if oldest != "" {
		t.dialed[oldest].mux.Close()
		delete(t.dialed, oldest)
	}
}

// connect dials address, and dials again whenever an attempt exceeds the dialer's
// own timeout, until ctx ends. A new attempt sends a new SYN; the kernel
// would retransmit one that was lost, or that arrived before the peer was up,
// only after 1 s. The dialer's own timeout is reported as one of two errors.
// Attempts that may fail at once are not repeated, which would be a busy loop: after
// ETIMEDOUT, which the kernel reports, and after the deadline of ctx.
func connect(ctx context.Context, dial func(ctx context.Context, network, address string) (net.Conn, error), address string) (net.Conn, error) {
	for {
		conn, err := dial(ctx, "tcp", address)
		timedOut := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
		if err == nil || !timedOut || hasEnded(ctx) {
			return conn, err
		}
	}
}

// hasEnded reports whether ctx has ended or its deadline has passed. The timer that ends it at its
// deadline may be late, as it waits for the processor.
func hasEnded(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

// dial connects to a peer and exchanges hellos. It returns the session and the
// address of the peer's listener.
func (t *Transport) dial(ctx context.Context, address string) (*session, string, error) {
	raw, err := connect(ctx, keepalive.NewDialer(connectTimeout).DialContext, address)
	if err != nil {
		return nil, "", err
	}
	metered := newMeteredConn(raw, &t.bytes)
	stop := context.AfterFunc(ctx, func() { raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	var conn net.Conn = metered
	if t.tls != nil {
		conn = tls.Client(metered, t.tls)
	}
	s, err := newSession(coalescer.New(conn), metered, t.memory, yamux.Client)
	if err != nil {
		return nil, "", err
	}
	stream, err := s.mux.OpenStream()
	if err != nil {
		s.mux.Close()
		return nil, "", err
	}
	defer stream.Close()
	peerAddress, err := t.exchangeHellos(stream, s, conn, true)
	if err != nil {
		s.mux.Close()
		return nil, "", err
	}
	return s, peerAddress, nil
}

// exchangeHellos exchanges hellos on the first stream of a session, and returns
// the address on which the peer accepts sessions. The side that dialed sends its
// hello first. With TLS, each side checks that the peer's certificate carries the
// name in its hello; the accepting side sends its own hello only after that.
func (t *Transport) exchangeHellos(stream *yamux.Stream, s *session, conn net.Conn, dialer bool) (string, error) {
	if err := stream.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return "", err
	}
	if dialer {
		if err := t.sendHello(stream); err != nil {
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
	if !dialer {
		return h.Address, t.sendHello(stream)
	}
	return h.Address, nil
}

func (t *Transport) sendHello(stream *yamux.Stream) error {
	hello := &peerpb.Hello{
		Name:        t.self.Name,
		Centre:      t.self.Centre,
		Incarnation: t.self.Incarnation,
		Seat:        uint32(t.self.Seat + 1),
		Address:     t.address(),
	}
	if _, err := protodelim.MarshalTo(stream, hello); err != nil {
		return fmt.Errorf("sending hello: %w", err)
	}
	return nil
}
