package plan_test

// This file tests the desired placement, and when an order is sent.

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/bench/tablegen"
	"github.com/jacinthstile/jacinthstile/internal/placement/plan"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/revision"
)

// TestPlanDependsOnTheTableAlone guards against instances that compute different orders
// from the same table, for example because of the order of its rows.
func TestPlanDependsOnTheTableAlone(t *testing.T) {
	g := NewWithT(t)
	table, err := tablegen.Generate(tablegen.Options{Endpoints: 40, Centres: 4, Models: 3})
	g.Expect(err).NotTo(HaveOccurred())
	table.Endpoints[0].Models = []string{"model-02", "model-00", "model-02"}
	table.Endpoints[1].Weight = 0
	table.Centres[2].Weight = 0
	g.Expect(table.Freeze()).To(Succeed())
	first := plan.Orders(table)
	slices.Reverse(table.Endpoints)
	g.Expect(table.Freeze()).To(Succeed())
	g.Expect(plan.Orders(table)).To(Equal(first))

	g.Expect(first["llm-0000"].Models).To(Equal([]plan.Model{{Name: "model-00", Version: "1"}, {Name: "model-02", Version: "1"}}))
	g.Expect(first).NotTo(HaveKey("llm-0001"), "its weight is zero")
	for _, e := range table.Endpoints {
		if e.Centre == "centre-02" || e.Kind != endpoint.Engine {
			g.Expect(first).NotTo(HaveKey(e.Name))
		}
	}
}

// TestDecide checks the reason for sending or withholding an order.
func TestDecide(t *testing.T) {
	models := []plan.Model{{Name: "m", Version: "1"}}
	order := plan.Order{Endpoint: "e", At: revision.Revision{Epoch: 1, Version: 5}, Role: "generate", Models: models}
	at := func(version uint64) revision.Revision { return revision.Revision{Epoch: 1, Version: version} }
	for _, c := range []struct {
		name string
		in   plan.DecisionInput
		want plan.Reason
	}{
		{"the engine holds nothing", plan.DecisionInput{SlotAllows: true, AvailabilityAllows: true}, plan.Differs},
		{"another version of the model", plan.DecisionInput{State: plan.State{At: at(5), Role: "generate", Models: []plan.Model{{Name: "m", Version: "0"}}}, SlotAllows: true, AvailabilityAllows: true}, plan.Differs},
		{"another role", plan.DecisionInput{State: plan.State{At: at(5), Role: "encode", Models: models}, SlotAllows: true, AvailabilityAllows: true}, plan.Differs},
		{"it followed an order of an older table", plan.DecisionInput{State: plan.State{At: at(4), Role: "x"}, SlotAllows: true, AvailabilityAllows: true}, plan.Differs},
		{"same models by an order of an older table", plan.DecisionInput{State: plan.State{At: at(4), Role: "generate", Models: models}, SlotAllows: true, AvailabilityAllows: true}, plan.UpToDate},
		{"it followed an order of a newer table", plan.DecisionInput{State: plan.State{At: at(6), Role: "x"}, SlotAllows: true, AvailabilityAllows: true}, plan.NewerTable},
		{"it followed an order of a newer epoch", plan.DecisionInput{State: plan.State{At: revision.Revision{Epoch: 2, Version: 1}}, SlotAllows: true, AvailabilityAllows: true}, plan.NewerTable},
		{"it is loading the wanted models", plan.DecisionInput{State: plan.State{At: at(5), Role: "generate", Models: models, Loading: true}}, plan.Loading},
		{"second rank, soon", plan.DecisionInput{Rank: 1, DiffersFor: time.Minute, SlotAllows: true, AvailabilityAllows: true}, plan.HigherRankExpected},
		{"second rank, after the delay", plan.DecisionInput{Rank: 1, DiffersFor: 2 * time.Minute, SlotAllows: true, AvailabilityAllows: true}, plan.Differs},
		{"third rank, before twice the delay", plan.DecisionInput{Rank: 2, DiffersFor: 3 * time.Minute, SlotAllows: true, AvailabilityAllows: true}, plan.HigherRankExpected},
		{"its instance is leaving", plan.DecisionInput{InstanceLeaving: true, SlotAllows: true, AvailabilityAllows: true}, plan.InstanceLeaving},
		{"slot of another seat", plan.DecisionInput{AvailabilityAllows: true}, plan.NoStoreSlot},
		{"too many engines are loading", plan.DecisionInput{SlotAllows: true}, plan.TooManyLoading},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.in.Order = order
			NewWithT(t).Expect(plan.Decide(c.in)).To(Equal(c.want))
		})
	}
}
