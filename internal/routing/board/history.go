package board

// This file defines history, the own calls in flight in the recent past.

import "time"

const (
	points  = 16
	spacing = 200 * time.Millisecond
)

// history keeps a point each spacing, so that a report some seconds old can be
// compared with what was in flight from here at that time.
type history struct {
	times  [points]int64 // nanoseconds
	values [points]int
	last   int
}

func (h *history) add(now time.Time, n int) {
	t := now.UnixNano()
	if t-h.times[h.last] >= int64(spacing) {
		h.last = (h.last + 1) % points
		h.times[h.last] = t
	}
	h.values[h.last] = n
}

// at returns the calls in flight at a moment, or at the oldest known one.
func (h *history) at(moment time.Time) int {
	t := moment.UnixNano()
	value := h.values[h.last]
	for i := range points {
		k := (h.last - i + points) % points
		if h.times[k] == 0 {
			return value
		}
		value = h.values[k]
		if h.times[k] <= t {
			return value
		}
	}
	return value
}
