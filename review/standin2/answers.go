//go:build review2

package main

// This file has the cases of a burst of long requests, which takes all memory that an instance has for requests.

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["answers"], cases["heads"] = answers, heads }

const (
	bookHost   = "jepu9.example"
	reportHost = "pule25.example"

	usualTime   = 9 * time.Second // before the burst; the load is level after the time that a report takes
	burstTime   = 5900 * time.Millisecond
	afterTime   = 6 * time.Second
	burstTenths = 26 // of the usual number of reports, in the burst

	reportEvery  = 8500 * time.Microsecond // between two reports
	reportTime   = 8 * time.Second
	reportEvents = 35
	bookEvery    = 35 * time.Millisecond // between two bookings; 29 a second
	bookBytes    = 18_000
	bookAnswer   = 4800                  // bytes
	noteEvery    = 20 * time.Millisecond // between two short bookings; 50 a second
	noteBytes    = 3600                  // the largest body of a booking in the site file
	noteAnswer   = 800                   // bytes
	deskTime     = 60 * time.Millisecond
)

// reportBytes are the bodies of reports, in turn; on the sheet they have 18 kB in the mean and 110 kB at most.
var reportBytes = []int{66 << 10, 66 << 10, 18 << 10, 66 << 10, 4 << 10}

// burst is the traffic of a case: reports, of which 2.6 times as many come in the burst, and other requests.
type burst struct {
	*bed
	desks []*server

	mu       sync.Mutex
	statuses map[string]int // of all attempts, by client and status
	others   []outcome      // of the other requests
}

// playBurst sends a report every reportEvery, and another request by the function other every otherEvery.
func playBurst(b *bed, trouble bool, answerBytes int, otherEvery time.Duration, other func(address string) outcome) (*burst, error) {
	t := &burst{bed: b, statuses: make(map[string]int)}
	if err := t.start(answerBytes); err != nil {
		return nil, err
	}
	var clients sync.WaitGroup
	start := time.Now()
	flow := func(every func() time.Duration, f func()) {
		clients.Go(func() {
			for time.Since(start) < usualTime+burstTime+afterTime {
				clients.Go(f)
				time.Sleep(every())
			}
		})
	}
	address := b.daemons[0].front
	var sent atomic.Int64
	flow(func() time.Duration {
		if at := time.Since(start); trouble && at >= usualTime && at < usualTime+burstTime {
			return reportEvery * 10 / burstTenths
		}
		return reportEvery
	}, func() {
		bytes := reportBytes[sent.Add(1)%int64(len(reportBytes))]
		t.add("report", send(address, "POST", reportHost, "/report/x", newID("report"), bytes, 20*time.Second))
	})
	flow(func() time.Duration { return otherEvery }, func() {
		o := other(address)
		t.add("other", o)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.others = append(t.others, o)
	})
	clients.Wait()
	time.Sleep(time.Second) // for requests that run later
	b.printf("answers by client and status: %v", t.statuses)
	if t.statuses["other 200"] == 0 {
		return nil, fmt.Errorf("no other request was served: %v", t.statuses)
	}
	return t, nil
}

// start starts the servers and one instance.
func (t *burst) start(answerBytes int) error {
	t.store.put(wireName("manifest"), config(3, []map[string]any{
		route("r-book", bookHost, "/book/", "non_idempotent", "desk", 1500, 300, 1),
		route("r-report", reportHost, "/report/", "stream", "reports", 20000, 1700, 1),
	}, []map[string]any{service("desk", 96), engine("reports", 480, 96)}))
	for i := range 3 {
		d, err := t.addServer(fmt.Sprintf("i-desk-%d", i), "desk", zone(i), 6, 24, answerBytes, func(*http.Request) time.Duration { return deskTime })
		if err != nil {
			return err
		}
		t.desks = append(t.desks, d)
	}
	for i := range 18 {
		e, err := t.addServer(fmt.Sprintf("i-report-%d", i), "reports", zone(i), 96, 201, 0, func(*http.Request) time.Duration { return reportTime })
		if err != nil {
			return err
		}
		e.events = reportEvents
	}
	return t.addDaemons(1)
}

func (t *burst) add(client string, o outcome) {
	t.printf("client %s", o)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statuses[fmt.Sprintf("%s %d", client, o.status)]++
}

// answers checks that no booking that is refused has run.
func answers(b *bed, trouble bool) (verdict, error) {
	t, err := playBurst(b, trouble, bookAnswer, bookEvery, func(address string) outcome {
		return send(address, "POST", bookHost, "/book/x", newID("book"), bookBytes, 3*time.Second)
	})
	if err != nil {
		return nil, err
	}
	var v verdict
	for _, o := range t.others {
		if !slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, o.status) {
			continue
		}
		for _, d := range t.desks {
			if at, ran := d.ranAt(o.id); ran {
				v = append(v, fmt.Sprintf("REFUSED: %s; it had run at %s at %.3f s", o, d.id, at.Sub(b.start).Seconds()))
			}
		}
	}
	return v, nil
}

// heads checks how many proper requests are ended with a 3xx or 4xx of the instance's own.
func heads(b *bed, trouble bool) (verdict, error) {
	t, err := playBurst(b, trouble, noteAnswer, noteEvery, func(address string) outcome {
		return send(address, "POST", bookHost, "/book/x", newID("book"), noteBytes, 3*time.Second)
	})
	if err != nil {
		return nil, err
	}
	all, denied := 0, 0
	for what, n := range t.statuses {
		all += n
		if strings.HasSuffix(what, deniedStatus) {
			denied += n
		}
	}
	b.printf("%d of %d requests were denied; the bound is %.1f", denied, all, deniedBound(all))
	if float64(denied) > deniedBound(all) {
		return verdict{fmt.Sprintf("DENIED: %d of %d proper requests were ended with a 3xx or 4xx of the instance's own, want %.1f at most", denied, all, deniedBound(all))}, nil
	}
	return nil, nil
}

// deniedStatus ends the entries of burst.statuses that count. The server sends none of these statuses in this case.
const deniedStatus = " 400"

// deniedBound is 5 + one in 500 of all requests.
func deniedBound(all int) float64 { return 5 + float64(all)/500 }
