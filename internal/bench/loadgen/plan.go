package loadgen

// This file defines Plan and its validation.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/table/problem"
)

// Kinds of request.
const (
	Pipeline = "pipeline" // Name is the pipeline
	Chat     = "chat"     // Name is the model
	Call     = "call"     // an idempotent call: Name is the service, Path the path
	Order    = "order"    // a non-idempotent call under a ticket: Name is the service, Path the path
)

// Plan describes a run: the requests, their rates over time, and the daemons that they are sent to.
type Plan struct {
	URLs        []string  `json:"urls"` // base URLs of the daemons' listeners for callers; requests go to them in turn
	Accounts    []Account `json:"accounts"`
	Mix         []Request `json:"mix"`
	Steps       []Step    `json:"steps"`
	Bursts      []Burst   `json:"bursts"`
	Deadline    span.Span `json:"deadline"` // of each request, from the time at which it is due
	MaxInFlight int       `json:"flight"`   // maximum number of requests in flight; further arrivals count as skipped
	Seed        uint64    `json:"seed"`
}

// Account is a client account and its weight: its share of the requests in proportion to the sum of all weights.
type Account struct {
	Key    string  `json:"key"` // bearer key
	Weight float64 `json:"weight"`
}

// Request is one kind of request and its weight in the mix.
type Request struct {
	Kind   string  `json:"kind"`
	Name   string  `json:"name"`
	Path   string  `json:"path,omitempty"`
	Method string  `json:"method,omitempty"` // default: GET for a call, POST for an order
	Weight float64 `json:"weight"`
	Input  int     `json:"input,omitempty"`  // bytes of input; 0 for the default
	Tokens int     `json:"tokens,omitempty"` // maximum number of tokens to generate; 0 for the number in the table
	Stream bool    `json:"stream,omitempty"`
}

// Step is a period of constant offered load.
type Step struct {
	Rate   float64   `json:"rate"` // mean requests a second
	Length span.Span `json:"length"`
}

// Burst is a period in which the rate is multiplied by a factor.
type Burst struct {
	At     span.Span `json:"at"` // from the start of the run
	Length span.Span `json:"length"`
	Factor float64   `json:"factor"`
}

// Defaults of a plan.
const (
	defaultDeadline    = 8 * time.Second
	defaultMaxInFlight = 4096
	defaultInputBytes  = 200
)

// ReadPlan reads a plan from a JSON file and sets the defaults. Unknown fields are an error. It does not check the
// values; New does.
func ReadPlan(path string) (Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, fmt.Errorf("reading plan: %w", err)
	}
	p := Plan{Deadline: span.Span(defaultDeadline), MaxInFlight: defaultMaxInFlight}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return Plan{}, fmt.Errorf("parsing plan: %w", err)
	}
	return p, nil
}

// Check returns a problem.List with every invalid value, or nil.
func (p Plan) Check() error {
	var list problem.List
	if len(p.URLs) == 0 {
		list.Add("plan", "urls", 0, "1 or more")
	}
	for i, text := range p.URLs {
		if u, err := url.Parse(text); err != nil || u.Host == "" {
			list.Add("plan", fmt.Sprintf("urls[%d]", i), text, "a URL such as http://10.0.0.5:8080")
		}
	}
	if p.Deadline <= 0 {
		list.Add("plan", "deadline", p.Deadline, "more than 0s")
	}
	if p.MaxInFlight < 1 {
		list.Add("plan", "flight", p.MaxInFlight, "1 or more")
	}
	p.checkWeights(&list)
	p.checkPeriods(&list)
	return list.Err()
}

// checkWeights checks the accounts and the mix.
func (p Plan) checkWeights(list *problem.List) {
	var accounts, mix float64
	for i, a := range p.Accounts {
		accounts += a.Weight
		if a.Key == "" || a.Weight < 0 {
			list.Add("plan", fmt.Sprintf("accounts[%d]", i), a.Weight, "a key, and a weight of 0 or more")
		}
	}
	for i, r := range p.Mix {
		mix += r.Weight
		switch r.Kind {
		case Pipeline, Chat, Call, Order:
		default:
			list.Add("plan", fmt.Sprintf("mix[%d].kind", i), r.Kind, "pipeline, chat, call or order")
		}
		if r.Name == "" || r.Weight < 0 {
			list.Add("plan", fmt.Sprintf("mix[%d]", i), r.Weight, "a name, and a weight of 0 or more")
		}
	}
	if accounts <= 0 {
		list.Add("plan", "accounts", accounts, "weights above 0 in all")
	}
	if mix <= 0 {
		list.Add("plan", "mix", mix, "weights above 0 in all")
	}
}

// checkPeriods checks the steps and bursts.
func (p Plan) checkPeriods(list *problem.List) {
	if len(p.Steps) == 0 {
		list.Add("plan", "steps", 0, "1 or more")
	}
	for i, s := range p.Steps {
		if s.Rate < 0 || s.Length <= 0 {
			list.Add("plan", fmt.Sprintf("steps[%d]", i), s.Rate, "a rate of 0 or more, and a length above 0s")
		}
	}
	for i, b := range p.Bursts {
		if b.Factor < 0 || b.Length <= 0 || b.At < 0 {
			list.Add("plan", fmt.Sprintf("bursts[%d]", i), b.Factor, "a factor of 0 or more, and a length above 0s")
		}
	}
}
