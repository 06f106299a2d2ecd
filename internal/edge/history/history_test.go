package history_test

// This file tests which changes a history returns.

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/change"
	"github.com/jacinthstile/jacinthstile/internal/edge/history"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
)

func registered(id string) change.Change {
	return change.Registered{Endpoint: registry.Endpoint{ID: id, State: registry.Ready}}
}

// TestSinceReturnsLaterChanges guards against gaps: changes must be returned for
// each revision from the last reset to the newest one, and for no other revision.
func TestSinceReturnsLaterChanges(t *testing.T) {
	h := history.New()
	h.Reset(10)
	h.Add([]change.Change{registered("a"), registered("b")}, 14)
	h.Add(nil, 17) // a newer revision without changes of the catalog or of endpoints
	h.Add([]change.Change{change.Unregistered{ID: "a"}}, 20)
	for _, c := range []struct {
		after uint64
		want  int // number of changes; -1 if Since must return false
	}{{9, -1}, {10, 3}, {12, 3}, {14, 1}, {17, 1}, {19, 1}, {20, 0}, {21, -1}} {
		list, to, ok := h.Since(c.after)
		g := NewWithT(t)
		g.Expect(ok).To(Equal(c.want >= 0), "after %d", c.after)
		if ok {
			g.Expect(to).To(BeEquivalentTo(20))
			g.Expect(list).To(HaveLen(c.want), "after %d", c.after)
		}
	}
}

// TestCatalogResetsHistory guards against passing on a list that lacks a catalog:
// nothing is returned for revisions before a catalog was published.
func TestCatalogResetsHistory(t *testing.T) {
	g := NewWithT(t)
	h := history.New()
	h.Reset(1)
	h.Add([]change.Change{registered("a")}, 2)
	h.Add([]change.Change{registered("b"), change.Published{}}, 4)
	_, _, ok := h.Since(2)
	g.Expect(ok).To(BeFalse())
	h.Add([]change.Change{registered("c")}, 5)
	list, to, ok := h.Since(4)
	g.Expect(ok).To(BeTrue())
	g.Expect(to).To(BeEquivalentTo(5))
	g.Expect(list).To(Equal([]change.Change{registered("c")}))
}

// TestHistoryIsBounded guards against unbounded memory: after 1,000 changes the
// oldest are dropped, and one answer with too many changes drops all of them.
func TestHistoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	h := history.New()
	h.Reset(0)
	for i := range 1000 {
		h.Add([]change.Change{registered(fmt.Sprint(i))}, uint64(i+1))
	}
	_, _, ok := h.Since(700)
	g.Expect(ok).To(BeFalse())
	list, _, ok := h.Since(900)
	g.Expect(ok).To(BeTrue())
	g.Expect(list).To(HaveLen(100))
	g.Expect(list[0]).To(Equal(registered("900")))
	h.Add(slices.Repeat([]change.Change{registered("x")}, 1000), 2000)
	_, _, ok = h.Since(1000)
	g.Expect(ok).To(BeFalse())
}
