package transport_test

// This file tests dialing a peer that accepts no connections at first.

import (
	"context"
	"net"
	"os"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/peer/peerpb"
	"github.com/jacinthstile/jacinthstile/internal/peer/transport"
)

// fullListener returns a listener whose accept queue is full, so that the kernel
// drops the SYN of each further connection, and the connections that fill it.
func fullListener(t *testing.T) (l net.Listener, fillers []net.Conn) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	if l, err = net.FileListener(file); err != nil {
		t.Fatal(err)
	}
	for {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return l, fillers
		}
		fillers = append(fillers, c)
	}
}

// TestLostSYNIsRetriedBeforeTheKernel guards against a call that takes 1 s longer
// because the first SYN was lost: the kernel retransmits it only after 1 s. The
// peer accepts connections 100 ms after the call, which must end within 700 ms.
func TestLostSYNIsRetriedBeforeTheKernel(t *testing.T) {
	g := NewWithT(t)
	l, fillers := fullListener(t)
	b, closeB := transport.New(identity.Identity{Name: "b", Incarnation: 2, Seat: -1}, nil, logr.Discard())
	t.Cleanup(closeB)
	b.Handle(method.Part, func(_ context.Context, _ identity.Identity, body []byte) ([]byte, error) { return body, nil })
	served := make(chan struct{})
	time.AfterFunc(100*time.Millisecond, func() {
		defer close(served)
		for _, c := range fillers {
			c.Close()
		}
		b.Serve(t.Context(), l)
	})
	t.Cleanup(func() {
		l.Close()
		<-served
	})
	a, closeA := transport.New(identity.Identity{Name: "a", Incarnation: 1, Seat: -1}, nil, logr.Discard())
	t.Cleanup(closeA)
	ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
	defer cancel()
	_, err := a.Call(ctx, l.Addr().String(), method.Part, &peerpb.Blob{}, &peerpb.Blob{})
	g.Expect(err).NotTo(HaveOccurred())
}

// TestWaitingForSilentPeersTakesLittleProcessorTime guards against calls that keep the processor busy while
// they wait for peers from which nothing comes.
func TestWaitingForSilentPeersTakesLittleProcessorTime(t *testing.T) {
	const peers, length = 8, 3 * time.Second
	g := NewWithT(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	a, closeA := transport.New(identity.Identity{Name: "a", Incarnation: 1, Seat: -1}, nil, logr.Discard())
	t.Cleanup(closeA)
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	var addresses []string
	for range peers {
		l, fillers := fullListener(t)
		defer l.Close()
		for _, c := range fillers {
			defer c.Close()
		}
		addresses = append(addresses, l.Addr().String())
	}
	before := processorTime(g)
	var calls sync.WaitGroup
	for _, address := range addresses {
		calls.Go(func() {
			for ctx.Err() == nil {
				callCtx, end := context.WithTimeout(ctx, 400*time.Millisecond)
				_, err := a.Call(callCtx, address, method.Part, &peerpb.Blob{}, &peerpb.Blob{})
				end()
				g.Expect(err).To(HaveOccurred())
			}
		})
	}
	calls.Wait()
	g.Expect(processorTime(g) - before).To(BeNumerically("<", length/20))
}

// processorTime returns the processor time that the process has used.
func processorTime(g *WithT) time.Duration {
	var u syscall.Rusage
	g.Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &u)).To(Succeed())
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
