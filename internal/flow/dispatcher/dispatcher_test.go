package dispatcher_test

// This file tests how calls wait for endpoints, and that a lease ends with the
// table that gave it.

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/bench/rig"
	"github.com/jacinthstile/jacinthstile/internal/flow/dispatcher"
	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
	"github.com/jacinthstile/jacinthstile/internal/routing/picker"
	"github.com/jacinthstile/jacinthstile/internal/table/account"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/sheet"
)

const address = "127.0.0.1:1"

func newRig(t *testing.T, table *sheet.Sheet) *rig.Rig {
	if err := table.Freeze(); err != nil {
		t.Fatal(err)
	}
	r, closeRig := rig.New(table, logr.Discard())
	t.Cleanup(closeRig)
	return r
}

func limited(most int) endpoint.Endpoint {
	e := rig.Pool("a", address, "encode")
	e.Limit = most
	return e
}

func ask(account string, wait time.Duration) dispatcher.Ask {
	return dispatcher.Ask{
		Request: "r", Account: account, Stage: "encode", Attempt: 1,
		Query:  picker.Query{Role: "encode", FallbackServiceTime: 10 * time.Millisecond},
		Latest: time.Now().Add(wait),
	}
}

func TestWaitingCallStartsWhenAnotherEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRig(t, rig.Table(limited(1)))
		first, err := r.Dispatcher.Acquire(t.Context(), ask(rig.Account, time.Second))
		g.Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(50*time.Millisecond, func() { first.Done(endpointstats.Result{}) })
		start := time.Now()
		second, err := r.Dispatcher.Acquire(t.Context(), ask(rig.Account, time.Second))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(start)).To(Equal(50 * time.Millisecond))
		second.Done(endpointstats.Result{})
	})
}

func TestCallThatCannotStartInTimeIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRig(t, rig.Table(limited(1)))
		first, err := r.Dispatcher.Acquire(t.Context(), ask(rig.Account, time.Second))
		g.Expect(err).NotTo(HaveOccurred())
		defer first.Done(endpointstats.Result{})

		start := time.Now()
		_, err = r.Dispatcher.Acquire(t.Context(), ask(rig.Account, 300*time.Millisecond))
		var refusal *dispatcher.Refusal
		g.Expect(errors.As(err, &refusal)).To(BeTrue())
		g.Expect(refusal.Busy).To(BeTrue())
		g.Expect(refusal.After).To(BeNumerically(">", 0))
		g.Expect(time.Since(start)).To(Equal(300 * time.Millisecond))

		hedge := ask(rig.Account, time.Second)
		hedge.NoWait = true
		start = time.Now()
		_, err = r.Dispatcher.Acquire(t.Context(), hedge)
		g.Expect(err).To(HaveOccurred())
		g.Expect(time.Since(start)).To(BeZero())

		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err = r.Dispatcher.Acquire(ctx, ask(rig.Account, time.Second))
		g.Expect(err).To(HaveOccurred(), "a caller that leaves stops waiting")
		g.Expect(time.Since(start)).To(Equal(20 * time.Millisecond))
	})
}

// One account that asks ten times as much does not push another one out.
func TestWaitingIsFairBetweenAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := rig.Table(limited(1))
		table.Accounts = append(table.Accounts, account.Account{Name: "large", Digest: account.DigestOf("l"), Weight: 1})
		r := newRig(t, table)
		var mu sync.Mutex
		var order []string
		var wg sync.WaitGroup
		run := func(name string) {
			lease, err := r.Dispatcher.Acquire(t.Context(), ask(name, 10*time.Second))
			g.Expect(err).NotTo(HaveOccurred())
			mu.Lock()
			order = append(order, name)
			mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			lease.Done(endpointstats.Result{})
		}
		for range 40 {
			wg.Go(func() { run("large") })
		}
		time.Sleep(time.Millisecond)
		for range 4 {
			wg.Go(func() { run(rig.Account) })
		}
		wg.Wait()
		last := 0
		for i, name := range order {
			if name == rig.Account {
				last = i
			}
		}
		g.Expect(order).To(HaveLen(44))
		g.Expect(last).To(BeNumerically("<=", 12), "%v", order)
	})
}

// Past capacity, what can't start in time is mostly known at once: few calls
// wait in vain, also for an account whose pace depends on what others ask for.
func TestHopelessCallsAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := rig.Table(limited(1))
		table.Accounts = append(table.Accounts, account.Account{Name: "large", Digest: account.DigestOf("l"), Weight: 1})
		r := newRig(t, table)
		var mu sync.Mutex
		started, atOnce, inVain := 0, 0, 0
		var wg sync.WaitGroup
		run := func(name string) {
			begin := time.Now()
			lease, err := r.Dispatcher.Acquire(t.Context(), ask(name, time.Second))
			if err == nil {
				time.Sleep(10 * time.Millisecond)
				lease.Done(endpointstats.Result{})
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case name != "large":
			case err == nil:
				started++
			case time.Since(begin) < 50*time.Millisecond:
				atOnce++
			default:
				inVain++
			}
		}
		for n := range 2000 { // 10 s of 200 large and 45 small calls a second, at 100 served
			wg.Go(func() { run("large") })
			if n%100 < 45 && n%2 == 0 || n%100 == 99 {
				wg.Go(func() { run(rig.Account) })
			}
			time.Sleep(5 * time.Millisecond)
		}
		wg.Wait()
		g.Expect(started).To(BeNumerically(">", 500))
		g.Expect(inVain).To(BeNumerically("<", (atOnce+inVain)/10), "started %d, at once %d", started, atOnce)
	})
}

func TestLeaseEndsWithTheWeight(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rig.Table(rig.Pool("a", address, "encode"), rig.Pool("b", address, "encode")))
	lease, err := r.Dispatcher.Acquire(t.Context(), ask(rig.Account, time.Second))
	g.Expect(err).NotTo(HaveOccurred())
	defer lease.Done(endpointstats.Result{})
	g.Expect(lease.Check()).To(Succeed())

	empty := rig.Table(rig.Pool("a", address, "encode"), rig.Pool("b", address, "encode"))
	empty.Version = 2
	empty.Centres[0].Weight = 0
	g.Expect(empty.Freeze()).To(Succeed())
	r.Tables.Raise(empty)
	g.Expect(lease.Check()).NotTo(Succeed())

	full := rig.Table(rig.Pool("a", address, "encode"), rig.Pool("b", address, "encode"))
	full.Version = 3
	g.Expect(full.Freeze()).To(Succeed())
	r.Tables.Raise(full)
	r.Board.SetLeaving(map[string]bool{lease.Endpoint.Name: true})
	g.Expect(lease.Check()).NotTo(Succeed())
}
