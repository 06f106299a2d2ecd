package plan_test

// This file tests what is wanted, and when it is ordered.

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/bench/rows"
	"github.com/jacinthstile/jacinthstile/internal/placement/plan"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/revision"
)

func TestPlanDependsOnTheTableAlone(t *testing.T) {
	g := NewWithT(t)
	s, err := rows.Table(rows.Options{Endpoints: 40, Centres: 4, Models: 3})
	g.Expect(err).NotTo(HaveOccurred())
	s.Endpoints[0].Models = []string{"model-02", "model-00", "model-02"}
	s.Endpoints[1].Weight = 0
	s.Centres[2].Weight = 0
	g.Expect(s.Freeze()).To(Succeed())
	first := plan.Of(s)
	slices.Reverse(s.Endpoints)
	g.Expect(s.Freeze()).To(Succeed())
	g.Expect(plan.Of(s)).To(Equal(first))

	g.Expect(first["llm-0000"].Models).To(Equal([]plan.Model{{Name: "model-00", Version: "1"}, {Name: "model-02", Version: "1"}}))
	g.Expect(first).NotTo(HaveKey("llm-0001"), "its weight is zero")
	for _, e := range s.Endpoints {
		if e.Centre == "centre-02" || e.Kind != endpoint.Engine {
			g.Expect(first).NotTo(HaveKey(e.Name))
		}
	}
}

func TestDecide(t *testing.T) {
	models := []plan.Model{{Name: "m", Version: "1"}}
	order := plan.Order{Endpoint: "e", At: revision.Revision{Epoch: 1, Version: 5}, Role: "generate", Models: models}
	at := func(version uint64) revision.Revision { return revision.Revision{Epoch: 1, Version: version} }
	for _, c := range []struct {
		name string
		s    plan.Situation
		want plan.Reason
	}{
		{"nothing held", plan.Situation{Slot: true, Room: true}, plan.Differs},
		{"another version of the model", plan.Situation{State: plan.State{At: at(5), Role: "generate", Models: []plan.Model{{Name: "m", Version: "0"}}}, Slot: true, Room: true}, plan.Differs},
		{"another role", plan.Situation{State: plan.State{At: at(5), Role: "encode", Models: models}, Slot: true, Room: true}, plan.Differs},
		{"an old order was followed", plan.Situation{State: plan.State{At: at(4), Role: "x"}, Slot: true, Room: true}, plan.Differs},
		{"the same under an older number", plan.Situation{State: plan.State{At: at(4), Role: "generate", Models: models}, Slot: true, Room: true}, plan.Holds},
		{"a newer order was followed", plan.Situation{State: plan.State{At: at(6), Role: "x"}, Slot: true, Room: true}, plan.Newer},
		{"a newer epoch was followed", plan.Situation{State: plan.State{At: revision.Revision{Epoch: 2, Version: 1}}, Slot: true, Room: true}, plan.Newer},
		{"it is loading", plan.Situation{State: plan.State{At: at(5), Role: "generate", Models: models, Loading: true}}, plan.Busy},
		{"deputy", plan.Situation{Rank: 1, Since: time.Minute, Slot: true, Room: true}, plan.Deputy},
		{"deputy after long", plan.Situation{Rank: 1, Since: 2 * time.Minute, Slot: true, Room: true}, plan.Differs},
		{"second deputy", plan.Situation{Rank: 2, Since: 3 * time.Minute, Slot: true, Room: true}, plan.Deputy},
		{"its instance leaves", plan.Situation{Leaving: true, Slot: true, Room: true}, plan.Leaving},
		{"slot of another", plan.Situation{Room: true}, plan.Paced},
		{"too many load", plan.Situation{Slot: true}, plan.Capacity},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.s.Order = order
			NewWithT(t).Expect(plan.Decide(c.s)).To(Equal(c.want))
		})
	}
}
