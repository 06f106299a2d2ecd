// Package fleetsize estimates how many instances there are and which part of them follows
// this one.
//
// What all instances together may do is shared out by the coordinator. After a partition, or
// while a coordinator is replaced, several instances act as one at once; each may then share out
// only the part that its followers are of the fleet. No instance has a list of all others, so the
// size of the fleet is the largest number of instances that followed one coordinator not long ago,
// which instances tell each other.
//
// Callers pass the time in; the package does no I/O.
package fleetsize

// This file defines Counter.

import (
	"sync"
	"time"
)

const (
	// followerTimeout is the time after its last poll at which an instance no longer counts
	// as a follower: three poll intervals. It follows another instance by then.
	followerTimeout = 900 * time.Millisecond
	// memory is how long a fleet was as large as it was. Instances that are cut off are
	// believed to serve on for as long.
	memory  = time.Minute
	maxSize = 10_000 // that another instance may tell
)

// Counter counts the followers of this instance. It is safe for concurrent use.
type Counter struct {
	mu        sync.Mutex
	followers map[string]time.Time // last poll, by address
	expiry    time.Time            // none of the followers times out before it
	size      int                  // largest known number of instances
	sizeAt    time.Time            // when the fleet was last known to be that large
}

// New returns a counter that knows of this instance only.
func New() *Counter { return &Counter{followers: make(map[string]time.Time), size: 1} }

// RecordFollower records a poll of an instance that follows this one.
func (c *Counter) RecordFollower(address string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followers[address] = now
	c.count(now)
}

// RecordSize records the size that another instance tells, which was counted some time ago.
func (c *Counter) RecordSize(size int, age time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.raise(min(size, maxSize), now.Add(-max(0, age)), now)
}

// Size returns the estimated number of instances, this one included, and the time since they
// were counted.
func (c *Counter) Size(now time.Time) (size int, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(now)
	return c.size, now.Sub(c.sizeAt)
}

// Share returns the part of the fleet that follows this instance, itself included.
func (c *Counter) Share(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(1, float64(c.count(now))/float64(c.size))
}

// count returns the number of followers, this instance included. The caller holds the lock.
func (c *Counter) count(now time.Time) int {
	if now.After(c.expiry) {
		c.removeLost(now)
	}
	n := len(c.followers) + 1
	c.raise(n, now, now)
	return n
}

// removeLost removes the followers that have timed out. The caller holds the lock.
func (c *Counter) removeLost(now time.Time) {
	oldest := now
	for address, at := range c.followers {
		switch {
		case now.Sub(at) > followerTimeout:
			delete(c.followers, address)
		case at.Before(oldest):
			oldest = at
		}
	}
	c.expiry = oldest.Add(followerTimeout)
}

// raise sets the size, counted at the given time, if it is larger than the known one, or as
// large and counted later, or if the known one is out of date. The caller holds the lock.
func (c *Counter) raise(size int, at, now time.Time) {
	if now.Sub(at) > memory {
		return
	}
	if size > c.size || size == c.size && at.After(c.sizeAt) || now.Sub(c.sizeAt) > memory {
		c.size, c.sizeAt = max(1, size), at
	}
}
