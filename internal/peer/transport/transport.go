// Package transport provides remote procedure calls between instances over TCP
// or TLS. Two instances that call each other share one yamux session, and each
// call is one stream with length-prefixed protobuf messages. Sessions are
// opened on demand, used for calls from both ends, and closed when idle. The
// errors of a call tell whether the peer may have handled it, which decides
// whether a call that is not idempotent may be repeated.
package transport

// This file defines Transport and its calling side.

import (
	"context"
	"crypto/tls"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/singleflight"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthstile/jacinthstile/internal/peer/encoding"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
)

// Limits of sessions and messages.
const (
	dialTimeout = time.Second // for opening a session, including TLS and the hellos
	// connectTimeout limits one attempt to connect. It is longer than any round
	// trip on one continent, and far shorter than the 1 s after which the kernel
	// retransmits a lost SYN.
	connectTimeout      = 250 * time.Millisecond
	helloTimeout        = time.Second
	callTimeout         = 5 * time.Second // of a call whose context has no deadline, and of reading a request or writing a response
	unresponsiveTimeout = 2 * time.Second // a failed call that took at least this long without a byte from the peer closes the session
	idleTimeout         = time.Minute     // a dialed session without calls is closed after this time
	receiveTimeout      = 3 * time.Minute // an accepted session from which no byte was received is closed after this time
	sweepInterval       = 15 * time.Second
	maxMessageBytes     = 9 << 20 // bytes; fits the longest reply of a plain service, 8 MiB
	maxSessionCalls     = 200     // calls of this instance in progress on one session
	maxHandledCalls     = 2048    // calls of peers handled at the same time over all sessions
	maxDialedSessions   = 64
	maxAcceptedSessions = 512
	maxCallBytes        = 20 << 20 // that calls of peers may take until they have ended; one of the longest beside others, or maxHandledCalls short ones
	streamBytes         = 8 << 10  // memory of a call beside its message
	maxSessionStreams   = 1024     // that a peer has open on one session
	maxPings            = 1000     // of a peer on one session, beside pingRate
	pingRate            = 100      // pings in a second
)

// Handler handles a call of a peer and returns the encoded response. Its error
// is sent to the peer as text. Its context ends when the Transport is closed or
// Serve returns; see also HandleCancellable. Handlers run concurrently.
type Handler func(ctx context.Context, from identity.Identity, body []byte) ([]byte, error)

// Observer is notified of the outcome of opening sessions. Its methods must
// return quickly.
type Observer interface {
	// PeerConnected is called when a session was opened by either side. Address
	// is where the peer accepts sessions; it is empty if the peer does not
	// accept yet.
	PeerConnected(peer identity.Identity, address string)
	// DialFailed is called when no session could be opened to an address.
	DialFailed(address string)
}

// Transport holds the sessions of one instance and makes and handles calls on
// them. It is safe for concurrent use.
type Transport struct {
	self         identity.Identity
	tls          *tls.Config // nil for plain TCP
	log          logr.Logger
	bytes        traffic
	inbound      atomic.Int64 // connections that were accepted and are open
	dialGroup    singleflight.Group
	handlerSlots chan struct{} // holds one value for each call being handled
	memory       *memory       // of the calls of peers

	mu                sync.Mutex
	handlers          map[method.Method]Handler
	cancellable       map[method.Method]bool // whether the handler's context ends when the caller gives up
	currentObserver   Observer
	listenAddress     string              // of this instance's listener; empty before Serve
	dialed            map[string]*session // by the peer's address
	accepted          map[*session]struct{}
	acceptedByAddress map[string]*session // accepted sessions by the address of the peer's listener
	closed            bool
	ctx               context.Context // of the handlers on dialed sessions
}

// New returns a Transport without sessions, and a function that closes it with
// all its sessions. The TLS configuration is used for both sides of a session,
// see package credential; nil selects plain TCP.
func New(self identity.Identity, config *tls.Config, log logr.Logger) (*Transport, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		ctx:               ctx,
		acceptedByAddress: make(map[string]*session),
		self:              self,
		tls:               config,
		log:               log,
		handlerSlots:      make(chan struct{}, maxHandledCalls),
		memory:            newMemory(maxCallBytes, log),
		handlers:          make(map[method.Method]Handler),
		cancellable:       make(map[method.Method]bool),
		currentObserver:   noopObserver{},
		dialed:            make(map[string]*session),
		accepted:          make(map[*session]struct{}),
	}
	return t, func() {
		cancel()
		t.close()
	}
}

// Self returns the identity of this instance.
func (t *Transport) Self() identity.Identity { return t.self }

// Bytes returns the number of bytes sent and received over all sessions since the
// start.
func (t *Transport) Bytes() (sent, received int64) {
	return t.bytes.sent.Load(), t.bytes.received.Load()
}

// Handle registers the handler of a method. It must be called before Serve.
func (t *Transport) Handle(m method.Method, h Handler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handlers[m] = h
}

// HandleCancellable registers a handler like Handle, but the context of the
// handler also ends when the caller gives up the call or the session ends. It
// is for work whose result is of use to that caller only.
func (t *Transport) HandleCancellable(m method.Method, h Handler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handlers[m], t.cancellable[m] = h, true
}

// SetObserver sets the observer. It must be called before Serve.
func (t *Transport) SetObserver(o Observer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.currentObserver = o
}

func (t *Transport) observer() Observer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.currentObserver
}

func (t *Transport) address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listenAddress
}

// Call sends one call to the instance at address and decodes the response into
// out. It returns the identity of the peer at that address, and opens a session
// if there is none. The error is an *UnreachableError, a *ResponseLostError or
// a *RemoteError. If ctx has no deadline, the call times out after 5 s.
func (t *Transport) Call(ctx context.Context, address string, m method.Method, in, out proto.Message) (identity.Identity, error) {
	return t.call(ctx, address, nil, m, in, out)
}

// CallIncarnation is like Call, but sends the call only if the peer at address
// has the name and the incarnation of want. It returns a *RestartedError if the
// incarnation differs, and an *UnreachableError if the name differs.
func (t *Transport) CallIncarnation(ctx context.Context, address string, want identity.Identity, m method.Method, in, out proto.Message) error {
	_, err := t.call(ctx, address, &want, m, in, out)
	return err
}

func (t *Transport) call(ctx context.Context, address string, want *identity.Identity, m method.Method, in, out proto.Message) (identity.Identity, error) {
	body, err := encoding.Marshal(in)
	if err != nil {
		return identity.Identity{}, &UnreachableError{Address: address, Cause: err}
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	s, err := t.session(ctx, address)
	if err != nil {
		return identity.Identity{}, &UnreachableError{Address: address, Cause: err}
	}
	if want != nil {
		if err := checkPeer(address, s.peer, *want); err != nil {
			return s.peer, err
		}
	}
	return s.peer, s.call(ctx, address, m, body, out)
}

func checkPeer(address string, got, want identity.Identity) error {
	if got.Name != want.Name {
		return &UnreachableError{Address: address, Cause: errors.New("got peer " + got.Name + ", want " + want.Name)}
	}
	if got.Incarnation != want.Incarnation {
		return &RestartedError{Want: want, Got: got}
	}
	return nil
}

func (t *Transport) close() {
	t.mu.Lock()
	t.closed = true
	all := make([]*session, 0, len(t.dialed)+len(t.accepted))
	for _, s := range t.dialed {
		all = append(all, s)
	}
	for s := range t.accepted {
		all = append(all, s)
	}
	clear(t.dialed)
	clear(t.acceptedByAddress)
	t.mu.Unlock()
	for _, s := range all {
		s.mux.Close()
	}
}

// CloseSessions closes all sessions. Calls in progress fail; later calls open
// new sessions.
func (t *Transport) CloseSessions() {
	t.close()
	t.mu.Lock()
	t.closed = false
	t.mu.Unlock()
}

// noopObserver is the observer until SetObserver is called.
type noopObserver struct{}

// PeerConnected does nothing.
func (noopObserver) PeerConnected(identity.Identity, string) {}

// DialFailed does nothing.
func (noopObserver) DialFailed(string) {}
