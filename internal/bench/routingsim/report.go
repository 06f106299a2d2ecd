package routingsim

// This file defines Report, Cell, MeasuredCapacity, Value and StageCost.

import (
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Report holds the results of an experiment.
type Report struct {
	Capacities []MeasuredCapacity `json:"capacities"`
	Cells      []*Cell            `json:"cells"`
}

// MeasuredCapacity is the capacity of a deployment's simulated endpoints.
type MeasuredCapacity struct {
	Deployment string  `json:"deployment"`
	Rate       float64 `json:"rate"` // requests a second
}

// Value is the mean, minimum and maximum of a figure over the seeds.
type Value struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"least"`
	Max  float64 `json:"most"`
}

// StageCost is the cost of one role for each answered request. The unit is the
// table's price of a busy second.
type StageCost struct {
	Role string `json:"role"`
	Cost Value  `json:"cost"`
}

// Cell holds the results of one policy in one scenario.
type Cell struct {
	Deployment       string      `json:"deployment"`
	Policy           string      `json:"policy"`
	Load             float64     `json:"load"`
	Fault            Fault       `json:"fault"`
	Attainment       Value       `json:"attainment"` // share of the offered requests that were answered within the deadline
	Goodput          Value       `json:"goodput"`    // requests answered within the deadline, per second
	Refused          Value       `json:"refused"`    // share of the requests that were refused without being run
	Late             Value       `json:"late"`       // share of the requests that expired at their deadline
	Failed           Value       `json:"failed"`     // share of the requests that failed for another reason
	OthersAttainment Value       `json:"others"`     // attainment of all accounts but the noisy one
	ExtraAttempts    Value       `json:"extra"`      // retries and hedges, as a share of first attempts
	Hedges           Value       `json:"hedges"`     // hedges, as a share of first attempts
	WastedBusy       Value       `json:"wasted"`     // share of the endpoints' busy time whose result was not used
	CachedBlocks     Value       `json:"cached"`     // share of the prompt blocks that were found in the engine's cache
	MedianLatency    Value       `json:"half"`       // median latency of answered requests, in seconds
	P99Latency       Value       `json:"most"`       // 99th percentile of the latency of answered requests, in seconds
	Cost             Value       `json:"cost"`       // cost of all stages for each answered request
	ChatCost         Value       `json:"chat"`       // cost of generation for each answered chat
	StageCosts       []StageCost `json:"stages"`
	Traces           []string    `json:"traces,omitempty"` // traces of requests that were not answered

	results []result // one for each seed
}

// result holds the figures of one run. They have the meaning and units of the fields
// of Cell. roleCosts are in the order of roles.
type result struct {
	attainment, goodput, refused, late, failed, othersAttainment                     float64
	extraAttempts, hedges, wastedBusy, cachedBlocks, medianLatency, p99Latency, cost float64
	chatCost                                                                         float64
	roles                                                                            []string
	roleCosts                                                                        []float64
	traces                                                                           []string
}

// result returns the figures of the run.
func (s *simulation) result() result {
	c := s.counters
	all := float64(max(1, c.offered))
	r := result{
		attainment:       float64(c.byOutcome[answered]) / all,
		goodput:          float64(c.byOutcome[answered]) / s.options.Length.Seconds(),
		refused:          float64(c.byOutcome[refused]) / all,
		late:             float64(c.byOutcome[late]) / all,
		failed:           float64(c.byOutcome[failed]) / all,
		othersAttainment: s.others(),
		extraAttempts:    float64(c.extraAttempts) / float64(max(1, c.firstAttempts)),
		hedges:           float64(c.hedges) / float64(max(1, c.firstAttempts)),
		medianLatency:    float64(c.latency.ValueAtQuantile(50)) / 1000,
		p99Latency:       float64(c.latency.ValueAtQuantile(99)) / 1000,
		traces:           c.traces,
	}
	s.costs(&r)
	return r
}

// others returns the attainment of all accounts but the noisy one.
func (s *simulation) others() float64 {
	offered, inTime := 0, 0
	for name, n := range s.counters.accounts {
		if s.workload.noisyAccount != nil && name == s.workload.noisyAccount.Name {
			continue
		}
		offered += n[0]
		inTime += n[1]
	}
	return float64(inTime) / float64(max(1, offered))
}

// costs sets the figures of a result that derive from the endpoints' busy time and
// prefix caches.
func (s *simulation) costs(r *result) {
	var busy, wasted float64
	promptBlocks, cachedBlocks, chatCost := 0, 0, 0.0
	for _, ep := range s.endpointList {
		i := slices.Index(r.roles, ep.Role)
		if i < 0 {
			i = len(r.roles)
			r.roles = append(r.roles, ep.Role)
			r.roleCosts = append(r.roleCosts, 0)
		}
		r.roleCosts[i] += ep.busyTime.Seconds() * ep.Cost
		busy += ep.busyTime.Seconds()
		wasted += ep.wastedTime.Seconds()
		promptBlocks += ep.promptBlocks
		cachedBlocks += ep.cachedBlocks
		chatCost += ep.chatTime.Seconds() * ep.Cost
	}
	r.chatCost = chatCost / float64(max(1, s.counters.answeredChats))
	r.cachedBlocks = float64(cachedBlocks) / float64(max(1, promptBlocks))
	r.wastedBusy = wasted / max(busy, 1e-9)
	for i := range r.roleCosts {
		r.roleCosts[i] /= float64(max(1, s.counters.byOutcome[answered]))
		r.cost += r.roleCosts[i]
	}
}

// aggregate sets the figures of the cell from the results of its seeds.
func (c *Cell) aggregate() {
	value := func(f func(*result) float64) Value {
		var all []float64
		for i := range c.results {
			all = append(all, f(&c.results[i]))
		}
		return valueOf(all)
	}
	c.Attainment = value(func(r *result) float64 { return r.attainment })
	c.Goodput = value(func(r *result) float64 { return r.goodput })
	c.Refused = value(func(r *result) float64 { return r.refused })
	c.Late = value(func(r *result) float64 { return r.late })
	c.Failed = value(func(r *result) float64 { return r.failed })
	c.OthersAttainment = value(func(r *result) float64 { return r.othersAttainment })
	c.ExtraAttempts = value(func(r *result) float64 { return r.extraAttempts })
	c.Hedges = value(func(r *result) float64 { return r.hedges })
	c.WastedBusy = value(func(r *result) float64 { return r.wastedBusy })
	c.CachedBlocks = value(func(r *result) float64 { return r.cachedBlocks })
	c.MedianLatency = value(func(r *result) float64 { return r.medianLatency })
	c.P99Latency = value(func(r *result) float64 { return r.p99Latency })
	c.Cost = value(func(r *result) float64 { return r.cost })
	c.ChatCost = value(func(r *result) float64 { return r.chatCost })
	for i, role := range c.results[0].roles {
		c.StageCosts = append(c.StageCosts, StageCost{role, value(func(r *result) float64 { return r.roleCosts[i] })})
	}
	for i := range c.results {
		c.Traces = append(c.Traces, c.results[i].traces...)
	}
}

func valueOf(all []float64) Value {
	return Value{Mean: stat.Mean(all, nil), Min: slices.Min(all), Max: slices.Max(all)}
}
