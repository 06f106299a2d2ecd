// Package demo drives a fleet of daemons with a mix of requests and checks the
// promises to callers from what the stand-ins counted.
package demo

// This file defines Demo and its run.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/examples"
	"github.com/jacinthstile/jacinthstile/internal/bench/fleet"
	"github.com/jacinthstile/jacinthstile/internal/flow/runner"
	"github.com/jacinthstile/jacinthstile/internal/standin/answer"
	"github.com/jacinthstile/jacinthstile/internal/table/pipeline"
	"github.com/jacinthstile/jacinthstile/internal/table/sheet"
)

// Options chooses the run.
type Options struct {
	Deployment string // a folder of the examples
	Requests   int
	Seed       uint64
	Daemons    int
	Workers    int // requests under way at once
}

// Result is what a run showed.
type Result struct {
	Requests int      `json:"requests"`
	Answered int      `json:"answered"` // whole and within the deadline
	Refused  int      `json:"refused"`
	Lost     int      `json:"lost"`    // wrong, missing or cut answers
	Doubled  int      `json:"doubled"` // non-idempotent calls that ran more than once
	Broken   []string `json:"broken,omitempty"`
}

// Run starts a fleet, drives it and returns what was seen.
func Run(ctx context.Context, o Options, log logr.Logger) (Result, error) {
	data, err := examples.Files.ReadFile(o.Deployment + "/table.json")
	if err != nil {
		return Result{}, fmt.Errorf("reading deployment %q: %w", o.Deployment, err)
	}
	table, err := sheet.Parse(data)
	if err != nil {
		return Result{}, err
	}
	f, stop, err := fleet.New(ctx, table, o.Daemons, log)
	if err != nil {
		return Result{}, err
	}
	defer stop()
	d := &driver{fleet: f, table: table, http: &http.Client{}}
	d.drive(ctx, o)
	d.result.Requests = o.Requests
	d.check()
	return d.result, nil
}

type driver struct {
	fleet *fleet.Fleet
	table *sheet.Sheet
	http  *http.Client

	mu     sync.Mutex
	result Result
}

func (d *driver) drive(ctx context.Context, o Options) {
	work := make(chan uint64)
	var wg sync.WaitGroup
	for range o.Workers {
		wg.Go(func() {
			for n := range work {
				d.one(ctx, rand.New(rand.NewPCG(o.Seed, n)), n)
			}
		})
	}
	for n := range o.Requests {
		work <- uint64(n)
	}
	close(work)
	wg.Wait()
}

func (d *driver) one(ctx context.Context, rng *rand.Rand, n uint64) {
	base := "http://" + d.fleet.Daemons[n%uint64(len(d.fleet.Daemons))].CallerAddress()
	if rng.IntN(4) == 0 {
		d.book(ctx, base, n)
		return
	}
	p := &d.table.Pipelines[rng.IntN(len(d.table.Pipelines))]
	d.pipeline(ctx, base, p, fmt.Sprintf("question %d", n))
}

func (d *driver) pipeline(ctx context.Context, base string, p *pipeline.Pipeline, input string) {
	body, _ := json.Marshal(map[string]string{"input": input})
	status, header, data, err := d.post(ctx, base+"/v1/pipelines/"+p.Name, "", body)
	if err != nil || status != http.StatusOK {
		d.count(status, false)
		return
	}
	var out struct{ Output string }
	ok := json.Unmarshal(data, &out) == nil
	d.count(status, ok && out.Output == expected(header.Get("Jacinthstile-Request"), p, input))
}

// expected works out the answer that a request must get.
func expected(request string, p *pipeline.Pipeline, input string) string {
	prompt, out := input, ""
	for _, s := range p.Stages {
		if s.Tokens > 0 {
			out = answer.Text(request, s.Name, prompt, s.Tokens)
		} else {
			out = answer.Pool(request, s.Name, prompt)
		}
		prompt = runner.Extend(prompt, s.Name, out)
	}
	return out
}

// book makes a non-idempotent call with a ticket.
func (d *driver) book(ctx context.Context, base string, n uint64) {
	status, _, data, err := d.post(ctx, base+"/v1/tickets", "", nil)
	var t struct{ Ticket string }
	if err != nil || status != http.StatusCreated || json.Unmarshal(data, &t) != nil {
		d.count(status, false)
		return
	}
	svc := d.table.Services[0]
	body := fmt.Appendf(nil, `{"slot":%d}`, n)
	status, header, data, err := d.post(ctx, base+"/v1/services/"+svc.Name+svc.Operations[0].Path, t.Ticket, body)
	var out struct{ Request, Body string }
	ok := err == nil && json.Unmarshal(data, &out) == nil
	d.count(status, ok && out.Body == string(body) && out.Request == header.Get("Jacinthstile-Request"))
}

func (d *driver) post(ctx context.Context, url, ticket string, body []byte) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	req.Header.Set("Authorization", "Bearer key-"+d.table.Accounts[0].Name)
	if ticket != "" {
		req.Header.Set("Jacinthstile-Ticket", ticket)
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, data, err
}

func (d *driver) count(status int, whole bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case status >= 400:
		d.result.Refused++
	case whole:
		d.result.Answered++
	default:
		d.result.Lost++
	}
}

// check compares the promises with the ledger.
func (d *driver) check() {
	runs := map[string]int{}
	for _, e := range d.fleet.Ledger.Entries() {
		if e.Attempt == 0 {
			runs[e.Request]++
		}
	}
	for _, n := range runs {
		if n > 1 {
			d.result.Doubled++
		}
	}
	if d.result.Lost > 0 {
		d.result.Broken = append(d.result.Broken, fmt.Sprintf("%d answers were not whole", d.result.Lost))
	}
	if d.result.Doubled > 0 {
		d.result.Broken = append(d.result.Broken, fmt.Sprintf("%d non-idempotent calls ran twice", d.result.Doubled))
	}
}
