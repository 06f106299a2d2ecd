//go:build review2

package main

// This file is the case of a server that leaves while the store cuts watches.

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["leaving"] = leaving }

const (
	drainTime     = 2 * time.Second // drain_ms
	beforeRemoval = 200 * time.Millisecond
)

// leaving has a server's registration removed just after the store has cut the watches that waited.
func leaving(b *bed, trouble bool) (verdict, error) {
	b.store.put(wireName("manifest"), config(3, []map[string]any{route("r-book", bookHost, "/book/", "non_idempotent", "desk", 1500, 300, 1)},
		[]map[string]any{service("desk", 96)}))
	var desks []*server
	for i := range 3 {
		d, err := b.addServer(fmt.Sprintf("i-desk-%d", i), "desk", zone(i), 6, 24, 800, func(*http.Request) time.Duration { return deskTime })
		if err != nil {
			return nil, err
		}
		desks = append(desks, d)
	}
	if err := b.addDaemons(1); err != nil {
		return nil, err
	}
	var clients sync.WaitGroup
	statuses := make(map[int]int)
	var mu sync.Mutex
	traffic := func(length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			clients.Go(func() {
				o := send(b.daemons[0].front, "POST", bookHost, "/book/x", newID("book"), 600, 3*time.Second)
				b.printf("client %s", o)
				mu.Lock()
				defer mu.Unlock()
				statuses[o.status]++
			})
		}
	}
	traffic(5 * time.Second)
	for n := 0; trouble && n < 2; time.Sleep(10 * time.Millisecond) {
		if k := b.store.cutWatches(); k > 0 {
			n += k
			b.printf("the store cuts the watches that wait: %d", k)
		}
	}
	traffic(beforeRemoval)
	gone := desks[0].remove()
	b.printf("the store confirms that the registration of %s is removed", desks[0].id)
	traffic(6 * time.Second)
	clients.Wait()
	var v verdict
	for id, at := range desks[0].reached {
		if late := at.Sub(gone); late > drainTime {
			v = append(v, fmt.Sprintf("DRAIN: %s reached %s %d ms after the store had confirmed that it is gone", id, desks[0].id, late.Milliseconds()))
		}
	}
	b.printf("answers by status: %v", statuses)
	if statuses[http.StatusOK] == 0 {
		return nil, fmt.Errorf("no request was served: %v", statuses)
	}
	return v, nil
}
