package transport

// This file accepts sessions and handles the calls of peers.

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/jacinthstile/jacinthstile/internal/base/contain"
	"github.com/jacinthstile/jacinthstile/internal/base/keepalive"
	"github.com/jacinthstile/jacinthstile/internal/peer/coalescer"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/peer/peerpb"
)

const acceptRetryDelay = 50 * time.Millisecond // wait after a failed accept, so that a lasting failure causes no busy loop

// Serve accepts sessions and handles their calls until the listener is closed;
// then it returns nil. The contexts of the handlers on accepted sessions end when
// ctx ends or Serve returns. Serve also closes idle and dead sessions meanwhile.
func (t *Transport) Serve(ctx context.Context, l net.Listener) error {
	t.mu.Lock()
	t.listenAddress = l.Addr().String()
	t.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go t.runSweeper(ctx)
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			t.log.Error(err, "accepting a peer connection failed; retrying")
			time.Sleep(acceptRetryDelay)
			continue
		}
		if t.inbound.Add(1) > maxAcceptedSessions { // before the connection costs more than its descriptor
			t.inbound.Add(-1)
			conn.Close()
			t.log.V(1).Info("peer session rejected", "remote", conn.RemoteAddr().String(), "reason", "too many connections")
			continue
		}
		go contain.Do(t.log, "session of a peer", func() {
			defer t.inbound.Add(-1)
			t.accept(ctx, conn)
		})
	}
}

func (t *Transport) accept(ctx context.Context, raw net.Conn) {
	if err := keepalive.Configure(raw); err != nil {
		t.log.Error(err, "setting keep-alive probes on an accepted peer connection failed; a lost peer is detected only after 3 min without a byte", "remote", raw.RemoteAddr().String())
	}
	metered := newMeteredConn(raw, &t.bytes)
	var conn net.Conn = metered
	if t.tls != nil {
		conn = tls.Server(metered, t.tls)
	}
	s, err := newSession(coalescer.New(conn), metered, t.memory, yamux.Server)
	if err != nil {
		return
	}
	if !t.addAccepted(s) {
		s.mux.Close()
		t.log.V(1).Info("peer session rejected", "remote", raw.RemoteAddr().String(), "reason", "too many sessions")
		return
	}
	defer t.removeAccepted(s)
	peerAddress, err := t.acceptHello(s, conn)
	if err != nil {
		t.log.V(1).Info("peer session rejected", "remote", raw.RemoteAddr().String(), "reason", err.Error())
		return
	}
	t.observer().PeerConnected(s.peer, peerAddress)
	t.addInbound(peerAddress, s)
	defer t.removeInbound(peerAddress, s)
	t.serveCalls(ctx, s)
}

// addInbound lets this instance's calls to a peer use a session that the peer
// opened. Address is that of the peer's listener; if it is empty, the peer does
// not accept sessions and addInbound does nothing.
func (t *Transport) addInbound(address string, s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if address != "" {
		t.acceptedByAddress[address] = s
	}
}

func (t *Transport) removeInbound(address string, s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.acceptedByAddress[address] == s {
		delete(t.acceptedByAddress, address)
	}
}

// serveCalls handles the calls of a peer until the session ends.
func (t *Transport) serveCalls(ctx context.Context, s *session) {
	defer s.streams.close()
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			return
		}
		s.touch()
		s.streams.accept(stream.StreamID())
		s.inboundCalls.Add(1)
		go func() {
			defer s.inboundCalls.Add(-1)
			defer s.streams.end(stream.StreamID())
			contain.Do(t.log, "call of a peer", func() { t.serveCall(ctx, s, stream) })
		}()
	}
}

// ActiveCalls returns the number of calls of peers that are being handled.
func (t *Transport) ActiveCalls() int { return len(t.handlerSlots) }

// acceptHello exchanges hellos on a session that a peer opened, and closes the
// session if the first stream or the hello does not arrive within helloTimeout.
// It returns the address of the peer's listener.
func (t *Transport) acceptHello(s *session, conn net.Conn) (string, error) {
	timer := time.AfterFunc(helloTimeout, func() { s.mux.Close() })
	defer timer.Stop()
	first, err := s.mux.AcceptStream()
	if err != nil {
		return "", err
	}
	defer first.Close()
	s.streams.accept(first.StreamID())
	defer s.streams.end(first.StreamID())
	return t.exchangeHellos(first, s, conn, false)
}

// addAccepted registers an accepted session, and reports false if the Transport
// is closed or has too many.
func (t *Transport) addAccepted(s *session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || len(t.accepted) >= maxAcceptedSessions {
		return false
	}
	t.accepted[s] = struct{}{}
	return true
}

func (t *Transport) removeAccepted(s *session) {
	s.mux.Close()
	s.streams.close()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.accepted, s)
}

func (t *Transport) serveCall(ctx context.Context, s *session, stream *yamux.Stream) {
	defer awaitEnd(stream)
	defer stream.Close()
	if err := stream.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return
	}
	var req peerpb.Request
	if err := read(stream, &req); err != nil {
		return
	}
	if t.isCancellable(method.Method(req.Kind)) {
		var stop context.CancelFunc
		ctx, stop = withCallerCancel(ctx, stream)
		defer stop()
	}
	resp := t.limitAndDispatch(ctx, s.peer, &req)
	if err := stream.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return
	}
	if _, err := protodelim.MarshalTo(stream, resp); err != nil {
		t.log.V(1).Info("sending the response of a call to a peer failed", "peer", s.peer.String(), "reason", err.Error())
	}
}

// awaitEnd waits until the peer has ended a stream that this side has closed, since it takes memory until then.
// yamux ends it after StreamCloseTimeout.
func awaitEnd(stream *yamux.Stream) {
	if stream.SetReadDeadline(time.Time{}) == nil {
		io.Copy(io.Discard, stream) // any error is an end
	}
}

func (t *Transport) isCancellable(m method.Method) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cancellable[m]
}

// withCallerCancel returns a context that ends when the caller closes the stream
// of its call or the session ends. It reads from the stream to notice this, which
// is possible because callers send nothing after their request.
func withCallerCancel(ctx context.Context, stream *yamux.Stream) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		var one [1]byte
		for {
			_, err := stream.Read(one[:])
			if !errors.Is(err, yamux.ErrTimeout) {
				return
			}
			// The read deadline for the request has expired; that does not mean
			// that the caller has closed the stream.
			if stream.SetReadDeadline(time.Time{}) != nil {
				return
			}
		}
	}()
	return ctx, cancel
}

// limitAndDispatch handles one call, or rejects it if maxHandledCalls calls are
// being handled already.
func (t *Transport) limitAndDispatch(ctx context.Context, from identity.Identity, req *peerpb.Request) *peerpb.Response {
	select {
	case t.handlerSlots <- struct{}{}:
		defer func() { <-t.handlerSlots }()
	default:
		return &peerpb.Response{Error: "too many calls are being handled; this one was not"}
	}
	var body []byte
	err := contain.Run(t.log, "handler of a peer's call", func() (err error) {
		body, err = t.dispatch(ctx, from, method.Method(req.Kind), req.Body)
		return err
	})
	if err != nil {
		return &peerpb.Response{Error: strings.ToValidUTF8(err.Error(), "\uFFFD")}
	}
	return &peerpb.Response{Body: body}
}

func (t *Transport) dispatch(ctx context.Context, from identity.Identity, m method.Method, body []byte) ([]byte, error) {
	t.mu.Lock()
	h := t.handlers[m]
	t.mu.Unlock()
	if h == nil {
		return nil, fmt.Errorf("handling peer call: got kind %s, want one that is known", m)
	}
	return h(ctx, from, body)
}

// runSweeper calls sweep periodically until ctx ends.
func (t *Transport) runSweeper(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			t.sweep(now)
		case <-ctx.Done():
			return
		}
	}
}

// sweep closes dialed sessions that had no call for idleTimeout, and accepted
// sessions whose peer sent nothing for receiveTimeout.
func (t *Transport) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, s := range t.dialed {
		idle := !s.busy() && now.Sub(s.lastUsed()) > idleTimeout
		if idle || s.mux.IsClosed() {
			s.mux.Close()
			delete(t.dialed, address)
		}
	}
	for s := range t.accepted {
		if now.Sub(s.conn.lastReceived()) > receiveTimeout {
			s.mux.Close()
		}
	}
}
