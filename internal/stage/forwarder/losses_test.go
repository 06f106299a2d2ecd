package forwarder_test

// This file tests how instances share what they know of prompt parts that crash engines.

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/admission/quarantine"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

func promptOf(parts ...string) []request.PromptPart {
	var list []request.PromptPart
	for _, id := range parts {
		list = append(list, request.PromptPart{ID: id, Tokens: 10})
	}
	return list
}

// holds reports whether an instance holds back requests with the prompt.
func (in *instance) holds(prompt []request.PromptPart) bool {
	held, _ := in.quarantine.Holds(quarantine.Subject{Prompt: prompt})
	return held
}

// lose reports the losses of requests with the part D, each by another engine, from the
// instances in turn.
func lose(from, to int, instances ...*instance) {
	for i := from; i < to; i++ {
		s := quarantine.Subject{Prompt: promptOf("A", "D", fmt.Sprint("o", i))}
		instances[i%len(instances)].RecordLoss(fmt.Sprint("r", i), quarantine.NewLoss(fmt.Sprint("e", i), s, false, true, time.Now()))
	}
}

// prepareWith prepares a request with the given prompt and returns the code of its refusal,
// or zero.
func (c *cluster) prepareWith(t *testing.T, in *instance, id string, prompt []request.PromptPart) code.Code {
	t.Helper()
	r := c.round(id, 2*time.Second)
	r.Request.Prompt = prompt
	p, err := in.Prepare(t.Context(), r)
	if err == nil {
		if prompt[1].ID != "D" { // no answer to those with D begins
			p.Started()
		}
		p.Ended()
		return 0
	}
	var refusal *fault.Fault
	if !errors.As(err, &refusal) {
		t.Fatalf("got error %v, want a refusal", err)
	}
	if refusal.Code == code.PromptHeld && refusal.RetryAfter != 0 {
		t.Errorf("got Retry-After %s with a prompt that is held back, want none", refusal.RetryAfter)
	}
	t.Logf("%s: %v", id, refusal)
	return refusal.Code
}

// TestLossesAreCountedTogether guards against a part of a prompt that crashes engines and
// is not noticed because each instance sees only some of the crashes. The verdict must reach
// all instances, one that starts later too, and outlast the coordinator.
func TestLossesAreCountedTogether(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	weak, middle := c.start(t, &fakeExecutor{name: "weak"}, 100), c.start(t, &fakeExecutor{name: "middle"}, 200)
	strong := c.start(t, &fakeExecutor{name: "strong"}, 400)
	bad := promptOf("A", "D", "o99")
	g.Eventually(func() code.Code { return c.prepareWith(t, weak, "r0", promptOf("A", "B", "o0")) }, waitLimit).Should(BeZero())
	lose(0, 2, weak, middle, strong)
	time.Sleep(2 * time.Second) // the coordinator has learned what is sound by then
	g.Expect(c.prepareWith(t, weak, "r1", bad)).To(BeZero(), "two crashes")
	lose(2, 7, weak, middle, strong)
	for _, in := range []*instance{weak, middle, strong} {
		g.Eventually(func() bool { return in.holds(bad) }, waitLimit).Should(BeTrue())
		g.Expect(c.prepareWith(t, in, "r2"+in.name, bad)).To(Equal(code.PromptHeld))
		g.Expect(c.prepareWith(t, in, "r3"+in.name, promptOf("A", "B", "o3"))).To(BeZero())
	}
	g.Expect(strong.made.Load()).To(BeNumerically("==", 2*(2+3)), "pieces, none of them for a request that is held back")
	late := c.start(t, &fakeExecutor{name: "late"}, 50)
	g.Eventually(func() bool { return late.holds(bad) }, waitLimit).Should(BeTrue())
	strong.stop()
	g.Eventually(func() code.Code { return c.prepareWith(t, late, "r4", promptOf("A", "B", "o4")) }, waitLimit).Should(BeZero())
	g.Expect(c.prepareWith(t, late, "r5", bad)).To(Equal(code.PromptHeld))
}

// TestEvidenceOutlastsCoordinator guards against five further crashes because the
// coordinator that had counted the first ones is lost.
func TestEvidenceOutlastsCoordinator(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	weak, strong := c.start(t, &fakeExecutor{name: "weak"}, 100), c.start(t, &fakeExecutor{name: "strong"}, 400)
	g.Eventually(func() code.Code { return c.prepareWith(t, weak, "r0", promptOf("A", "B", "o0")) }, waitLimit).Should(BeZero())
	middle := c.start(t, &fakeExecutor{name: "middle"}, 200)
	lose(0, 4, weak)
	time.Sleep(100 * time.Millisecond)
	strong.stop()
	time.Sleep(4 * time.Second)
	g.Expect(middle.holds(promptOf("A", "D", "o"))).To(BeFalse(), "four crashes")
	lose(4, 5, weak)
	g.Eventually(func() bool { return middle.holds(promptOf("A", "D", "o")) }, time.Second).Should(BeTrue())
}

// TestCrashesThatOnlyTheCoordinatorSawAreNotForgotten guards against further crashes because the coordinator
// is lost that alone had seen the first ones, under stage calls: it told the others of the suspect.
func TestCrashesThatOnlyTheCoordinatorSawAreNotForgotten(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	strong, middle := c.start(t, &fakeExecutor{name: "strong"}, 400), c.start(t, &fakeExecutor{name: "middle"}, 200)
	c.start(t, &fakeExecutor{name: "weak"}, 100)
	deadly := quarantine.Subject{Fingerprint: 77}
	crash := func(in *instance, endpoint string) {
		in.quarantine.RecordLoss(quarantine.NewLoss(endpoint, deadly, true, true, time.Now()))
	}
	time.Sleep(2 * time.Second) // until all follow the first one
	crash(strong, "e1")
	crash(strong, "e2")
	g.Eventually(func() bool { return middle.quarantine.HasCrashed("e2", time.Now()) }, waitLimit).Should(BeTrue())
	strong.stop()
	time.Sleep(4 * time.Second)
	held, _ := middle.quarantine.Holds(deadly)
	g.Expect(held).To(BeFalse(), "two crashes")
	crash(middle, "e3")
	g.Eventually(func() bool { held, _ := middle.quarantine.Holds(deadly); return held }, time.Second).Should(BeTrue())
}

// TestWaitingOrderIsRejected guards against stage work for a request whose prompt is held
// back while it waits.
func TestWaitingOrderIsRejected(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	weak := c.start(t, &fakeExecutor{name: "weak"}, 100)
	strong := c.start(t, &fakeExecutor{name: "strong", hold: make(chan struct{})}, 400)
	defer close(strong.hold)
	time.Sleep(2500 * time.Millisecond)
	answered := make(chan code.Code, 1)
	go func() {
		r := c.round("r1", 8*time.Second)
		r.Request.Prompt = promptOf("A", "D", "o99")
		_, err := weak.Prepare(t.Context(), r)
		answered <- fault.From(err).Code
	}()
	g.Consistently(answered, 500*time.Millisecond).ShouldNot(Receive())
	lose(0, 5, weak)
	g.Eventually(answered, time.Second).Should(Receive(Equal(code.PromptHeld)))
}

// TestCutOffInstanceMakesNoTrials guards against trial sends by several instances that do
// not know of each other's.
func TestCutOffInstanceMakesNoTrials(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	strong := c.start(t, &fakeExecutor{name: "strong"}, 400)
	weak := c.start(t, &fakeExecutor{name: "weak"}, 100)
	time.Sleep(2500 * time.Millisecond)
	lose(0, 5, strong)
	bad := promptOf("A", "D", "o99")
	g.Eventually(func() bool { return weak.holds(bad) }, waitLimit).Should(BeTrue())
	strong.stop()
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		g.Expect(c.prepareWith(t, weak, "r1", bad)).To(Equal(code.PromptHeld))
	}
}

// TestEqualRequestsAreCountedTogether guards against a request that crashes endpoints and is not
// noticed because each instance sees only one of the crashes. Each instance knows the suspect
// before the verdict, and the verdict, also as it ends.
func TestEqualRequestsAreCountedTogether(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	all := []*instance{c.start(t, &fakeExecutor{name: "leader"}, 400), c.start(t, &fakeExecutor{name: "b"}, 100), c.start(t, &fakeExecutor{name: "c"}, 100)}
	time.Sleep(2 * time.Second)
	const fingerprint = 77
	deadly := quarantine.Subject{Fingerprint: fingerprint}
	crash := func(i int) {
		all[i].RecordLoss("r", quarantine.NewLoss(fmt.Sprint("e", i), deadly, false, true, time.Now()))
	}
	crash(1)
	for _, in := range all {
		g.Eventually(func() bool { suspect, _ := in.quarantine.IsSuspect(fingerprint, time.Now()); return suspect }, waitLimit).Should(BeTrue(), in.name)
	}
	all[0].RecordClearance(quarantine.Clearance{Endpoint: "e1", At: time.Now()}) // the first one was a lost answer
	for _, in := range all {
		g.Eventually(func() bool { return in.quarantine.HasCrashed("e1", time.Now()) }, waitLimit).Should(BeFalse(), in.name)
	}
	crash(2)
	crash(0)
	all[1].RecordLoss("r", quarantine.NewLoss("e9", deadly, false, true, time.Now()))
	for _, in := range all {
		g.Eventually(func() bool { held, whole := in.quarantine.Holds(deadly); return held && whole }, waitLimit).Should(BeTrue(), in.name)
	}
	all[2].RecordClearance(quarantine.Clearance{Fingerprint: fingerprint, At: time.Now()})
	for _, in := range all {
		g.Eventually(func() bool { held, _ := in.quarantine.Holds(deadly); return held }, waitLimit).Should(BeFalse(), in.name)
		g.Eventually(func() bool { suspect, _ := in.quarantine.IsSuspect(fingerprint, time.Now()); return suspect }, waitLimit).Should(BeFalse(), in.name)
	}
}
