package notice_test

// This file tests what follows from the notices of endpoints.

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/jacinthstile/jacinthstile/internal/edge/notice"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/routing/brittle"
	"github.com/jacinthstile/jacinthstile/internal/routing/cooldown"
	"github.com/jacinthstile/jacinthstile/internal/routing/pace"
	"github.com/jacinthstile/jacinthstile/internal/routing/ratelimit"
	"github.com/jacinthstile/jacinthstile/internal/routing/slowstart"
	"github.com/jacinthstile/jacinthstile/internal/routing/warmup"
)

// TestLeavingIsToldToOthers guards against an endpoint that leaves but gets work from
// instances that have not heard it, and against names that circulate for ever.
func TestLeavingIsToldToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := registry.Endpoint{ID: "a", StartTime: 5, Service: "s", State: registry.Ready}
		instances := make([]*notice.Recorder, 2)
		indexes := make([]*registry.Index, 2)
		for i := range instances {
			r := registry.New(time.Second, func(all []*registry.Endpoint) { indexes[i] = registry.NewIndex(all) })
			r.Put(e, time.Now())
			instances[i] = notice.New(r, cooldown.New(), ratelimit.New(), warmup.New(ratelimit.New(), warmup.Allowance{}), pace.New(), slowstart.New(1), false, brittle.New(), logr.Discard(), tally.NoopScope)
		}
		g.Expect(instances[0].Recent()).To(BeEmpty())
		instances[0].Record(&e, notice.Notice{Leaving: true}, time.Now())
		g.Expect(indexes[0].ByName("a@5").AcceptsWork()).To(BeFalse())
		g.Expect(indexes[1].ByName("a@5").AcceptsWork()).To(BeTrue())
		for range 40 { // 20 s of messages in both directions
			instances[1].Learn(instances[0].Recent())
			instances[0].Learn(instances[1].Recent())
			time.Sleep(500 * time.Millisecond)
		}
		g.Expect(indexes[1].ByName("a@5").AcceptsWork()).To(BeFalse())
		g.Expect(instances[0].Recent()).To(BeEmpty())
		g.Expect(instances[1].Recent()).To(BeEmpty())
		g.Expect(instances[0].Known()).To(Equal([]string{"a@5"}), "for an instance that starts")
		time.Sleep(2 * time.Minute)
		g.Expect(instances[0].Known()).To(BeEmpty())
	})
}

// TestLearnIsBounded guards against a message that fills the memory.
func TestLearnIsBounded(t *testing.T) {
	g := NewWithT(t)
	r := notice.New(registry.New(time.Second, func([]*registry.Endpoint) {}), cooldown.New(), ratelimit.New(), warmup.New(ratelimit.New(), warmup.Allowance{}), pace.New(), slowstart.New(1), false, brittle.New(), logr.Discard(), tally.NoopScope)
	names := []string{"", strings.Repeat("x", 1<<20)}
	for i := range 1000 {
		names = append(names, fmt.Sprint("e", i, "@1"))
	}
	r.Learn(names)
	g.Expect(len(r.Recent())).To(BeNumerically("<=", 256))
	g.Expect(r.Recent()).NotTo(ContainElement(""))
}
