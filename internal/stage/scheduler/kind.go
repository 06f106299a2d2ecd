package scheduler

// This file averages the first-event time over jobs of one kind for admission.

import (
	"strings"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/stage/job"
)

const (
	kindGain = 0.02 // weight of one job in the moving mean of its kind, which then covers about one second of a kind with many jobs
	maxKinds = 256  // maximum number of kinds with a mean; a job of any further kind is judged by its own time
)

// kindMeans holds, by kind of job, the moving mean of the time from the end of
// the stages to the request's first event. Admission uses the mean in place of
// the job's own time. Under overload the queue grows until a job with less time
// than the rest of its kind is never admitted: with their own times, the requests
// with the longest prompts would all be refused.
type kindMeans struct {
	means map[kind]time.Duration
}

// kind identifies jobs that admission treats alike.
type kind struct {
	priority int
	path     string // services of the stages, in order
}

func kindOf(j *job.Job) kind {
	var path strings.Builder
	for _, s := range j.Stages {
		path.WriteString(s.Service + " ")
	}
	return kind{priority: j.Priority, path: path.String()}
}

// record adds a job to the mean of its kind, and returns the mean. If no mean is
// kept for its kind, record returns the job's own time.
func (m *kindMeans) record(j *job.Job) time.Duration {
	k := kindOf(j)
	mean, known := m.means[k]
	switch {
	case !known && len(m.means) >= maxKinds:
		return j.FirstEvent
	case !known:
		mean = j.FirstEvent
	}
	mean += time.Duration(kindGain * float64(j.FirstEvent-mean))
	m.means[k] = mean
	return mean
}
