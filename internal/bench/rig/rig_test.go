package rig_test

// This file measures what the daemon adds to a request: the latency compared
// with calls of the same endpoints in the same order without it, and the CPU
// time per relayed token.

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
	lineBytes  = 1 << 20 // longest line of a stream
	rawBytes   = 150     // approximate size of an engine's event for one token
)

// testBed is a rig behind a listener, with stand-in endpoints.
// Engines wait for a given time before each token; pools answer at once.
type testBed struct {
	table     *fleettable.Table
	url       string
	addresses map[string]string // address of an endpoint by its role
	engines   []string          // addresses
	client    *http.Client
	endpoints *client.Client
}

func newTestBed(b *testing.B, pause time.Duration, count int) *testBed {
	l := ledger.New()
	x := &testBed{addresses: map[string]string{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}}
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
		serve("generate", engine.New(engine.Options{Name: name, Slots: streams, TokenInterval: pause}, l))
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

// direct calls the endpoints of a pipeline stage by stage, without the daemon.
func (x *testBed) direct(ctx context.Context, pipeline string, n int) error {
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

// throughDaemon runs a pipeline through the daemon and reads the whole answer.
func (x *testBed) throughDaemon(ctx context.Context, pipeline, body string) error {
	return x.post(ctx, x.url+"/v1/pipelines/"+pipeline, body)
}

// stream reads a stream from an engine without the daemon, in the same way as
// throughDaemon reads the daemon's stream.
func (x *testBed) stream(ctx context.Context, n int) error {
	body := fmt.Sprintf(`{"request":"direct-%d","stage":"generate","attempt":1,"deadline":5000,"model":%q,"prompt":"question","tokens":%d}`,
		n, rig.Model, tokens)
	return x.post(ctx, "http://"+x.engines[n%engines]+"/v1/stages", body)
}

func (x *testBed) post(ctx context.Context, url, body string) error {
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

// BenchmarkAddedLatency runs four stages alternately without and through the
// daemon, and reports both medians and their difference.
func BenchmarkAddedLatency(b *testing.B) {
	x := newTestBed(b, 0, 8)
	var direct, viaDaemon []time.Duration
	for n := 0; b.Loop(); n++ {
		start := time.Now()
		if err := x.direct(b.Context(), "four", n); err != nil {
			b.Fatal(err)
		}
		middle := time.Now()
		if err := x.throughDaemon(b.Context(), "four", `{"input":"question"}`); err != nil {
			b.Fatal(err)
		}
		direct = append(direct, middle.Sub(start))
		viaDaemon = append(viaDaemon, time.Since(middle))
	}
	d, t := median(direct), median(viaDaemon)
	b.ReportMetric(float64(d.Microseconds()), "direct-µs")
	b.ReportMetric(float64(t.Microseconds()), "daemon-µs")
	b.ReportMetric(float64((t - d).Microseconds()), "added-µs")
}

// BenchmarkTokenCPU streams tokens at a fixed rate, once directly from the
// engines and once through the daemon, to the same reader. It reports the CPU
// time that the daemon adds per token for reading, checking and writing it.
func BenchmarkTokenCPU(b *testing.B) {
	x := newTestBed(b, tokenPause, tokens)
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
	var direct, viaDaemon time.Duration
	rounds := 0
	for b.Loop() {
		direct += round(func(n int) error { return x.stream(b.Context(), n) })
		viaDaemon += round(func(int) error {
			return x.throughDaemon(b.Context(), "chat", `{"input":"question","stream":true}`)
		})
		rounds++
	}
	each := func(d time.Duration) float64 {
		return float64(d.Nanoseconds()) / 1000 / float64(rounds*streams*tokens)
	}
	b.ReportMetric(each(direct), "direct-µs/token")
	b.ReportMetric(each(viaDaemon), "daemon-µs/token")
	b.ReportMetric(each(viaDaemon-direct), "added-µs/token")
}

// BenchmarkRawRelayCPU measures the same over plain TCP connections: the CPU
// time for reading and writing a token's bytes once, without any protocol. It is
// the lower bound for BenchmarkTokenCPU on the same machine.
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
	var direct, viaDaemon time.Duration
	rounds := 0
	for b.Loop() {
		direct += round(source)
		viaDaemon += round(relay)
		rounds++
	}
	b.ReportMetric(float64((viaDaemon-direct).Nanoseconds())/1000/float64(rounds*streams*tokens), "added-µs/token")
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

// cpu returns the user and system CPU time that the process has used.
func cpu(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
