package store_test

// This file checks which tickets a store may remove and which it must keep.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/ticket/store"
)

const life = 10 * time.Second

var (
	start     = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	digestOne = store.Digest{1}
	digestTwo = store.Digest{2}
)

func codeOf(err error) code.Code {
	if err == nil {
		return 0
	}
	return fault.From(err).Code
}

func issue(g *WithT, s *store.Store, now time.Time) uint64 {
	n, err := s.Issue(now, now.Add(life))
	g.Expect(err).NotTo(HaveOccurred())
	return n
}

// A store that made room by removing a live ticket could no longer tell whether
// the ticket's call ran, nor repeat its outcome. A full store must refuse new tickets until
// old ones have expired, and keep a running call past its expiry.
func TestFullStoreRefusesAndKeepsLiveTickets(t *testing.T) {
	g := NewWithT(t)
	s := store.New(store.Options{MaxTickets: 3, MaxBytes: 100, MaxReplyBytes: 100})
	used, unused, running := issue(g, s, start), issue(g, s, start), issue(g, s, start)
	_, _, err := s.Claim(used, digestOne, start)
	g.Expect(err).NotTo(HaveOccurred())
	s.Complete(used, store.Outcome{Reply: client.Reply{Status: 201, Body: []byte("ok")}}, start)
	_, _, err = s.Claim(running, digestOne, start)
	g.Expect(err).NotTo(HaveOccurred())

	_, err = s.Issue(start.Add(life-1), start.Add(2*life))
	g.Expect(codeOf(err)).To(Equal(code.TicketStoreFull))
	x, first, err := s.Claim(used, digestOne, start.Add(life-1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first).To(BeFalse())
	g.Expect(x.Outcome().Reply.Status).To(Equal(201))

	later := start.Add(life + 2*time.Second)
	_, err = s.Issue(later, later.Add(life))
	g.Expect(err).NotTo(HaveOccurred(), "expired tickets make room")
	_, _, err = s.Claim(unused, digestOne, later)
	g.Expect(codeOf(err)).To(Equal(code.TicketForgotten))
	_, first, err = s.Claim(running, digestOne, later)
	g.Expect(err).NotTo(HaveOccurred(), "a running call is kept past its expiry")
	g.Expect(first).To(BeFalse())
}

// TestClaims checks the code for each state of a ticket. A repeat of the same
// call gets its outcome even after the expiry; an unused ticket is refused from
// its expiry on.
func TestClaims(t *testing.T) {
	for _, c := range []struct {
		name   string
		number uint64
		digest store.Digest
		at     time.Duration
		want   code.Code
	}{
		{"unused", 2, digestOne, 0, 0},
		{"unused in its last instant", 2, digestOne, life - 1, 0},
		{"unused at its expiry", 2, digestOne, life, code.TicketExpired},
		{"unused, long expired", 2, digestOne, 2 * time.Hour, code.TicketExpired},
		{"used, the same call", 1, digestOne, 0, 0},
		{"used, another call", 1, digestTwo, 0, code.TicketReused},
		{"used and expired, the same call", 1, digestOne, life, 0},
		{"never issued", 3, digestOne, 0, code.TicketInvalid},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := store.New(store.Options{MaxTickets: 3, MaxBytes: 100, MaxReplyBytes: 100})
			issue(g, s, start)
			issue(g, s, start)
			_, _, err := s.Claim(1, digestOne, start)
			g.Expect(err).NotTo(HaveOccurred())
			s.Complete(1, store.Outcome{}, start)
			_, _, err = s.Claim(c.number, c.digest, start.Add(c.at))
			g.Expect(codeOf(err)).To(Equal(c.want))
		})
	}
}

// A process that is suspended wakes with a monotonic clock that stood still. The
// ticket must then expire by the wall clock.
func TestExpiryByEitherClock(t *testing.T) {
	g := NewWithT(t)
	s := store.New(store.Options{MaxTickets: 3, MaxBytes: 100, MaxReplyBytes: 100})
	now := time.Now()
	n := issue(g, s, now)
	afterSuspend := now.Round(0).Add(life) // Round(0) drops the monotonic reading
	_, _, err := s.Claim(n, digestOne, afterSuspend)
	g.Expect(codeOf(err)).To(Equal(code.TicketExpired))
}

// A reply beyond the byte limits must reach the callers that wait for it, must
// not count against the limits, and must not let a repeat run the call again.
func TestReplyTooLargeToHold(t *testing.T) {
	for _, c := range []struct {
		name    string
		options store.Options
	}{
		{"for one ticket", store.Options{MaxTickets: 3, MaxBytes: 1000, MaxReplyBytes: 9}},
		{"for the whole store", store.Options{MaxTickets: 3, MaxBytes: 15, MaxReplyBytes: 1000}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := store.New(c.options)
			body := make([]byte, 10)
			var executions []*store.Execution
			for range 2 {
				n := issue(g, s, start)
				x, _, err := s.Claim(n, digestOne, start)
				g.Expect(err).NotTo(HaveOccurred())
				s.Complete(n, store.Outcome{Reply: client.Reply{Status: 200, Body: body}}, start)
				executions = append(executions, x)
			}
			g.Expect(executions[1].Outcome().Reply.Body).To(HaveLen(10), "callers that waited get the reply")
			x, first, err := s.Claim(2, digestOne, start)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(first).To(BeFalse())
			g.Expect(x.Outcome().Fault.Code).To(Equal(code.ReplyDropped))
			_, bytes := s.Size()
			g.Expect(bytes).To(BeNumerically("<=", c.options.MaxBytes+20))
			later := start.Add(life + time.Hour)
			issue(g, s, later)
			_, bytes = s.Size()
			g.Expect(bytes).To(BeZero())
		})
	}
}

// BenchmarkHold issues, claims and completes tickets with a reply of 300 bytes.
// B/op is the memory that one held ticket takes.
func BenchmarkHold(b *testing.B) {
	s := store.New(store.Options{MaxTickets: b.N + 1, MaxBytes: 1 << 40, MaxReplyBytes: 1 << 16})
	b.ReportAllocs()
	for range b.N {
		n, err := s.Issue(start, start.Add(life))
		if err != nil {
			b.Fatal(err)
		}
		if _, _, err := s.Claim(n, digestOne, start); err != nil {
			b.Fatal(err)
		}
		s.Complete(n, store.Outcome{Reply: client.Reply{Status: 201, Body: make([]byte, 300)}}, start)
	}
}
