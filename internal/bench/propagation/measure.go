package propagation

// This file measures the cost of one step.

import (
	"time"
)

// sampleInterval is the time between two samples of the platform's call counter.
const sampleInterval = 50 * time.Millisecond

// sampler records the platform's call counter while a step runs.
type sampler struct {
	run    *run
	stop   chan struct{}
	done   chan struct{}
	times  []time.Time
	counts []int64 // calls until the time of the same index
}

// measure runs a step and returns its cost. do returns the time from the last publication until it was in force
// everywhere, or zero if the step publishes nothing.
func (r *run) measure(do func() (time.Duration, error)) (Measurement, error) {
	calls, sent, rounds := r.cluster.Platform.Calls(), r.peerBytes(), r.rounds()
	s := &sampler{run: r, stop: make(chan struct{}), done: make(chan struct{})}
	go s.sample()
	start := time.Now()
	activation, err := do()
	length := time.Since(start)
	close(s.stop)
	<-s.done
	n := float64(len(r.cluster.Nodes))
	return Measurement{
		Length:         length.Seconds(),
		ActivationTime: activation.Seconds(),
		Calls:          r.cluster.Platform.Calls() - calls,
		Peak:           s.peak(),
		Waiting:        2 * len(r.cluster.Nodes),
		Rounds:         float64(r.rounds()-rounds) / n,
		Bytes:          float64(r.peerBytes()-sent) / n / length.Seconds(),
	}, err
}

// sample records the counter until stop is closed, and then once more. It closes done.
func (s *sampler) sample() {
	defer close(s.done)
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		s.times = append(s.times, time.Now())
		s.counts = append(s.counts, s.run.cluster.Platform.Calls())
		select {
		case <-tick.C:
		case <-s.stop:
			s.times = append(s.times, time.Now())
			s.counts = append(s.counts, s.run.cluster.Platform.Calls())
			return
		}
	}
}

// peak returns the highest number of calls between two samples that are a second apart or less.
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

// peerBytes returns the bytes sent and received by all instances over peer sessions.
func (r *run) peerBytes() int64 {
	var n int64
	for _, node := range r.cluster.Nodes {
		sent, received := node.Transport.Bytes()
		n += sent + received
	}
	return n
}

// rounds returns the number of tables that were put in force, summed over the instances.
func (r *run) rounds() int64 {
	var n int64
	for _, node := range r.cluster.Nodes {
		n += node.Syncer.Stats().Rounds
	}
	return n
}
