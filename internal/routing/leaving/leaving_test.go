package leaving_test

// This file tests when endpoints stop getting work before their leaving date.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/routing/leaving"
	"github.com/jacinthstile/jacinthstile/internal/table/centre"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/pipeline"
	"github.com/jacinthstile/jacinthstile/internal/table/policy"
)

// TestDue guards against an endpoint still running a request at the date by which
// it must be empty, which happens if it gets work within the longest deadline
// before the date.
func TestDue(t *testing.T) {
	const longest = 8 * time.Second
	date := time.Date(2026, 6, 30, 18, 0, 0, 0, time.UTC)
	table := &fleettable.Table{
		Epoch: 1, Version: 1, Policy: &policy.Policy{Ticket: span.Span(time.Minute), Seats: 1},
		Centres: []centre.Centre{{Name: "old", Weight: 1, Leave: &date}, {Name: "new", Weight: 1}},
		Endpoints: []endpoint.Endpoint{
			{Name: "in-old", Address: "10.0.0.1:1", Centre: "old", Kind: endpoint.Pool, Role: "encode", Weight: 1},
			{Name: "in-new", Address: "10.0.0.2:1", Centre: "new", Kind: endpoint.Pool, Role: "encode", Weight: 1},
			{Name: "dated", Address: "10.0.0.3:1", Centre: "new", Kind: endpoint.Pool, Role: "encode", Weight: 1, Leave: &date},
		},
		Pipelines: []pipeline.Pipeline{{
			Name: "p", Deadline: span.Span(longest), Stages: []pipeline.Stage{{Name: "encode", Role: "encode"}},
		}},
	}
	NewWithT(t).Expect(table.Freeze()).To(Succeed())
	due := map[string]bool{"in-old": true, "dated": true}
	for _, c := range []struct {
		name string
		at   time.Duration // before the date
		want map[string]bool
	}{
		{"a day before", 24 * time.Hour, map[string]bool{}},
		{"just before the longest deadline", longest + time.Millisecond, map[string]bool{}},
		{"at the longest deadline", longest, due},
		{"after the date", -time.Hour, due},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(leaving.Due(table, date.Add(-c.at))).To(Equal(c.want))
		})
	}
}
