package experiment

// This file defines Report, Cell, Measured and Value.

import (
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Report is the outcome of an experiment.
type Report struct {
	Capacities []Measured `json:"capacities"`
	Cells      []*Cell    `json:"cells"`
}

// Measured is the capacity of a deployment's fakes.
type Measured struct {
	Deployment string  `json:"deployment"`
	Rate       float64 `json:"rate"` // requests a second
}

// Value is the mean over the seeds, with its least and greatest.
type Value struct {
	Mean  float64 `json:"mean"`
	Least float64 `json:"least"`
	Most  float64 `json:"most"`
}

// Stage is the cost of one role for each answered request, in the table's price of a busy second.
type Stage struct {
	Role string `json:"role"`
	Cost Value  `json:"cost"`
}

// Cell is one policy in one scenario.
type Cell struct {
	Deployment string   `json:"deployment"`
	Policy     string   `json:"policy"`
	Load       float64  `json:"load"`
	Fault      Fault    `json:"fault"`
	Attainment Value    `json:"attainment"` // share of offered requests answered in time
	Goodput    Value    `json:"goodput"`    // requests answered in time, a second
	Refused    Value    `json:"refused"`    // share refused as not run
	Late       Value    `json:"late"`       // share given up at the deadline
	Failed     Value    `json:"failed"`     // share that failed otherwise
	Others     Value    `json:"others"`     // attainment of the accounts but the hog
	Extra      Value    `json:"extra"`      // retries and hedges, as a share of first attempts
	Hedges     Value    `json:"hedges"`     // hedges, as a share of first attempts
	Wasted     Value    `json:"wasted"`     // share of busy time that gave no answer
	Cached     Value    `json:"cached"`     // share of prompt blocks found in the caches of engines
	Half       Value    `json:"half"`       // median latency of answers, in seconds
	Most       Value    `json:"most"`       // 99th percentile of it
	Cost       Value    `json:"cost"`       // of all stages, for each answered request
	Chat       Value    `json:"chat"`       // of generation, for each answered chat
	Stages     []Stage  `json:"stages"`
	Traces     []string `json:"traces,omitempty"`

	samples []sample
}

// sample is what one run of a cell gave.
type sample struct {
	attainment, goodput, refused, late, failed, others float64
	extra, hedges, wasted, cached, half, most, cost    float64
	chat                                               float64
	roles                                              []string
	costs                                              []float64
	notes                                              []string
}

func (b *bench) sample() sample {
	t := b.tally
	all := float64(max(1, t.offered))
	s := sample{
		attainment: float64(t.by[answered]) / all,
		goodput:    float64(t.by[answered]) / b.options.Length.Seconds(),
		refused:    float64(t.by[refused]) / all,
		late:       float64(t.by[late]) / all,
		failed:     float64(t.by[failed]) / all,
		others:     b.others(),
		extra:      float64(t.extra) / float64(max(1, t.first)),
		hedges:     float64(t.hedges) / float64(max(1, t.first)),
		half:       float64(t.latency.ValueAtQuantile(50)) / 1000,
		most:       float64(t.latency.ValueAtQuantile(99)) / 1000,
		notes:      t.notes,
	}
	b.costs(&s)
	return s
}

// others returns the attainment of all accounts but the one that a Hog run makes greedy.
func (b *bench) others() float64 {
	offered, got := 0, 0
	for name, n := range b.tally.accounts {
		if b.work.hog != nil && name == b.work.hog.Name {
			continue
		}
		offered += n[0]
		got += n[1]
	}
	return float64(got) / float64(max(1, offered))
}

func (b *bench) costs(s *sample) {
	var busy, wasted float64
	prompt, hits, chats := 0, 0, 0.0
	for _, w := range b.order {
		i := slices.Index(s.roles, w.Role)
		if i < 0 {
			i = len(s.roles)
			s.roles = append(s.roles, w.Role)
			s.costs = append(s.costs, 0)
		}
		s.costs[i] += w.spent.Seconds() * w.Cost
		busy += w.spent.Seconds()
		wasted += w.wasted.Seconds()
		prompt += w.prompt
		hits += w.hits
		chats += w.chats.Seconds() * w.Cost
	}
	s.chat = chats / float64(max(1, b.tally.chats))
	s.cached = float64(hits) / float64(max(1, prompt))
	s.wasted = wasted / max(busy, 1e-9)
	for i := range s.costs {
		s.costs[i] /= float64(max(1, b.tally.by[answered]))
		s.cost += s.costs[i]
	}
}

func (c *Cell) sum() {
	value := func(f func(*sample) float64) Value {
		var all []float64
		for i := range c.samples {
			all = append(all, f(&c.samples[i]))
		}
		return valueOf(all)
	}
	c.Attainment = value(func(s *sample) float64 { return s.attainment })
	c.Goodput = value(func(s *sample) float64 { return s.goodput })
	c.Refused = value(func(s *sample) float64 { return s.refused })
	c.Late = value(func(s *sample) float64 { return s.late })
	c.Failed = value(func(s *sample) float64 { return s.failed })
	c.Others = value(func(s *sample) float64 { return s.others })
	c.Extra = value(func(s *sample) float64 { return s.extra })
	c.Hedges = value(func(s *sample) float64 { return s.hedges })
	c.Wasted = value(func(s *sample) float64 { return s.wasted })
	c.Cached = value(func(s *sample) float64 { return s.cached })
	c.Half = value(func(s *sample) float64 { return s.half })
	c.Most = value(func(s *sample) float64 { return s.most })
	c.Cost = value(func(s *sample) float64 { return s.cost })
	c.Chat = value(func(s *sample) float64 { return s.chat })
	for i, role := range c.samples[0].roles {
		c.Stages = append(c.Stages, Stage{role, value(func(s *sample) float64 { return s.costs[i] })})
	}
	for i := range c.samples {
		c.Traces = append(c.Traces, c.samples[i].notes...)
	}
}

func valueOf(all []float64) Value {
	return Value{Mean: stat.Mean(all, nil), Least: slices.Min(all), Most: slices.Max(all)}
}
