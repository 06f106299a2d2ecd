package load

// This file defines Plan and its rules.

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

// Plan is what a run of load sends, and where.
type Plan struct {
	URLs     []string  `json:"urls"` // of the callers' listeners; taken in turn
	Accounts []Account `json:"accounts"`
	Mix      []Request `json:"mix"`
	Steps    []Step    `json:"steps"`
	Bursts   []Burst   `json:"bursts"`
	Deadline span.Span `json:"deadline"` // of each request
	Flight   int       `json:"flight"`   // most requests in flight; arrivals beyond are counted as skipped
	Seed     uint64    `json:"seed"`
}

// Account is a client account with its share of the requests.
type Account struct {
	Key    string  `json:"key"` // bearer key
	Weight float64 `json:"weight"`
}

// Request is one kind of request with its share.
type Request struct {
	Kind   string  `json:"kind"`
	Name   string  `json:"name"`
	Path   string  `json:"path,omitempty"`
	Method string  `json:"method,omitempty"` // GET for a call, POST for an order
	Weight float64 `json:"weight"`
	Input  int     `json:"input,omitempty"`  // bytes of input
	Tokens int     `json:"tokens,omitempty"` // most tokens to generate; 0 for the table's own
	Stream bool    `json:"stream,omitempty"`
}

// Step is a time of constant offered load.
type Step struct {
	Rate   float64   `json:"rate"` // requests a second
	Length span.Span `json:"length"`
}

// Burst multiplies the rate for a time.
type Burst struct {
	At     span.Span `json:"at"` // from the start of the run
	Length span.Span `json:"length"`
	Factor float64   `json:"factor"`
}

// Defaults of a plan.
const (
	defaultDeadline = 8 * time.Second
	defaultFlight   = 4096
	defaultInput    = 200 // bytes
)

// ReadPlan reads a plan from a file and checks it. Unknown fields are refused.
func ReadPlan(path string) (Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, fmt.Errorf("reading plan: %w", err)
	}
	p := Plan{Deadline: span.Span(defaultDeadline), Flight: defaultFlight}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return Plan{}, fmt.Errorf("parsing plan: %w", err)
	}
	return p, nil
}

// Check returns every value at fault as a problem.List, or nil.
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
	if p.Flight < 1 {
		list.Add("plan", "flight", p.Flight, "1 or more")
	}
	p.checkShares(&list)
	p.checkTimes(&list)
	return list.Err()
}

func (p Plan) checkShares(list *problem.List) {
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

func (p Plan) checkTimes(list *problem.List) {
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
