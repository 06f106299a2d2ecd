package transport_test

// This file fuzzes the bytes that a peer sends.

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/peer/peerpb"
	"github.com/jacinthstile/jacinthstile/internal/peer/transport"
)

// FuzzAccept checks that a Transport still serves other peers after a
// connection sent arbitrary bytes.
func FuzzAccept(f *testing.F) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	tr, closeTransport := transport.New(identity.Identity{Name: "served", Incarnation: 1, Seat: -1}, nil, logr.Discard())
	tr.Handle(method.Pulse, func(_ context.Context, _ identity.Identity, body []byte) ([]byte, error) { return body, nil })
	served := make(chan struct{})
	go func() {
		defer close(served)
		tr.Serve(context.Background(), l)
	}()
	client, closeClient := transport.New(identity.Identity{Name: "asker", Incarnation: 2, Seat: -1}, nil, logr.Discard())
	f.Cleanup(func() {
		closeClient()
		l.Close()
		closeTransport()
		<-served
	})
	// frame returns a yamux header that opens stream 1 with n bytes of data.
	frame := func(n byte) []byte { return []byte{0, 0, 0, 1, 0, 0, 0, 1, 0, 0, 0, n} }
	f.Add(append(frame(3), 2, 10, 0))
	f.Add(append(frame(5), 4, 0xff, 0xff, 0xff, 0xff))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0, 2, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Add([]byte{0, 0, 0, 1, 0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(time.Second))
		conn.Write(data)
		conn.Close()
		var out peerpb.Pulse
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if _, err := client.Call(ctx, l.Addr().String(), method.Pulse, &peerpb.Pulse{Version: 3}, &out); err != nil || out.Version != 3 {
			t.Errorf("calling after %x: got version %d, %v", data, out.Version, err)
		}
	})
}
