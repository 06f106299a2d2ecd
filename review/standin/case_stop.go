//go:build review

package main

// This file plays a planned stop while requests wait for their stages.

import (
	"fmt"
	"sync"
	"time"
)

const (
	stopRequests  = 12
	stageFullTime = 13 * time.Second // after the first request, for which the stage worker has no room
	lossSlack     = 200 * time.Millisecond
)

// caseStop sends requests of a route with a stage to a daemon, before and after its SIGTERM. The
// stage worker has no room meanwhile, so that no worker is at work on any of them. Each must
// get a whole answer before its channel ends.
func caseStop(b *bed) bool {
	stages := []any{map[string]any{"service": "tank-log", "after": []int{}, "bytes": 8000}}
	b.startPlatform(
		[]any{route("chat", "stream", "llm-pool", map[string]any{"timeout_ms": 20000, "goal_ms": 1700, wire("gapGoal"): 250, "stages": stages, "sticky": true})},
		[]any{
			map[string]any{"name": "llm-pool", wire("healthPath"): "/health", "max_conns": 480, "engine": map[string]any{"capacity": 96, wire("cacheTokens"): 568434, "kv_token_bytes": 96256}},
			map[string]any{"name": "tank-log", wire("healthPath"): "/health", "max_conns": 480, "pieces": map[string]any{"capacity": 1, "queue": 2, "batch": 22, "call_ms": 200, "item_ms": 7.8, wire("space"): 50, "handle_s": 4, "link_mbps": 10000}},
		})
	var mu sync.Mutex
	fullUntil := time.Time{}
	full := func() time.Time { mu.Lock(); defer mu.Unlock(); return fullUntil }
	b.addWorker(&worker{id: "i-model-1", service: "llm-pool", zone: "zone-a", capacity: 96, work: 60 * time.Millisecond, handle: serveModel})
	stage := b.addWorker(&worker{id: "i-tank-1", service: "tank-log", zone: "zone-a", capacity: 1, work: 210 * time.Millisecond, handle: serveStage(full)})
	b.startDaemons(2)
	time.Sleep(3 * time.Second)
	warm := &call{id: "warm", method: "POST", path: "/chat/a", limit: 20 * time.Second, header: chatHeader()}
	warm.do(b.daemons[0].ip + ":" + frontPort)
	b.record("request before the disruption: %s", warm.outcome())
	if warm.status != 200 {
		b.fail("the first request was not served")
	}
	mu.Lock()
	fullUntil = time.Now().Add(stageFullTime)
	mu.Unlock()
	d := b.daemons[0]
	var calls []*call
	var wg sync.WaitGroup
	for i := range stopRequests {
		if i == 2 && b.trouble {
			b.terminate(d)
		}
		c := &call{id: fmt.Sprintf("r%02d", i), method: "POST", path: "/chat/a", limit: 20 * time.Second, header: chatHeader()}
		calls = append(calls, c)
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.do(d.ip + ":" + frontPort)
		}()
		time.Sleep(200 * time.Millisecond)
	}
	wg.Wait()
	runs := b.runsOf()
	lost := 0
	for _, c := range calls {
		broken := c.status == 0 && c.ended.Sub(c.sent) > lossSlack && c.ended.Sub(c.sent) < c.limit
		if broken {
			lost++
		}
		b.record("request %s sent at %.3f, ended at %.3f: %s; runs at the model worker: %d", c.id, b.since(c.sent), b.since(c.ended), c.outcome(), len(runs[c.id]))
	}
	b.record("stage calls turned away as full: %d; requests whose channel ended without an answer: %d of %d", stage.refused, lost, len(calls))
	return lost > 0
}

func chatHeader() map[string]string {
	return map[string]string{wire("model"): "m", wire("tokens"): "640,80", wire("prompt"): "5c1e07a2:100,91bd3f06:540", wire("pieces"): "2", wire("pieceKey"): "7c1e07a291bd"}
}
