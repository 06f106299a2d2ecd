package transport_test

// This file measures the cost of a session and of a call by the number of peers.

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/peer/peerpb"
	"github.com/jacinthstile/jacinthstile/internal/peer/transport"
)

// BenchmarkCall sends pulse calls from a number of peers to one instance. The
// time is the sum of both ends; B/session is the live heap per session, also of
// both ends; wire-B/op is the traffic per call in both directions.
func BenchmarkCall(b *testing.B) {
	for _, n := range []int{10, 100, 420} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			served, closeServed := transport.New(identity.Identity{Name: "served", Incarnation: 1, Seat: -1}, nil, logr.Discard())
			defer closeServed()
			defer l.Close()
			served.Handle(method.Pulse, func(_ context.Context, _ identity.Identity, body []byte) ([]byte, error) { return body, nil })
			go served.Serve(b.Context(), l)
			before := liveHeap()
			peers := make([]*transport.Transport, n)
			for i := range peers {
				tr, closeTransport := transport.New(identity.Identity{Name: fmt.Sprintf("peer-%d", i), Incarnation: 1, Seat: -1}, nil, logr.Discard())
				defer closeTransport()
				peers[i] = tr
				pulse(b, tr, l.Addr().String())
			}
			heapPerSession := float64(liveHeap()-before) / float64(n)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				pulse(b, peers[i%n], l.Addr().String())
				i++
			}
			sent, received := served.Bytes()
			b.ReportMetric(heapPerSession, "B/session")
			b.ReportMetric(float64(sent+received)/float64(b.N+n), "wire-B/op")
		})
	}
}

func pulse(b *testing.B, tr *transport.Transport, address string) {
	var out peerpb.Pulse
	if _, err := tr.Call(b.Context(), address, method.Pulse, &peerpb.Pulse{Epoch: 1, Version: 7}, &out); err != nil {
		b.Fatal(err)
	}
}

// liveHeap returns the bytes of reachable heap objects.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
