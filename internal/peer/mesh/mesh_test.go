package mesh_test

// This file tests calls between two meshes over loopback.

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/kind"
	"github.com/jacinthstile/jacinthstile/internal/peer/mesh"
	"github.com/jacinthstile/jacinthstile/internal/peer/peerpb"
)

// start serves a mesh that echoes blobs, until the test ends.
func start(t *testing.T, name string, incarnation uint64, address string, security *tls.Config) (*mesh.Mesh, string) {
	t.Helper()
	m, closeMesh := mesh.New(identity.Identity{Name: name, Incarnation: incarnation, Seat: -1}, security, logr.Discard())
	m.Handle(kind.Part, func(_ context.Context, _ identity.Identity, body []byte) ([]byte, error) { return body, nil })
	m.Handle(kind.Status, func(context.Context, identity.Identity, []byte) ([]byte, error) {
		return nil, errors.New("no status here")
	})
	m.Handle(kind.Pulse, func(ctx context.Context, _ identity.Identity, _ []byte) ([]byte, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		m.Serve(ctx, l)
	}()
	t.Cleanup(func() {
		cancel()
		l.Close()
		closeMesh()
		<-served
	})
	return m, l.Addr().String()
}

func TestCallReturnsAnswerAndPeer(t *testing.T) {
	g := NewWithT(t)
	a, _ := start(t, "a", 1, "127.0.0.1:0", nil)
	_, address := start(t, "b", 2, "127.0.0.1:0", nil)
	var out peerpb.Blob
	who, err := a.Call(t.Context(), address, kind.Part, &peerpb.Blob{Data: []byte("x")}, &out)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(who.String()).To(Equal("b@2"))
	g.Expect(out.Data).To(Equal([]byte("x")))
	sent, received := a.Bytes()
	g.Expect(sent).To(BeNumerically(">", 0))
	g.Expect(received).To(BeNumerically(">", 0))
}

// TestAttendedCallsEndWithTheirCaller has a caller give up, and one whose
// session is cut. Only the context of an attended handler ends.
func TestAttendedCallsEndWithTheirCaller(t *testing.T) {
	g := NewWithT(t)
	a, _ := start(t, "a", 1, "127.0.0.1:0", nil)
	b, address := start(t, "b", 2, "127.0.0.1:0", nil)
	begun, ended := make(chan kind.Kind, 1), make(chan kind.Kind, 1)
	wait := func(k kind.Kind) mesh.Handler {
		return func(ctx context.Context, _ identity.Identity, _ []byte) ([]byte, error) {
			begun <- k
			<-ctx.Done()
			ended <- k
			return nil, ctx.Err()
		}
	}
	b.Attend(kind.Part, wait(kind.Part))
	b.Handle(kind.Pulse, wait(kind.Pulse))
	for _, leave := range []func(context.CancelFunc){
		func(cancel context.CancelFunc) { cancel() },
		func(context.CancelFunc) { a.Cut() },
	} {
		for _, c := range []struct {
			kind kind.Kind
			ends bool
		}{{kind.Part, true}, {kind.Pulse, false}} {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go a.Call(ctx, address, c.kind, &peerpb.Blob{}, &peerpb.Blob{})
			g.Eventually(begun, 5*time.Second).Should(Receive(Equal(c.kind)))
			g.Consistently(ended, 50*time.Millisecond).ShouldNot(Receive(), "its caller waits")
			leave(cancel)
			if c.ends {
				g.Eventually(ended, 5*time.Second).Should(Receive(Equal(c.kind)))
			} else {
				g.Consistently(ended, 200*time.Millisecond).ShouldNot(Receive(), "what it does may not be given up")
			}
		}
	}
}

// TestAttendedCallsAreAnswered checks that a handler which is slower than the
// limit of a message is not taken for one whose caller left.
func TestAttendedCallsAreAnswered(t *testing.T) {
	g := NewWithT(t)
	a, _ := start(t, "a", 1, "127.0.0.1:0", nil)
	b, address := start(t, "b", 2, "127.0.0.1:0", nil)
	b.Attend(kind.Part, func(ctx context.Context, _ identity.Identity, body []byte) ([]byte, error) {
		select {
		case <-time.After(6 * time.Second):
			return body, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 9*time.Second)
	defer cancel()
	var out peerpb.Blob
	_, err := a.Call(ctx, address, kind.Part, &peerpb.Blob{Data: []byte("x")}, &out)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.Data).To(Equal([]byte("x")))
}

func TestErrorsSayHowFarTheCallGot(t *testing.T) {
	a, _ := start(t, "a", 1, "127.0.0.1:0", nil)
	_, address := start(t, "b", 2, "127.0.0.1:0", nil)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := free.Addr().String()
	free.Close()

	t.Run("unreachable", func(t *testing.T) {
		g := NewWithT(t)
		_, err := a.Call(t.Context(), nobody, kind.Part, &peerpb.Blob{}, &peerpb.Blob{})
		var want *mesh.Unreachable
		g.Expect(errors.As(err, &want)).To(BeTrue(), "%v", err)
	})
	t.Run("remote", func(t *testing.T) {
		g := NewWithT(t)
		_, err := a.Call(t.Context(), address, kind.Status, &peerpb.Blob{}, &peerpb.Blob{})
		var want *mesh.Remote
		g.Expect(errors.As(err, &want)).To(BeTrue(), "%v", err)
		g.Expect(want.Text).To(Equal("no status here"))
	})
	t.Run("lost", func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := a.Call(ctx, address, kind.Pulse, &peerpb.Pulse{}, &peerpb.Pulse{})
		var want *mesh.Lost
		g.Expect(errors.As(err, &want)).To(BeTrue(), "%v", err)
	})
	t.Run("gone", func(t *testing.T) {
		g := NewWithT(t)
		err := a.CallExact(t.Context(), address, identity.Identity{Name: "b", Incarnation: 1}, kind.Part, &peerpb.Blob{}, &peerpb.Blob{})
		var want *mesh.Gone
		g.Expect(errors.As(err, &want)).To(BeTrue(), "%v", err)
		g.Expect(want.Got.Incarnation).To(Equal(uint64(2)))
	})
	t.Run("another name", func(t *testing.T) {
		g := NewWithT(t)
		err := a.CallExact(t.Context(), address, identity.Identity{Name: "c", Incarnation: 1}, kind.Part, &peerpb.Blob{}, &peerpb.Blob{})
		var want *mesh.Unreachable
		g.Expect(errors.As(err, &want)).To(BeTrue(), "%v", err)
	})
}

func TestCallReconnectsAfterACut(t *testing.T) {
	g := NewWithT(t)
	a, _ := start(t, "a", 1, "127.0.0.1:0", nil)
	b, address := start(t, "b", 2, "127.0.0.1:0", nil)
	call := func() error {
		_, err := a.Call(t.Context(), address, kind.Part, &peerpb.Blob{}, &peerpb.Blob{})
		return err
	}
	g.Expect(call()).To(Succeed())
	b.Cut()
	g.Eventually(call, "2s", "10ms").Should(Succeed())
}

// TestSessionIsUsedFromBothEnds calls back the peer that opened a session.
func TestSessionIsUsedFromBothEnds(t *testing.T) {
	g := NewWithT(t)
	a, atA := start(t, "a", 1, "127.0.0.1:0", nil)
	b, atB := start(t, "b", 2, "127.0.0.1:0", nil)
	seen := make(chan string, 2)
	a.Observe(observer{seen})
	_, err := a.Call(t.Context(), atB, kind.Part, &peerpb.Blob{}, &peerpb.Blob{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(<-seen).To(Equal("b@2 at " + atB))
	who, err := b.Call(t.Context(), atA, kind.Part, &peerpb.Blob{}, &peerpb.Blob{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(who.String()).To(Equal("a@1"))
	g.Expect(seen).NotTo(Receive(), "b opened no session of its own")
}

type observer struct{ seen chan string }

func (o observer) PeerConnected(peer identity.Identity, address string) {
	o.seen <- peer.String() + " at " + address
}

func (o observer) DialFailed(string) {}

// TestHalfOpenSessionIsReplaced freezes what stands between two meshes without
// closing it, as a dead machine or a dropped route does.
func TestHalfOpenSessionIsReplaced(t *testing.T) {
	g := NewWithT(t)
	a, _ := start(t, "a", 1, "127.0.0.1:0", nil)
	_, address := start(t, "b", 2, "127.0.0.1:0", nil)
	relay, freeze := newRelay(t, address)
	call := func(wait time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), wait)
		defer cancel()
		_, err := a.Call(ctx, relay, kind.Part, &peerpb.Blob{}, &peerpb.Blob{})
		return err
	}
	g.Expect(call(2 * time.Second)).To(Succeed())
	freeze()
	g.Expect(call(2100 * time.Millisecond)).NotTo(Succeed())
	g.Expect(call(2 * time.Second)).To(Succeed())
}

// newRelay copies bytes between its callers and target. The function that it
// returns stops the copying on the connections that stand then.
func newRelay(t *testing.T, target string) (string, func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	frozen := make(chan struct{})
	first := true
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				in.Close()
				continue
			}
			t.Cleanup(func() { in.Close(); out.Close() })
			stop := make(chan struct{})
			if first {
				stop, first = frozen, false
			}
			go pipe(out, in, stop)
			go pipe(in, out, stop)
		}
	}()
	return l.Addr().String(), func() { close(frozen) }
}

func pipe(to io.Writer, from io.Reader, stop <-chan struct{}) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-stop:
			continue
		default:
			to.Write(buffer[:n])
		}
	}
}

func TestPulseMessageIsSmall(t *testing.T) {
	g := NewWithT(t)
	size := proto.Size(&peerpb.Pulse{Epoch: 7, Version: 1 << 40})
	g.Expect(size).To(BeNumerically("<=", 40))
}
