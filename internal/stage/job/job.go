// Package job represents the stage work of one request: the pieces that have to
// be executed before the request can run, and the results of those executed. It
// does no I/O and no locking.
package job

// This file defines Job and Result.

import (
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
)

// Job is the stage work of one request: a graph of stages, each of which has a
// number of pieces. The fields above the blank line are not changed once the job
// is submitted; those below it are changed only by the scheduler and its caller.
type Job struct {
	ID           string // id of the order that the job belongs to
	Request      string // id of the request, which endpoints receive
	Key          string // input of the pieces of stages that depend on no other stage
	Stages       []catalog.Stage
	Pieces       []int         // number of pieces, by stage
	Priority     int           // zero is the most urgent
	Goal         time.Time     // when the stages should have ended for the request to meet its own goal; not after Deadline
	Deadline     time.Time     // when the stages must have ended; the job is given up then
	FirstEvent   time.Duration // expected time from the end of the stages to the request's first event; Goal allows for it
	OutputCentre string        // data centre in which the request reads the results of the final stages; empty for any
	Returned     bool          // whether the caller was refused before and has returned
	Earliest     time.Time     // before which its caller, refused before, was told not to come back
	Account      string        // name of the client account; empty if not known
	Fingerprint  uint64        // of the request, the same for equal ones; zero if not known
	Centres      []string      // data centres whose endpoints may execute the pieces; nil for all

	Results   [][]Result  // by stage and piece; the zero Result for a piece that is not executed
	Remaining []int       // number of pieces without a result, by stage
	Due       []time.Time // when the call with the last pieces should begin, by stage
	Queued    []bool      // whether the pieces of a stage have been queued, by stage
	Ended     bool        // whether the job is finished, cancelled or given up
	Suspect   bool        // whether an endpoint crashed while it executed pieces of the job; its pieces share no call then
}

// Result is the result of a piece, held at the endpoint that produced it.
type Result struct {
	Handle   string // identifies the result at its endpoint; empty for no result
	Endpoint string // name of the endpoint
	Centre   string // data centre of the endpoint
	Bytes    int64
	Since    time.Time // when the call that produced it was sent: its space is taken from then on
}

// New returns a job without results. A goal after the deadline is set to the
// deadline.
func New(id, request, key string, stages []catalog.Stage, pieces []int, priority int, goal, deadline time.Time) *Job {
	j := &Job{
		ID: id, Request: request, Key: key, Stages: stages, Pieces: pieces, Priority: priority, Goal: earlier(goal, deadline), Deadline: deadline,
		Results: make([][]Result, len(stages)), Remaining: make([]int, len(stages)), Queued: make([]bool, len(stages)), Due: make([]time.Time, len(stages)),
	}
	for i := range stages {
		j.Results[i] = make([]Result, pieces[i])
		j.Remaining[i] = pieces[i]
	}
	return j
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// MayGoTo reports whether endpoints in a data centre may execute pieces of the job.
func (j *Job) MayGoTo(centre string) bool {
	return j.Centres == nil || slices.Contains(j.Centres, centre)
}

// Ready reports whether all stages that stage i depends on are done.
func (j *Job) Ready(i int) bool {
	for _, a := range j.Stages[i].After {
		if j.Remaining[a] > 0 {
			return false
		}
	}
	return true
}

// Finished reports whether all pieces have a result.
func (j *Job) Finished() bool {
	for _, n := range j.Remaining {
		if n > 0 {
			return false
		}
	}
	return true
}

// Inputs returns the handles of the results that each piece of stage i reads: all
// results of the stages that it depends on.
func (j *Job) Inputs(i int) []string {
	var handles []string
	for _, a := range j.Stages[i].After {
		for _, r := range j.Results[a] {
			handles = append(handles, r.Handle)
		}
	}
	return handles
}

// InputCentre returns the data centre that holds the most bytes of the inputs of
// stage i. A stage without inputs has no such centre: for it, InputCentre returns
// OutputCentre if the request itself reads its results, and else the empty string,
// which stands for any centre.
func (j *Job) InputCentre(i int) string {
	if len(j.Stages[i].After) == 0 {
		if j.IsFinal(i) {
			return j.OutputCentre
		}
		return ""
	}
	bytes := make(map[string]int64)
	centre := ""
	for _, a := range j.Stages[i].After {
		for _, r := range j.Results[a] {
			bytes[r.Centre] += r.Bytes
			if bytes[r.Centre] > bytes[centre] {
				centre = r.Centre
			}
		}
	}
	return centre
}

// InputBytes returns the total bytes of input that the pieces of stage i read, and
// how many of them came from another data centre than that of the piece's endpoint.
func (j *Job) InputBytes(i int) (total, remote int64) {
	for _, piece := range j.Results[i] {
		for _, a := range j.Stages[i].After {
			for _, r := range j.Results[a] {
				total += r.Bytes
				if r.Centre != piece.Centre {
					remote += r.Bytes
				}
			}
		}
	}
	return total, remote
}

// IsFinal reports whether no other stage depends on stage i.
func (j *Job) IsFinal(i int) bool {
	for _, s := range j.Stages {
		for _, a := range s.After {
			if a == i {
				return false
			}
		}
	}
	return true
}

// Outputs returns the results of the final stages, which the request itself reads.
func (j *Job) Outputs() []Result {
	var list []Result
	for i := range j.Stages {
		if j.IsFinal(i) {
			list = append(list, j.Results[i]...)
		}
	}
	return list
}
