//go:build review

// Command standin plays the cases of the review: it starts the daemons as processes, stands in
// for the platform, the workers and the clients, and judges one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment the case runs without its disruption.
package main

// This file defines bed, which holds what a case needs.

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

type bed struct {
	dir          string
	trouble      bool
	store        *store
	storeAddress string
	daemons      []*daemon
	closers      []func()
	start0       time.Time

	mu   sync.Mutex
	out  *os.File
	runs []*run
}

var cases = map[string]func(b *bed) (broken bool){
	"late":    caseLate,
	"restore": caseRestore,
	"stop":    caseStop,
	"tokens":  caseTokens,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// failure ends a case that cannot run.
type failure string

func play(run func(*bed) bool, file string) (code int) {
	out, err := os.Create(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	b := &bed{dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: newStore(), out: out, start0: time.Now()}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan int, 1)
	go func() {
		defer func() {
			if v := recover(); v != nil {
				b.record("the case could not run: %v", v)
				done <- 2
			}
		}()
		if run(b) {
			b.record("RESULT: the rule was broken")
			done <- 1
			return
		}
		b.record("RESULT: the rule held")
		done <- 0
	}()
	select {
	case code = <-done:
	case <-signals:
		code = 2
	case <-time.After(115 * time.Second):
		b.record("the case could not run: it took too long")
		code = 2
	}
	b.stopAll()
	for _, f := range b.closers {
		f()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		b.keepLogs(keep)
	}
	os.RemoveAll(dir)
	b.mu.Lock()
	b.out.Close()
	b.out = nil
	b.mu.Unlock()
	return code
}

// keepLogs copies the daemons' logs to a folder.
func (b *bed) keepLogs(to string) {
	for _, d := range b.daemons {
		in, err := os.Open(filepath.Join(b.dir, d.name+".log"))
		if err != nil {
			continue
		}
		if out, err := os.Create(filepath.Join(to, d.name+".log")); err == nil {
			io.Copy(out, in)
			out.Close()
		}
		in.Close()
	}
}

// record writes one line to the record, with the time since the start.
func (b *bed) record(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.out != nil {
		fmt.Fprintf(b.out, "%8.3f  %s\n", time.Since(b.start0).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (b *bed) fail(format string, args ...any) { panic(failure(fmt.Sprintf(format, args...))) }

// begin records that a worker begins to work on a request.
func (b *bed) begin(w *worker, id string) *run {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &run{worker: w.id, id: id, began: time.Now()}
	b.runs = append(b.runs, r)
	return r
}

func (b *bed) end(r *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.ended = time.Now()
}

// runsOf returns the runs by request id.
func (b *bed) runsOf() map[string][]run {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := map[string][]run{}
	for _, r := range b.runs {
		m[r.id] = append(m[r.id], *r)
	}
	return m
}

// since returns a time in seconds since the start, as the record has them.
func (b *bed) since(t time.Time) float64 { return t.Sub(b.start0).Seconds() }
