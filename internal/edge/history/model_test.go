package history_test

// This file compares a history with a plain list of all changes of a simulated store.

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jacinthstile/jacinthstile/internal/edge/change"
	"github.com/jacinthstile/jacinthstile/internal/edge/history"
	"github.com/jacinthstile/jacinthstile/internal/edge/position"
)

// record is a change with the position that it led to.
type record struct {
	at     position.Position
	change change.Change
}

// replay returns the endpoints that are registered after the changes.
func replay(list []change.Change) map[string]bool {
	present := make(map[string]bool)
	for _, c := range list {
		switch c := c.(type) {
		case change.Registered:
			present[c.Endpoint.ID] = true
		case change.Unregistered:
			delete(present, c.ID)
		}
	}
	return present
}

// TestHistoryAgainstPlainList checks random changes of a store that now and then comes back
// from a copy. Whatever position another instance asks for, an answer leads it from the
// state at that position to the newest state, and no answer spans two eras.
func TestHistoryAgainstPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		h := history.New()
		var all []record // of the current era
		now := position.Position{Era: rapid.Uint64Range(0, 2).Draw(t, "era"), Revision: 1}
		h.Reset(now)
		listed := now
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0: // back from a copy; the instance lists the store
				now = position.Position{Era: now.Era + 1, Revision: rapid.Uint64Range(1, now.Revision).Draw(t, "revision")}
				all, listed = nil, now
				h.Reset(now)
			case 1: // an answer of an earlier era arrives late
				h.Add([]change.Change{registered("late")}, position.Position{Era: now.Era - min(1, now.Era), Revision: now.Revision + 5})
				if now.Era == 0 {
					now.Revision += 5
					all = append(all, record{now, registered("late")})
				}
			default:
				id := fmt.Sprint("e", rapid.IntRange(0, 4).Draw(t, "id"))
				var c change.Change = change.Unregistered{ID: id}
				if rapid.Bool().Draw(t, "registers") {
					c = registered(id)
				}
				now.Revision++
				all = append(all, record{now, c})
				h.Add([]change.Change{c}, now)
			}
		}
		asked := position.Position{
			Era: rapid.Uint64Range(0, now.Era+1).Draw(t, "asked era"), Revision: rapid.Uint64Range(0, now.Revision+2).Draw(t, "asked revision"),
		}
		list, to, ok := h.Since(asked)
		if asked.Era != now.Era || now.Before(asked) || asked.Before(listed) {
			g.Expect(ok).To(BeFalse(), "after %s, listed %s, now %s", asked, listed, now)
			return
		}
		g.Expect(ok).To(BeTrue(), "after %s, listed %s, now %s", asked, listed, now)
		g.Expect(to).To(Equal(now))
		var before, whole []change.Change
		for _, r := range all {
			whole = append(whole, r.change)
			if r.at.Compare(asked) <= 0 {
				before = append(before, r.change)
			}
		}
		g.Expect(replay(append(before, list...))).To(Equal(replay(whole)))
	})
}
