// Package mesh carries calls between daemons: one yamux session for each pair
// that talks, one stream for each call, protobuf messages on the stream.
// Sessions are opened on demand, used from both ends, and closed when idle.
package mesh

// This file defines Mesh and its calling side.

import (
	"context"
	"crypto/tls"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/singleflight"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/kind"
)

// Limits of sessions and messages.
const (
	dialTimeout = time.Second // TLS and hellos included
	// connectTimeout is of one try to connect: above any round trip on one
	// continent, far below the 1 s after which the kernel tries again.
	connectTimeout = 250 * time.Millisecond
	helloTimeout   = time.Second
	callTimeout    = 5 * time.Second // of a call whose context has no deadline
	silentTimeout  = 2 * time.Second // a call this long without a byte from the peer closes the session
	idleTimeout    = time.Minute     // of a session without calls
	deafTimeout    = 3 * time.Minute // of an accepted session without a byte
	sweepEvery     = 15 * time.Second
	mostMessage    = 9 << 20 // bytes; a plain service's longest reply fits
	mostCalls      = 200     // under way on one session
	mostHandled    = 2048    // under way over all accepted sessions
	mostDialed     = 64      // sessions
	mostAccepted   = 512     // sessions
)

// Handler answers a peer call. Its error reaches the peer as text. Its context
// ends with the mesh; see also Attend.
type Handler func(ctx context.Context, from identity.Identity, body []byte) ([]byte, error)

// Observer learns what the mesh sees of peers. Its methods must return soon.
type Observer interface {
	// Heard is called with each peer that said hello, and the address on which
	// it accepts sessions, which is empty where it does not accept yet.
	PeerConnected(peer identity.Identity, address string)
	// Missed is called when no session could be opened to an address.
	DialFailed(address string)
}

// Mesh holds the sessions of one daemon.
type Mesh struct {
	self    identity.Identity
	tls     *tls.Config // nil for plain TCP
	log     logr.Logger
	bytes   traffic
	dials   singleflight.Group
	handled chan struct{} // one for each call being handled

	mu       sync.Mutex
	handlers map[kind.Kind]Handler
	attended map[kind.Kind]bool // whose handlers end when their caller gives up
	watcher  Observer
	own      string              // the address that this mesh accepts on
	dialed   map[string]*session // by address
	accepted map[*session]struct{}
	inbound  map[string]*session // accepted ones by the address that the peer accepts on
	closed   bool
	ctx      context.Context // of the handlers on dialed sessions
}

// New returns a mesh without sessions, and a function that closes them all.
// The TLS configuration serves both sides of a session, see package credential;
// nil gives plain TCP.
func New(self identity.Identity, config *tls.Config, log logr.Logger) (*Mesh, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mesh{
		ctx:      ctx,
		inbound:  make(map[string]*session),
		self:     self,
		tls:      config,
		log:      log,
		handled:  make(chan struct{}, mostHandled),
		handlers: make(map[kind.Kind]Handler),
		attended: make(map[kind.Kind]bool),
		watcher:  ignorer{},
		dialed:   make(map[string]*session),
		accepted: make(map[*session]struct{}),
	}
	return m, func() {
		cancel()
		m.close()
	}
}

// Self returns the identity of this daemon.
func (m *Mesh) Self() identity.Identity { return m.self }

// Bytes returns how many bytes were sent and received over all sessions.
func (m *Mesh) Bytes() (sent, received int64) {
	return m.bytes.sent.Load(), m.bytes.received.Load()
}

// Handle registers the handler of a kind of call. It is called before Serve.
func (m *Mesh) Handle(k kind.Kind, h Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[k] = h
}

// Attend registers a handler like Handle, whose context also ends when the
// caller gives the call up or its session ends. It is for work of which nobody
// else makes use.
func (m *Mesh) Attend(k kind.Kind, h Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[k], m.attended[k] = h, true
}

// Observe sets the observer. It is called before Serve.
func (m *Mesh) Observe(o Observer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watcher = o
}

func (m *Mesh) observer() Observer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watcher
}

func (m *Mesh) address() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.own
}

// Call sends one call to the daemon at address and decodes its answer into out.
// It returns who answered. A session is opened where none stands. The error is
// an *Unreachable, a *Lost or a *Remote. A context without a deadline gets one
// of 5 s.
func (m *Mesh) Call(ctx context.Context, address string, k kind.Kind, in, out proto.Message) (identity.Identity, error) {
	return m.call(ctx, address, nil, k, in, out)
}

// CallExact is like Call, but sends nothing unless want's very incarnation
// answers at address. It returns a *Gone where another incarnation of that name
// does, and an *Unreachable where another name does.
func (m *Mesh) CallExact(ctx context.Context, address string, want identity.Identity, k kind.Kind, in, out proto.Message) error {
	_, err := m.call(ctx, address, &want, k, in, out)
	return err
}

func (m *Mesh) call(ctx context.Context, address string, want *identity.Identity, k kind.Kind, in, out proto.Message) (identity.Identity, error) {
	body, err := proto.Marshal(in)
	if err != nil {
		return identity.Identity{}, &Unreachable{Address: address, Cause: err}
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	s, err := m.session(ctx, address)
	if err != nil {
		return identity.Identity{}, &Unreachable{Address: address, Cause: err}
	}
	if want != nil {
		if err := checkPeer(address, s.peer, *want); err != nil {
			return s.peer, err
		}
	}
	return s.peer, s.call(ctx, address, k, body, out)
}

func checkPeer(address string, got, want identity.Identity) error {
	if got.Name != want.Name {
		return &Unreachable{Address: address, Cause: errors.New("got peer " + got.Name + ", want " + want.Name)}
	}
	if got.Incarnation != want.Incarnation {
		return &Gone{Want: want, Got: got}
	}
	return nil
}

func (m *Mesh) close() {
	m.mu.Lock()
	m.closed = true
	all := make([]*session, 0, len(m.dialed)+len(m.accepted))
	for _, s := range m.dialed {
		all = append(all, s)
	}
	for s := range m.accepted {
		all = append(all, s)
	}
	clear(m.dialed)
	clear(m.inbound)
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

// ignorer is the observer of a mesh that has none.
type ignorer struct{}

// Heard does nothing.
func (ignorer) PeerConnected(identity.Identity, string) {}

// Missed does nothing.
func (ignorer) DialFailed(string) {}
