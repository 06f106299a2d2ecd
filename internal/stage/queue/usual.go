package queue

// This file makes jobs of one kind equal on arrival.

import (
	"strings"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/stage/job"
)

const (
	usualGain = 0.02 // weight of a job in the moving mean of its kind: a second of a busy kind
	mostKinds = 256  // known at once; more are judged each by its own figures
)

// usual is the moving mean, by kind, of the time that requests take after
// their stages. Under more load than can be served the line grows until
// nothing fits that has less time than the rest of its kind: judged each by
// its own time, requests with the longest prompts would be turned away one and
// all.
type usual struct {
	after map[kind]time.Duration
}

// kind is what jobs have in common that are judged alike.
type kind struct {
	rank int
	path string // services of the stages
}

func kindOf(j *job.Job) kind {
	var path strings.Builder
	for _, s := range j.Stages {
		path.WriteString(s.Service + " ")
	}
	return kind{rank: j.Rank, path: path.String()}
}

// note takes in a job, and returns the mean of its kind.
func (u *usual) note(j *job.Job) time.Duration {
	k := kindOf(j)
	mean, known := u.after[k]
	switch {
	case !known && len(u.after) >= mostKinds:
		return j.After
	case !known:
		mean = j.After
	}
	mean += time.Duration(usualGain * float64(j.After-mean))
	u.after[k] = mean
	return mean
}
