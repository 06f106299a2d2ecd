package matrix

// This file judges a cell.

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/bench/audit"
	"github.com/jacinthstile/jacinthstile/internal/bench/caller"
	"github.com/jacinthstile/jacinthstile/internal/bench/fleet"
	"github.com/jacinthstile/jacinthstile/internal/bench/member"
	"github.com/jacinthstile/jacinthstile/internal/standin/trouble"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
)

// judge checks every promise from what was counted and received.
func (r *run) judge() {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &r.audit
	a.Entries = r.fleet.Ledger.Entries()
	for _, n := range r.notes {
		a.Outcomes = append(a.Outcomes, n.outcome)
	}
	a.Excused = func(i int, _ caller.Outcome) bool { return !r.notes[i].healed }
	a.Requests()
	r.judgeDrain()
	r.judgeStop()
	r.judgeAnswers()
	a.Use(func(o caller.Outcome) bool { return r.ofCapped[o.Request] }, time.Time{}, lowCap)
}

// judgeDrain checks that no stage that began after the change was in force
// everywhere went to the emptied data centre.
func (r *run) judgeDrain() {
	if r.cell.Step.Name != Drain {
		return
	}
	leaving := func(name string) bool { return r.table.Endpoint(name).Centre == emptied }
	r.audit.Leave(leaving, r.changed.Add(bound))
	r.audit.LeaveOnce(leaving, r.drainedAt)
}

// judgeStop checks that the stopped daemon cut nothing off.
func (r *run) judgeStop() {
	if r.cell.Step.Name != Stop {
		return
	}
	for _, n := range r.notes {
		cut := n.outcome.Verdict == caller.Cut || n.outcome.Verdict == caller.Gone
		if n.daemon == issuer && cut {
			r.audit.Add(audit.Graceful, "%s %s was %s: %s", n.outcome.Kind, n.outcome.Request, n.outcome.Verdict, n.outcome.Detail)
		}
	}
}

// judgeAnswers checks that idempotent requests were answered where the fault
// leaves a way to answer them.
func (r *run) judgeAnswers() {
	if !r.cell.answerable() {
		return
	}
	for _, n := range r.notes {
		o := n.outcome
		if o.Body == "" && (o.Verdict == caller.Refused || o.Verdict == caller.Failed) {
			r.audit.Add(audit.Recovery, "%s %s at entry-%d got code %d: %s", o.Kind, o.Request, n.daemon+1, o.Code, o.Detail)
		}
	}
}

// answerable reports whether every idempotent request of the cell must be
// answered: one endpoint of several fails once, or the daemons lose nothing
// that an answer needs.
func (c Cell) answerable() bool {
	return len(c.Faults) == 1 && !c.hits(AtInstance, OfLoad) && !c.meets(Late)
}

// standing returns the daemons that are neither lost nor stopped.
func (r *run) standing() []member.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []member.Member
	for i, m := range r.fleet.Members() {
		gone := r.lost[i] && r.lostUntil[i].IsZero()
		if !gone && !r.stopped[i] && !r.apart[i] {
			out = append(out, m)
		}
	}
	return out
}

// watch follows the tables in force until the returned function is called: one
// start of a daemon never goes back to a lower one.
func (r *run) watch(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var waits []func()
	for i := range daemons {
		waits = append(waits, r.async(func() { r.watchOne(ctx, i) }))
	}
	return func() {
		cancel()
		for _, w := range waits {
			w()
		}
	}
}

func (r *run) watchOne(ctx context.Context, i int) {
	var highest fleet.Status
	var of member.Member
	every := watchEvery
	if r.cell.meets(Older) {
		every = closeWatch
	}
	for ctx.Err() == nil {
		m := r.fleet.Members()[i]
		if m != of {
			of, highest = m, fleet.Status{}
		}
		if s, ok := fleet.StatusOf(ctx, m); ok {
			if s.Epoch < highest.Epoch || s.Epoch == highest.Epoch && s.Version < highest.Version {
				r.lock(func() {
					r.audit.Add(audit.Table, "entry-%d went from table %d.%d to %d.%d",
						i+1, highest.Epoch, highest.Version, s.Epoch, s.Version)
				})
			}
			highest = s
		}
		select {
		case <-time.After(every):
		case <-ctx.Done():
		}
	}
}

func (r *run) lock(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// holdUntilInForce lets a request wait in its first stage until the published
// table is in force everywhere, so that all its later stages come after that.
func (r *run) holdUntilInForce() {
	if len(r.cell.Faults) > 1 {
		return
	}
	r.trouble.Hook(trouble.Hook{Stage: " encode", At: trouble.Arrival, Do: func() {
		r.waitInForce()
		r.lock(func() { r.drainedAt = time.Now() })
	}})
}

// awaitOrders waits until every engine holds what the table wants, within the bound.
func (r *run) awaitOrders(ctx context.Context) {
	for _, e := range r.fleet.Table.Endpoints {
		if e.Kind == endpoint.Engine {
			r.awaitOrder(ctx, e.Name, strings.Join(e.Models, " "))
		}
	}
}

func (r *run) awaitOrder(ctx context.Context, engine, want string) {
	end := time.Now().Add(orderBound)
	for {
		got := r.ordersOf(ctx, engine)
		if got == want {
			return
		}
		if time.Now().After(end) {
			r.audit.Add(audit.Table, "engine %s was told to hold %q, want %q", engine, got, want)
			return
		}
		time.Sleep(pollEvery)
	}
}

func modelsOf(req *http.Request) string {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	var orders struct{ Models []struct{ Name string } }
	if err := json.NewDecoder(resp.Body).Decode(&orders); err != nil {
		return err.Error()
	}
	var names []string
	for _, m := range orders.Models {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}
