package spread

// This file takes the cost of one step.

import (
	"time"
)

const sampleEvery = 50 * time.Millisecond

// sampler notes the platform's counters while a step runs.
type sampler struct {
	run    *run
	stop   chan struct{}
	done   chan struct{}
	times  []time.Time
	counts []int64
}

func (r *run) measure(do func() (time.Duration, error)) (Measurement, error) {
	calls, sent, rounds := r.swarm.Platform.Calls(), r.bytes(), r.rounds()
	s := &sampler{run: r, stop: make(chan struct{}), done: make(chan struct{})}
	go s.sample()
	start := time.Now()
	force, err := do()
	length := time.Since(start)
	close(s.stop)
	<-s.done
	n := float64(len(r.swarm.Nodes))
	return Measurement{
		Length:  length.Seconds(),
		Force:   force.Seconds(),
		Calls:   r.swarm.Platform.Calls() - calls,
		Peak:    s.peak(),
		Waiting: 2 * len(r.swarm.Nodes),
		Rounds:  float64(r.rounds()-rounds) / n,
		Bytes:   float64(r.bytes()-sent) / n / length.Seconds(),
	}, err
}

func (s *sampler) sample() {
	defer close(s.done)
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	for {
		s.times = append(s.times, time.Now())
		s.counts = append(s.counts, s.run.swarm.Platform.Calls())
		select {
		case <-tick.C:
		case <-s.stop:
			s.times = append(s.times, time.Now())
			s.counts = append(s.counts, s.run.swarm.Platform.Calls())
			return
		}
	}
}

// peak returns the most calls within any second.
func (s *sampler) peak() int64 {
	var most int64
	first := 0
	for i, t := range s.times {
		for t.Sub(s.times[first]) > time.Second {
			first++
		}
		most = max(most, s.counts[i]-s.counts[first])
	}
	return most
}

func (r *run) bytes() int64 {
	var n int64
	for _, node := range r.swarm.Nodes {
		sent, received := node.Transport.Bytes()
		n += sent + received
	}
	return n
}

func (r *run) rounds() int64 {
	var n int64
	for _, node := range r.swarm.Nodes {
		n += node.Feed.Stats().Rounds
	}
	return n
}
