package issuer_test

// This file compares tickets with the alternative of choosing the instance that
// runs a call by a hash of its idempotency key, while instance lists differ.

import (
	"fmt"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/peer/rendezvous"
)

// hashOwners implements the alternative: each instance sends a call to the owner
// of its key according to its own list, and an owner runs every key that it has
// not seen before.
type hashOwners struct {
	seen map[string]map[string]bool // keys that each owner has seen
	runs map[string]int
}

func (o *hashOwners) call(list []string, key string) {
	owner := rendezvous.Choose(key, list, 1)[0]
	if o.seen[owner] == nil {
		o.seen[owner] = map[string]bool{}
	}
	if !o.seen[owner][key] {
		o.seen[owner][key] = true
		o.runs[key]++
	}
}

// TestStaleListRunsHashedCallsTwice sends each call twice, as a caller does that
// lost the response, through two instances. One of them does not know yet that an
// instance has joined, so that they disagree on the owners of some keys.
func TestStaleListRunsHashedCallsTwice(t *testing.T) {
	const calls = 400
	stale := []string{"a", "b", "c"}
	current := []string{"a", "b", "c", "d"}

	byHash := &hashOwners{seen: map[string]map[string]bool{}, runs: map[string]int{}}
	for i := range calls {
		key := fmt.Sprintf("x%d", i)
		byHash.call(stale, key)
		byHash.call(current, key)
	}
	twice := 0
	for _, n := range byHash.runs {
		if n > 1 {
			twice++
		}
	}

	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		cl := newCluster(current...)
		for i := range 100 {
			issuer, body := stale[i%len(stale)], fmt.Sprintf("x%d", i)
			text, _, err := cl.issuer(issuer).Issue("acme", life)
			g.Expect(err).NotTo(HaveOccurred())
			for _, target := range []string{"a", "d"} {
				_, f := cl.send(target, text, "r", body)
				g.Expect(f).To(BeNil())
			}
			g.Expect(cl.runs[body]).To(Equal(1))
		}
	})
	t.Logf("owner by hash: %d of %d calls ran twice; tickets: 0 of 100", twice, calls)
	NewWithT(t).Expect(twice).To(BeNumerically(">", calls/8), "calls by hash must run twice here, or the test shows nothing")
}
