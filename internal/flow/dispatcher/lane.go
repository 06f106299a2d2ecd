package dispatcher

// This file defines lanes, the measured pace at which each account's waiting
// calls start.

import (
	"sync"
	"time"
)

const paceGain = 1.0 / 8 // weight of a new measurement in the moving mean

// lanes holds the accounts that have calls waiting at one gate.
type lanes struct {
	mu   sync.Mutex
	byID map[string]*lane
}

type lane struct {
	waiting int
	gap     float64 // moving mean of the time between two starts, in seconds; zero until known
	last    time.Time
}

func (s *lanes) join(account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = make(map[string]*lane)
	}
	l := s.byID[account]
	if l == nil {
		l = new(lane)
		s.byID[account] = l
	}
	l.waiting++
}

// leave ends the waiting of a call, which has started or was given up.
func (s *lanes) leave(account string, started bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.byID[account]
	l.waiting--
	if l.waiting == 0 {
		delete(s.byID, account)
		return
	}
	if !started {
		return
	}
	if !l.last.IsZero() {
		gap := now.Sub(l.last).Seconds()
		if l.gap == 0 {
			l.gap = gap
		}
		l.gap += paceGain * (gap - l.gap)
	}
	l.last = now
}

// wait predicts the wait of one more call of an account from its own pace:
// what other accounts ask for meanwhile is in it.
func (s *lanes) wait(account string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.byID[account]
	if l == nil {
		return 0
	}
	return time.Duration(float64(l.waiting+1) * l.gap * float64(time.Second))
}
