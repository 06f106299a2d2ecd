package endpointstats

// This file defines history, which samples this instance's in-flight calls over the last few seconds.

import "time"

const (
	historyLen     = 16
	sampleInterval = 200 * time.Millisecond
)

// history is a ring buffer of the number of calls that this instance had in
// flight at one endpoint. It covers the last historyLen * sampleInterval, so
// that a load report that is some seconds old can be compared with the calls
// that this instance itself had in flight at that time.
type history struct {
	times  [historyLen]int64 // start of each interval, nanoseconds since the Unix epoch; zero if unused
	values [historyLen]int   // calls in flight at the end of each interval
	last   int               // index of the newest sample
}

// add records n calls in flight. It overwrites the newest sample while that is
// younger than sampleInterval.
func (h *history) add(now time.Time, n int) {
	t := now.UnixNano()
	if t-h.times[h.last] >= int64(sampleInterval) {
		h.last = (h.last + 1) % historyLen
		h.times[h.last] = t
	}
	h.values[h.last] = n
}

// at returns the number of calls in flight at the given time. For a time before
// the oldest sample it returns the oldest sample.
func (h *history) at(moment time.Time) int {
	t := moment.UnixNano()
	value := h.values[h.last]
	for i := range historyLen {
		k := (h.last - i + historyLen) % historyLen
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
