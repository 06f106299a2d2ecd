package limiter_test

// This file measures the bytes on the wire for borrowing one unit.

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/limit/assignment"
	"github.com/jacinthstile/jacinthstile/internal/limit/limiter"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/peer/transport"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
)

// BenchmarkLoan borrows a unit over loopback and returns it. The metric counts
// the bytes that the borrower sends and receives.
func BenchmarkLoan(b *testing.B) {
	s := table(1, 2, 1, 0)
	owner := assignment.SeatOf("acme", 0, 2)
	lender, borrower := listen(b, owner), listen(b, 1-owner)
	tables := holder.New()
	tables.Activate(s)
	find := func(seat int) (string, bool) {
		if seat == owner {
			return lender.address, true
		}
		return borrower.address, true
	}
	for _, p := range []*peer{lender, borrower} {
		p.limiter = limiter.New(p.transport.Self(), 0, tables, p.transport, find, logr.Discard())
		p.transport.Handle(method.LimitTake, p.limiter.HandleTake)
		p.transport.Handle(method.LimitGive, p.limiter.HandleGive)
	}
	row := s.Account("acme")
	sentBefore, receivedBefore := borrower.transport.Bytes()
	b.ResetTimer()
	for range b.N {
		release, err := borrower.limiter.Acquire(context.Background(), row, time.Now().Add(deadline))
		if err != nil {
			b.Fatal(err)
		}
		release()
		borrower.limiter.Wait()
	}
	sent, received := borrower.transport.Bytes()
	b.ReportMetric(float64(sent-sentBefore+received-receivedBefore)/float64(b.N), "wire-bytes/op")
}

type peer struct {
	transport *transport.Transport
	address   string
	limiter   *limiter.Limiter
}

func listen(b *testing.B, seat int) *peer {
	tr, closeTransport := transport.New(identity.Identity{Name: "entry", Incarnation: 1, Seat: seat}, nil, logr.Discard())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go tr.Serve(context.Background(), l)
	b.Cleanup(func() {
		l.Close()
		closeTransport()
	})
	return &peer{transport: tr, address: l.Addr().String()}
}
