// Package mesh carries calls between daemons: one yamux session for each pair
// that talks, one stream for each call, protobuf messages on the stream.
package mesh

// This file defines Mesh and its calling side.

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/kind"
	"github.com/jacinthstile/jacinthstile/internal/peer/peerpb"
)

// Limits of sessions and messages.
const (
	dialTimeout  = 500 * time.Millisecond
	helloTimeout = time.Second
	callTimeout  = 5 * time.Second
	mostMessage  = 9 << 20 // bytes; a plain service's longest reply fits
)

// Handler answers a peer call. Its error reaches the peer as text.
type Handler func(ctx context.Context, from identity.Identity, body []byte) ([]byte, error)

// Mesh holds the sessions of one daemon.
type Mesh struct {
	self identity.Identity
	tls  *tls.Config // nil for plain TCP
	log  logr.Logger
	busy atomic.Int64 // calls of peers that are being answered

	mu       sync.Mutex
	handlers map[kind.Kind]Handler
	dialed   map[string]*session // by address
	accepted map[*session]struct{}
	closed   bool
}

type session struct {
	mux  *yamux.Session
	peer identity.Identity
}

// New returns a mesh without sessions, and a function that closes them all.
func New(self identity.Identity, config *tls.Config, log logr.Logger) (*Mesh, func()) {
	m := &Mesh{
		self:     self,
		tls:      config,
		log:      log,
		handlers: make(map[kind.Kind]Handler),
		dialed:   make(map[string]*session),
		accepted: make(map[*session]struct{}),
	}
	return m, m.close
}

// Self returns the identity of this daemon.
func (m *Mesh) Self() identity.Identity { return m.self }

// Handle registers the handler of a kind of call. It is called before Serve.
func (m *Mesh) Handle(k kind.Kind, h Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[k] = h
}

// Call sends one call to the daemon at address and decodes its answer into out.
// It returns who answered. A session is opened where none stands. A context
// without a deadline gets a short one.
func (m *Mesh) Call(ctx context.Context, address string, k kind.Kind, in, out proto.Message) (identity.Identity, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	s, err := m.session(ctx, address)
	if err != nil {
		return identity.Identity{}, fmt.Errorf("calling %s at %s: %w", k, address, err)
	}
	if err := s.call(ctx, k, in, out); err != nil {
		return s.peer, fmt.Errorf("calling %s at %s: %w", k, address, err)
	}
	return s.peer, nil
}

func (m *Mesh) session(ctx context.Context, address string) (*session, error) {
	m.mu.Lock()
	s := m.dialed[address]
	m.mu.Unlock()
	if s != nil && !s.mux.IsClosed() {
		return s, nil
	}
	s, err := m.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return m.keep(address, s)
}

// keep stores a new session, or returns the one that another call stored meanwhile.
func (m *Mesh) keep(address string, s *session) (*session, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		s.mux.Close()
		return nil, net.ErrClosed
	}
	if old := m.dialed[address]; old != nil && !old.mux.IsClosed() {
		s.mux.Close()
		return old, nil
	}
	m.dialed[address] = s
	return s, nil
}

func (m *Mesh) dial(ctx context.Context, address string) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := m.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	mux, err := yamux.Client(conn, muxConfig())
	if err != nil {
		conn.Close()
		return nil, err
	}
	stream, err := mux.OpenStream()
	if err != nil {
		mux.Close()
		return nil, err
	}
	defer stream.Close()
	peer, err := m.greet(stream)
	if err != nil {
		mux.Close()
		return nil, err
	}
	return &session{mux: mux, peer: peer}, nil
}

func (m *Mesh) connect(ctx context.Context, address string) (net.Conn, error) {
	if m.tls == nil {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{Config: m.tls}).DialContext(ctx, "tcp", address)
}

// greet exchanges hellos on the first stream of a session.
func (m *Mesh) greet(stream *yamux.Stream) (identity.Identity, error) {
	if err := stream.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return identity.Identity{}, err
	}
	own := &peerpb.Hello{
		Name:        m.self.Name,
		Centre:      m.self.Centre,
		Incarnation: m.self.Incarnation,
		Seat:        uint32(m.self.Seat + 1),
	}
	if _, err := protodelim.MarshalTo(stream, own); err != nil {
		return identity.Identity{}, fmt.Errorf("sending hello: %w", err)
	}
	var h peerpb.Hello
	if err := read(stream, &h); err != nil {
		return identity.Identity{}, fmt.Errorf("reading hello: %w", err)
	}
	return identity.Identity{
		Name:        h.Name,
		Centre:      h.Centre,
		Incarnation: h.Incarnation,
		Seat:        int(h.Seat) - 1,
	}, nil
}

func (s *session) call(ctx context.Context, k kind.Kind, in, out proto.Message) error {
	body, err := proto.Marshal(in)
	if err != nil {
		return err
	}
	stream, err := s.mux.OpenStream()
	if err != nil {
		return err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := protodelim.MarshalTo(stream, &peerpb.Request{Kind: uint32(k), Body: body}); err != nil {
		return err
	}
	var resp peerpb.Response
	if err := read(stream, &resp); err != nil {
		return err
	}
	if resp.Error != "" {
		return errors.New(resp.Error)
	}
	return proto.Unmarshal(resp.Body, out)
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

func (m *Mesh) close() {
	m.mu.Lock()
	m.closed = true
	var all []*session
	for _, s := range m.dialed {
		all = append(all, s)
	}
	for s := range m.accepted {
		all = append(all, s)
	}
	m.mu.Unlock()
	for _, s := range all {
		s.mux.Close()
	}
}

// Cut closes all sessions; later calls open new ones.
func (m *Mesh) Cut() {
	m.close()
	m.mu.Lock()
	m.closed = false
	m.mu.Unlock()
}
