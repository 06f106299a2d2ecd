package rig_test

// This file measures what the daemon adds to a request: latency over calling
// the same endpoints directly in the same order, and CPU for a relayed token.

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/bench/rig"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/stagecall"
	"github.com/jacinthstile/jacinthstile/internal/flow/runner"
	"github.com/jacinthstile/jacinthstile/internal/standin/engine"
	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
	"github.com/jacinthstile/jacinthstile/internal/standin/pool"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

const (
	engines    = 8
	streams    = 32
	tokens     = 200
	tokenPause = 2 * time.Millisecond
	lineBytes  = 1 << 20
	rawBytes   = 150 // about what an engine sends for a token
)

// bed is a rig behind a listener, with stand-ins that answer at once.
type bed struct {
	table     *fleettable.Table
	url       string
	addresses map[string]string // of an endpoint of each role
	engines   []string
	client    *http.Client
	endpoints *client.Client
}

func newBed(b *testing.B, pause time.Duration, count int) *bed {
	l := ledger.New()
	x := &bed{addresses: map[string]string{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}}
	serve := func(role string, h http.Handler) {
		s := httptest.NewServer(h)
		b.Cleanup(s.Close)
		x.addresses[role] = s.Listener.Addr().String()
	}
	for _, role := range []string{"encode", "retrieve", "rerank"} {
		serve(role, pool.New(pool.Options{Name: role, Slots: streams}, l))
	}
	rows := []endpoint.Endpoint{
		rig.Pool("encode", x.addresses["encode"], "encode"),
		rig.Pool("retrieve", x.addresses["retrieve"], "retrieve"),
		rig.Pool("rerank", x.addresses["rerank"], "rerank"),
	}
	for n := range engines {
		name := fmt.Sprintf("generate-%d", n)
		serve("generate", engine.New(engine.Options{Name: name, Slots: streams, Token: pause}, l))
		x.engines = append(x.engines, x.addresses["generate"])
		rows = append(rows, rig.Engine(name, x.addresses["generate"]))
	}
	x.table = rig.Table(rows...)
	x.table.Pipelines[0].Stages[0].Tokens = count
	if err := x.table.Freeze(); err != nil {
		b.Fatal(err)
	}
	r, closeRig := rig.New(x.table, logr.Discard())
	b.Cleanup(closeRig)
	front := httptest.NewServer(r.Caller)
	b.Cleanup(front.Close)
	x.url = front.URL
	endpoints, closeClient := client.New()
	b.Cleanup(closeClient)
	x.endpoints = endpoints
	return x
}

// direct calls the endpoints of a pipeline in its order.
func (x *bed) direct(ctx context.Context, pipeline string, n int) error {
	prompt := "question"
	for _, s := range x.table.Pipeline(pipeline).Stages {
		address := x.addresses[s.Role]
		if s.Model != "" {
			address = x.engines[n%engines]
		}
		answer, err := x.endpoints.CallStage(ctx, address, stagecall.Call{
			RequestID: fmt.Sprintf("direct-%d", n), Stage: s.Name, Attempt: 1, Deadline: time.Now().Add(5 * time.Second),
			Model: s.Model, Prompt: prompt, MaxTokens: s.Tokens,
		}, nil)
		if err != nil {
			return err
		}
		prompt = runner.ExtendPrompt(prompt, s.Name, answer.Output)
	}
	return nil
}

// ask runs a pipeline through the daemon and reads the whole answer.
func (x *bed) ask(ctx context.Context, pipeline, body string) error {
	return x.post(ctx, x.url+"/v1/pipelines/"+pipeline, body)
}

// stream reads the stream of an engine as a caller reads the daemon's.
func (x *bed) stream(ctx context.Context, n int) error {
	body := fmt.Sprintf(`{"request":"direct-%d","stage":"generate","attempt":1,"deadline":5000,"model":%q,"prompt":"question","tokens":%d}`,
		n, rig.Model, tokens)
	return x.post(ctx, "http://"+x.engines[n%engines]+"/v1/stages", body)
}

func (x *bed) post(ctx context.Context, url, body string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+rig.Key)
	resp, err := x.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, lineBytes)
	for lines.Scan() {
		if bytes.Contains(lines.Bytes(), []byte(`"error"`)) {
			return fmt.Errorf("got %s", lines.Text())
		}
	}
	return lines.Err()
}

func median(all []time.Duration) time.Duration {
	slices.Sort(all)
	return all[len(all)/2]
}

// BenchmarkAddedLatency calls four stages directly and through the daemon by
// turns, and reports both medians and their difference.
func BenchmarkAddedLatency(b *testing.B) {
	x := newBed(b, 0, 8)
	var straight, through []time.Duration
	for n := 0; b.Loop(); n++ {
		start := time.Now()
		if err := x.direct(b.Context(), "four", n); err != nil {
			b.Fatal(err)
		}
		middle := time.Now()
		if err := x.ask(b.Context(), "four", `{"input":"question"}`); err != nil {
			b.Fatal(err)
		}
		straight = append(straight, middle.Sub(start))
		through = append(through, time.Since(middle))
	}
	d, t := median(straight), median(through)
	b.ReportMetric(float64(d.Microseconds()), "direct-µs")
	b.ReportMetric(float64(t.Microseconds()), "daemon-µs")
	b.ReportMetric(float64((t - d).Microseconds()), "added-µs")
}

// BenchmarkTokenCPU streams tokens at a steady pace from the engines and through
// the daemon, to the same reader, and reports the CPU that the daemon adds for
// each token: reading, checking and writing it.
func BenchmarkTokenCPU(b *testing.B) {
	x := newBed(b, tokenPause, tokens)
	round := func(one func(n int) error) time.Duration {
		start := cpu(b)
		var wg sync.WaitGroup
		for n := range streams {
			wg.Go(func() {
				if err := one(n); err != nil {
					b.Error(err)
				}
			})
		}
		wg.Wait()
		return cpu(b) - start
	}
	var straight, through time.Duration
	rounds := 0
	for b.Loop() {
		straight += round(func(n int) error { return x.stream(b.Context(), n) })
		through += round(func(int) error {
			return x.ask(b.Context(), "chat", `{"input":"question","stream":true}`)
		})
		rounds++
	}
	each := func(d time.Duration) float64 {
		return float64(d.Nanoseconds()) / 1000 / float64(rounds*streams*tokens)
	}
	b.ReportMetric(each(straight), "direct-µs/token")
	b.ReportMetric(each(through), "daemon-µs/token")
	b.ReportMetric(each(through-straight), "added-µs/token")
}

// BenchmarkRawRelayCPU does the same with bare connections: what reading and
// writing a token's bytes once costs on this machine without any protocol.
func BenchmarkRawRelayCPU(b *testing.B) {
	source := serveRaw(b, func(c net.Conn) {
		line := bytes.Repeat([]byte("x"), rawBytes)
		for range tokens {
			time.Sleep(tokenPause)
			if _, err := c.Write(line); err != nil {
				return
			}
		}
	})
	relay := serveRaw(b, func(c net.Conn) {
		up, err := net.Dial("tcp", source)
		if err != nil {
			return
		}
		defer up.Close()
		io.CopyBuffer(struct{ io.Writer }{c}, struct{ io.Reader }{up}, make([]byte, 4<<10))
	})
	round := func(address string) time.Duration {
		start := cpu(b)
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				c, err := net.Dial("tcp", address)
				if err != nil {
					b.Error(err)
					return
				}
				defer c.Close()
				io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{c}, make([]byte, 4<<10))
			})
		}
		wg.Wait()
		return cpu(b) - start
	}
	var straight, through time.Duration
	rounds := 0
	for b.Loop() {
		straight += round(source)
		through += round(relay)
		rounds++
	}
	b.ReportMetric(float64((through-straight).Nanoseconds())/1000/float64(rounds*streams*tokens), "added-µs/token")
}

func serveRaw(b *testing.B, h func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				h(c)
			}()
		}
	}()
	return l.Addr().String()
}

// cpu returns the user and system time that the process has used.
func cpu(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
