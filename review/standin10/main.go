//go:build review2

// Command standin10 plays case 10 of the second review: it starts the daemons of a small deployment beside
// stand-ins of the platform's store, two booking services and their clients, and checks by which service
// bookings are run after the manifest has moved their route from one to the other.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

// This file plays the case and judges it.

import (
	_ "embed"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"
)

// The day. The bounds are those of the settings.
const (
	numDaemons  = 3
	numServers  = 3  // of each service
	bookingRate = 30 // a second
	silenceAt   = 8 * time.Second
	changeAfter = 300 * time.Millisecond // the silence
	traffic     = 22 * time.Second
	settle      = 4 * time.Second // after the traffic, for what is still under way
	configApply = 2000 * time.Millisecond
	contact     = 3000 * time.Millisecond
)

//go:embed names.txt
var nameList string

// names are the platform's names, by a word for each.
var names = readNames(nameList)

func readNames(text string) map[string]string {
	list := make(map[string]string)
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		word, name, _ := strings.Cut(line, " = ")
		list[word] = name
	}
	return list
}

func main() {
	trouble := flag.Bool("trouble", true, "let open channels to the store go silent")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	daemon := flag.String("daemon", "target/jacinthstiled", "program of a daemon")
	phase := flag.Duration("phase", 50*time.Millisecond, "time from the begin of a watch until the channels are silent")
	flag.Parse()
	status, err := play(*trouble, *path, *daemon, *phase)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		status = 2
	}
	os.Exit(status)
}

func play(trouble bool, path, program string, phase time.Duration) (status int, err error) {
	r, err := newRecord(path)
	if err != nil {
		return 2, err
	}
	defer r.close()
	b, err := newBed(r, program)
	if err != nil {
		return 2, err
	}
	defer b.close()
	if err := b.start(); err != nil {
		return 2, err
	}
	start := time.Now()
	clients := make(chan []*booking)
	go func() { clients <- runClients(b, start) }()
	time.Sleep(time.Until(start.Add(silenceAt)))
	silent := time.Now()
	if trouble {
		if silent, err = b.silence(phase); err != nil {
			return 2, err
		}
	}
	time.Sleep(time.Until(silent.Add(changeAfter)))
	confirmed := b.moveRoute()
	sent := <-clients
	time.Sleep(settle)
	if trouble {
		silent = silent.Add(contact)
	}
	return judge(r, sent, b.runs(), silent, confirmed), nil
}

// booking is a request as its client made it.
type booking struct {
	id      string
	daemon  *daemon
	sent    time.Time
	outcome string
}

// runClients sends bookings at a fixed rate to the daemons that are ready, and returns all of them once each is answered.
func runClients(b *bed, start time.Time) []*booking {
	var sent []*booking
	var wait sync.WaitGroup
	for i := range int(traffic.Seconds() * bookingRate) {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / bookingRate)))
		ready := b.inRotation()
		k := &booking{id: fmt.Sprintf("%016x", i+1), daemon: ready[rand.IntN(len(ready))]}
		sent = append(sent, k)
		wait.Add(1)
		go func() {
			defer wait.Done()
			k.send(b.record)
		}()
	}
	wait.Wait()
	return sent
}

// judge reports 1 if a booking that was sent later than configApply after the confirmation, to a daemon in touch, was run by
// the first service. All daemons are in touch from the given time on.
func judge(r *record, sent []*booking, runs []run, inTouch, confirmed time.Time) int {
	byID := make(map[string]*booking)
	outcomes := make(map[string]int)
	for _, k := range sent {
		byID[k.id] = k
		outcomes[k.outcome]++
	}
	late, second, latest := 0, 0, time.Duration(0)
	for _, x := range runs {
		k := byID[x.id]
		if k == nil {
			r.line("check", x.id, "ran, and no client sent it")
			return 2
		}
		if x.service == secondService {
			second++
			continue
		}
		after := k.sent.Sub(confirmed)
		latest = max(latest, after)
		if after > configApply && k.sent.After(inTouch) {
			late++
			r.line("check", x.id, fmt.Sprintf("was sent to %s %.3f s after the confirmation, and run by %s", k.daemon.name, after.Seconds(), x.service))
		}
	}
	r.line("check", "", fmt.Sprintf("outcomes %v; %d of %d runs by the second service; the last booking that the first one ran was sent %.3f s after the confirmation, %.3f s allowed; %d were too late and sent to daemons in touch",
		outcomes, second, len(runs), latest.Seconds(), configApply.Seconds(), late))
	if second == 0 || 10*outcomes["200"] < 9*len(sent) {
		r.line("check", "", "too few were answered for a sound play")
		return 2
	}
	if late > 0 {
		return 1
	}
	return 0
}
