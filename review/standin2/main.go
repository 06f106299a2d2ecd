//go:build review2

// Command review-2 plays the cases of the second review: it starts instances as processes of their own, between
// stand-ins for the platform's store, the servers and the clients, and checks one rule from what these see.
package main

// This file selects a case and reports its verdict.

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const caseLimit = 110 * time.Second // the scripts may run for 120 s

// verdict is the outcome of a case: the ways in which its rule was broken, empty if it was kept.
type verdict []string

var cases = map[string]func(*bed, bool) (verdict, error){}

func main() {
	name := flag.String("case", "", "case to play")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *out, os.Getenv("TROUBLE") != "0"))
}

func play(name, out string, trouble bool) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "got case %q, want one that is known\n", name)
		return exitNotRun
	}
	r, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	b, err := newBed(r)
	if err != nil {
		r.printf("the case could not run: %v", err)
		return exitNotRun
	}
	defer b.close()
	time.AfterFunc(caseLimit, func() {
		r.printf("the case could not run: not over after %s", caseLimit)
		b.close()
		os.Exit(exitNotRun)
	})
	r.printf("case %s, disruption: %t", name, trouble)
	v, err := run(b, trouble)
	for _, d := range b.daemons {
		r.printf("instance %s had at most %s resident", d.name, d.peakMemory())
		if !d.isRunning() && !d.stopped {
			err = errors.Join(err, fmt.Errorf("instance %s ended by itself; its output is in %s", d.name, filepath.Base(d.logFile)))
		}
	}
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case len(v) > 0:
		for _, line := range v {
			r.printf("BROKEN %s", line)
			fmt.Println("broken:", line)
		}
		return exitBroken
	default:
		r.printf("the rule held")
		fmt.Println("held")
		return exitHeld
	}
}
