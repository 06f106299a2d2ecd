package prompt_test

// This file replays prompts that share their first parts.

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
	"github.com/jacinthstile/jacinthstile/internal/routing/prompt"
)

const room = 100_000 // tokens that an engine keeps

var (
	start   = time.Unix(1000, 0)
	engines = []*registry.Endpoint{
		{ID: "a", Service: "llm", Address: "a:1", Centre: "north", State: registry.Ready},
		{ID: "b", Service: "llm", Address: "b:1", Centre: "south", State: registry.Ready},
	}
)

// ask returns a request about a shared part, with a part of its own.
func ask(id, shared string) prompt.Request {
	return prompt.Request{ID: id, Prompt: []request.PromptPart{{ID: shared, Tokens: 4000}, {ID: "own-" + id, Tokens: 500}}}
}

func TestRequestsGoWhereTheirSharedPartWasRead(t *testing.T) {
	g := NewWithT(t)
	c := prompt.New()
	place := func(id, shared string) prompt.Choice {
		v := c.Place(ask(id, shared), engines, room, start)
		c.Started(id, start.Add(100*time.Millisecond))
		return v
	}
	first := place("1", "x")
	second := place("2", "y")
	g.Expect(second.Engine).NotTo(BeIdenticalTo(first.Engine), "the other engine runs nothing")
	for i := range 4 {
		again := place(fmt.Sprint("x", i), "x")
		g.Expect(again.Engine).To(BeIdenticalTo(first.Engine))
		g.Expect(again.Unread).To(Equal(500), "only the request's own part")
		g.Expect(again.Total).To(Equal(4500))
	}
}

// TestHotPartsSpread has one shared part asked for faster than an engine reads.
func TestHotPartsSpread(t *testing.T) {
	g := NewWithT(t)
	c := prompt.New()
	seen := make(map[string]int)
	for i := range 40 {
		seen[c.Place(ask(fmt.Sprint(i), "x"), engines, room, start).Engine.ID]++
	}
	g.Expect(seen["a"]).To(BeNumerically(">", 10), "%v", seen)
	g.Expect(seen["b"]).To(BeNumerically(">", 10), "%v", seen)
}

func TestWhatTipsTheChoice(t *testing.T) {
	for name, tip := range map[string]func(c *prompt.Chooser, r *prompt.Request, list []*registry.Endpoint){
		"results lie beside the other engine": func(_ *prompt.Chooser, r *prompt.Request, _ []*registry.Endpoint) {
			r.Inputs = map[string]int64{"south": 1_500_000}
		},
		"the first engine failed the request": func(_ *prompt.Chooser, r *prompt.Request, list []*registry.Endpoint) {
			r.Tried = map[string]bool{list[0].Name(): true}
		},
		"the first engine failed another one": func(c *prompt.Chooser, _ *prompt.Request, list []*registry.Endpoint) {
			c.Look(prompt.Request{}, list, room, start)
			c.Failed(list[0].Name(), start)
		},
		"the first engine's registration lapsed": func(_ *prompt.Chooser, _ *prompt.Request, list []*registry.Endpoint) {
			lapsed := *list[0]
			lapsed.State = registry.Lapsed
			list[0] = &lapsed
		},
		"the first engine reads another prompt": func(c *prompt.Chooser, _ *prompt.Request, list []*registry.Endpoint) {
			c.Place(ask("other", "other"), list[:1], room, start)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, list := prompt.New(), []*registry.Endpoint{engines[0], engines[1]}
			r := ask("1", "x")
			g.Expect(c.Look(r, list, room, start).Engine.ID).To(Equal("a"), "nothing tips it")
			tip(c, &r, list)
			g.Expect(c.Place(r, list, room, start).Engine.ID).To(Equal("b"))
		})
	}
}

func TestATriedEngineIsBetterThanNone(t *testing.T) {
	r := ask("1", "x")
	r.Tried = map[string]bool{engines[0].Name(): true}
	NewWithT(t).Expect(prompt.New().Place(r, engines[:1], room, start).Engine).To(BeIdenticalTo(engines[0]))
}

func TestWithoutEnginesNoneIsChosen(t *testing.T) {
	NewWithT(t).Expect(prompt.New().Place(ask("1", "x"), nil, room, start).Engine).To(BeNil())
}

func TestPartsBeyondAnEnginesRoomAreForgotten(t *testing.T) {
	g := NewWithT(t)
	c := prompt.New()
	for i := range 30 {
		id := fmt.Sprint(i)
		c.Place(ask(id, "part"+id), engines[:1], room, start)
		c.Ended(id)
	}
	g.Expect(c.Look(ask("new", "part29"), engines[:1], room, start).Unread).To(Equal(500))
	g.Expect(c.Look(ask("new", "part0"), engines[:1], room, start).Unread).To(Equal(4500))
}

// TestWhatEndsIsNotCounted has requests end in every order of news.
func TestWhatEndsIsNotCounted(t *testing.T) {
	for name, end := range map[string]func(c *prompt.Chooser){
		"started and ended": func(c *prompt.Chooser) { c.Started("1", start); c.Ended("1") },
		"ended first":       func(c *prompt.Chooser) { c.Ended("1"); c.Started("1", start) },
		"ended twice":       func(c *prompt.Chooser) { c.Ended("1"); c.Ended("1") },
		"started twice":     func(c *prompt.Chooser) { c.Started("1", start); c.Started("1", start); c.Ended("1") },
		"placed again":      func(c *prompt.Chooser) { c.Place(ask("1", "x"), engines[:1], room, start); c.Ended("1") },
		"without news":      func(c *prompt.Chooser) { c.Sweep(func(string) bool { return true }, start.Add(time.Minute)) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := prompt.New()
			c.Place(ask("1", "x"), engines[:1], room, start)
			end(c)
			v := c.Look(ask("2", "x"), engines[:1], room, start)
			g.Expect(v.Running).To(BeZero())
			g.Expect(v.Pending).To(BeZero())
		})
	}
}

// TestSlowEnginesGetLess has one engine whose first events take five times as
// long as they should.
func TestSlowEnginesGetLess(t *testing.T) {
	g := NewWithT(t)
	c := prompt.New()
	for i := range 10 {
		id := fmt.Sprint(i)
		v := c.Place(ask(id, "p"+id), engines[:1], room, start)
		c.Started(id, start.Add(5*v.First))
		c.Ended(id)
	}
	g.Expect(c.Look(ask("new", "fresh"), engines, room, start).Engine.ID).To(Equal("b"))
	g.Expect(c.Look(ask("new", "fresh"), engines[:1], room, start).Cost).
		To(BeNumerically(">", 2*c.Look(ask("new", "fresh"), engines[1:], room, start).Cost))
}
