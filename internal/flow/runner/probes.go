package runner

// This file defines probes.

import (
	"sync"
	"time"
)

// probePeriod is the time between two jobs of a pipeline that are let in
// although they are not expected to finish. Without them, stages that were once
// slow would never be measured again.
const probePeriod = time.Second

// probes keeps when each pipeline was last probed.
type probes struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// take reports whether a probe of the pipeline may run now, and counts it.
func (p *probes) take(pipeline string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last[pipeline]) < probePeriod {
		return false
	}
	if p.last == nil {
		p.last = make(map[string]time.Time)
	}
	p.last[pipeline] = now
	return true
}
