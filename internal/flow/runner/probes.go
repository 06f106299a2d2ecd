package runner

// This file defines probeLimiter, which limits how often jobs are admitted as probes.

import (
	"sync"
	"time"
)

// probePeriod is the minimum time between two probes of a pipeline. A probe is a job that is
// admitted although it is predicted to miss its deadline. Without probes, a pipeline whose
// stages were once slow would refuse all jobs and never be measured again.
const probePeriod = time.Second

// probeLimiter records when each pipeline was last probed. It is safe for concurrent use.
type probeLimiter struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// allow reports whether a probe of the pipeline may run now, and records it if so.
func (p *probeLimiter) allow(pipeline string, now time.Time) bool {
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
