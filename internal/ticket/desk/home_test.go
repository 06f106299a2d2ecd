package desk_test

// This file weighs tickets against a home instance chosen by hash of an
// idempotency key: what a lagging instance list makes of each.

import (
	"fmt"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/peer/neighbour"
)

// homes is the other way: each instance sends a call to the home that its own
// list gives, and a home runs a key that it does not remember.
type homes struct {
	seen map[string]map[string]bool // keys, by home
	runs map[string]int
}

func (h *homes) call(list []string, key string) {
	home := neighbour.Choose(key, list, 1)[0]
	if h.seen[home] == nil {
		h.seen[home] = map[string]bool{}
	}
	if !h.seen[home][key] {
		h.seen[home][key] = true
		h.runs[key]++
	}
}

// TestLaggingListMakesTwoHomes sends each call twice, as a caller does that
// lost its answer, through instances whose lists differ by one that has joined.
func TestLaggingListMakesTwoHomes(t *testing.T) {
	const calls = 400
	late := []string{"a", "b", "c"}
	current := []string{"a", "b", "c", "d"}

	byHome := &homes{seen: map[string]map[string]bool{}, runs: map[string]int{}}
	for i := range calls {
		key := fmt.Sprintf("x%d", i)
		byHome.call(late, key)
		byHome.call(current, key)
	}
	doubled := 0
	for _, n := range byHome.runs {
		if n > 1 {
			doubled++
		}
	}

	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld(current...)
		for i := range 100 {
			issuer, body := late[i%len(late)], fmt.Sprintf("x%d", i)
			text, _, err := w.desk(issuer).Issue("acme", life)
			g.Expect(err).NotTo(HaveOccurred())
			for _, asked := range []string{"a", "d"} {
				_, f := w.ask(asked, text, "r", body)
				g.Expect(f).To(BeNil())
			}
			g.Expect(w.runs[body]).To(Equal(1))
		}
	})
	t.Logf("home by hash: %d of %d calls ran twice; tickets: 0 of 100", doubled, calls)
	NewWithT(t).Expect(doubled).To(BeNumerically(">", calls/8), "the fault that tickets avoid")
}
