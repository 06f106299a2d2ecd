package store_test

// This file checks what a store forgets and what it never forgets.

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
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	one   = store.Digest{1}
	two   = store.Digest{2}
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

func TestFullStoreRefusesAndForgetsNoLiveTicket(t *testing.T) {
	g := NewWithT(t)
	s := store.New(store.Options{Tickets: 3, Bytes: 100, Reply: 100})
	used, unused, running := issue(g, s, start), issue(g, s, start), issue(g, s, start)
	_, _, err := s.Claim(used, one, start)
	g.Expect(err).NotTo(HaveOccurred())
	s.Complete(used, store.Outcome{Reply: client.Reply{Status: 201, Body: []byte("ok")}}, start)
	_, _, err = s.Claim(running, one, start)
	g.Expect(err).NotTo(HaveOccurred())

	_, err = s.Issue(start.Add(life-1), start.Add(2*life))
	g.Expect(codeOf(err)).To(Equal(code.TicketStoreFull))
	f, first, err := s.Claim(used, one, start.Add(life-1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first).To(BeFalse())
	g.Expect(f.Outcome().Reply.Status).To(Equal(201))

	later := start.Add(life + 2*time.Second)
	_, err = s.Issue(later, later.Add(life))
	g.Expect(err).NotTo(HaveOccurred(), "expired tickets make room")
	_, _, err = s.Claim(unused, one, later)
	g.Expect(codeOf(err)).To(Equal(code.TicketForgotten))
	_, first, err = s.Claim(running, one, later)
	g.Expect(err).NotTo(HaveOccurred(), "a running call is held past its expiry")
	g.Expect(first).To(BeFalse())
}

func TestClaims(t *testing.T) {
	for _, c := range []struct {
		name   string
		number uint64
		digest store.Digest
		at     time.Duration
		want   code.Code
	}{
		{"unused", 2, one, 0, 0},
		{"unused in its last instant", 2, one, life - 1, 0},
		{"unused at its expiry", 2, one, life, code.TicketExpired},
		{"unused, long expired", 2, one, 2 * time.Hour, code.TicketExpired},
		{"used, the same call", 1, one, 0, 0},
		{"used, another call", 1, two, 0, code.TicketReused},
		{"used and expired, the same call", 1, one, life, 0},
		{"never issued", 3, one, 0, code.TicketInvalid},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := store.New(store.Options{Tickets: 3, Bytes: 100, Reply: 100})
			issue(g, s, start)
			issue(g, s, start)
			_, _, err := s.Claim(1, one, start)
			g.Expect(err).NotTo(HaveOccurred())
			s.Complete(1, store.Outcome{}, start)
			_, _, err = s.Claim(c.number, c.digest, start.Add(c.at))
			g.Expect(codeOf(err)).To(Equal(c.want))
		})
	}
}

func TestExpiryByEitherClock(t *testing.T) {
	g := NewWithT(t)
	s := store.New(store.Options{Tickets: 3, Bytes: 100, Reply: 100})
	now := time.Now()
	n := issue(g, s, now)
	woken := now.Round(0).Add(life) // the wall clock moved on while the monotonic one stood still
	_, _, err := s.Claim(n, one, woken)
	g.Expect(codeOf(err)).To(Equal(code.TicketExpired))
}

func TestReplyTooLargeToHold(t *testing.T) {
	for _, c := range []struct {
		name    string
		options store.Options
	}{
		{"for one ticket", store.Options{Tickets: 3, Bytes: 1000, Reply: 9}},
		{"beside the others", store.Options{Tickets: 3, Bytes: 15, Reply: 1000}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := store.New(c.options)
			body := make([]byte, 10)
			var flights []*store.Flight
			for range 2 {
				n := issue(g, s, start)
				f, _, err := s.Claim(n, one, start)
				g.Expect(err).NotTo(HaveOccurred())
				s.Complete(n, store.Outcome{Reply: client.Reply{Status: 200, Body: body}}, start)
				flights = append(flights, f)
			}
			g.Expect(flights[1].Outcome().Reply.Body).To(HaveLen(10), "those that waited get the reply")
			f, first, err := s.Claim(2, one, start)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(first).To(BeFalse())
			g.Expect(f.Outcome().Fault.Code).To(Equal(code.ReplyDropped))
			_, bytes := s.Held()
			g.Expect(bytes).To(BeNumerically("<=", c.options.Bytes+20))
			later := start.Add(life + time.Hour)
			issue(g, s, later)
			_, bytes = s.Held()
			g.Expect(bytes).To(BeZero())
		})
	}
}

// BenchmarkHold issues, claims and completes tickets with a reply of 300 bytes;
// B/op is what a held ticket takes.
func BenchmarkHold(b *testing.B) {
	s := store.New(store.Options{Tickets: b.N + 1, Bytes: 1 << 40, Reply: 1 << 16})
	b.ReportAllocs()
	for range b.N {
		n, err := s.Issue(start, start.Add(life))
		if err != nil {
			b.Fatal(err)
		}
		if _, _, err := s.Claim(n, one, start); err != nil {
			b.Fatal(err)
		}
		s.Complete(n, store.Outcome{Reply: client.Reply{Status: 201, Body: make([]byte, 300)}}, start)
	}
}
