// Package job provides the stage work of one request: which pieces have to be
// made before the request can run, and which are made already.
package job

// This file defines Job.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
)

// Job is the stage work of one request. The exported fields are not changed
// once it is submitted; the rest belongs to the queue.
type Job struct {
	ID       string // of the order
	Request  string // id of the request, as endpoints know it
	Key      string // that the pieces of first stages are made from
	Stages   []catalog.Stage
	Pieces   []int         // wanted of each stage
	Rank     int           // zero is the most urgent
	Goal     time.Time     // until when the stages should end, so that the request is on time; not after Deadline
	Deadline time.Time     // from when on nobody waits for the request
	After    time.Duration // that the request takes after its stages, for which Goal leaves time
	Wanted   string        // data centre in which the request takes its inputs; empty for any

	Made    [][]Result // by stage and piece; a zero Result where it is not made
	Open    []int      // pieces of each stage that are not made
	Started []bool     // whether the pieces of a stage are queued
	Ended   bool       // finished, cancelled or given up
}

// Result is one made piece.
type Result struct {
	Handle string
	Maker  string // name of the endpoint that holds it
	Centre string // of the endpoint
	Bytes  int64
}

// New prepares a job of which nothing is made.
func New(id, request, key string, stages []catalog.Stage, pieces []int, rank int, goal, deadline time.Time) *Job {
	j := &Job{
		ID: id, Request: request, Key: key, Stages: stages, Pieces: pieces, Rank: rank, Goal: earlier(goal, deadline), Deadline: deadline,
		Made: make([][]Result, len(stages)), Open: make([]int, len(stages)), Started: make([]bool, len(stages)),
	}
	for i := range stages {
		j.Made[i] = make([]Result, pieces[i])
		j.Open[i] = pieces[i]
	}
	return j
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Ready reports whether the stages before stage i are made.
func (j *Job) Ready(i int) bool {
	for _, a := range j.Stages[i].After {
		if j.Open[a] > 0 {
			return false
		}
	}
	return true
}

// Finished reports whether all pieces are made.
func (j *Job) Finished() bool {
	for _, n := range j.Open {
		if n > 0 {
			return false
		}
	}
	return true
}

// Inputs returns the handles of the results that a piece of stage i takes.
func (j *Job) Inputs(i int) []string {
	var handles []string
	for _, a := range j.Stages[i].After {
		for _, r := range j.Made[a] {
			handles = append(handles, r.Handle)
		}
	}
	return handles
}

// Home returns the data centre in which most bytes of what stage i takes lie.
// For a first stage whose results the request itself takes it is where these are
// wanted; empty stands for any.
func (j *Job) Home(i int) string {
	if len(j.Stages[i].After) == 0 {
		if j.Last(i) {
			return j.Wanted
		}
		return ""
	}
	bytes := make(map[string]int64)
	home := ""
	for _, a := range j.Stages[i].After {
		for _, r := range j.Made[a] {
			bytes[r.Centre] += r.Bytes
			if bytes[r.Centre] > bytes[home] {
				home = r.Centre
			}
		}
	}
	return home
}

// Taken returns the bytes of results that the pieces of stage i took, and of
// these the ones that lay in other data centres.
func (j *Job) Taken(i int) (all, far int64) {
	for _, piece := range j.Made[i] {
		for _, a := range j.Stages[i].After {
			for _, r := range j.Made[a] {
				all += r.Bytes
				if r.Centre != piece.Centre {
					far += r.Bytes
				}
			}
		}
	}
	return all, far
}

// Last reports whether no other stage takes the results of stage i.
func (j *Job) Last(i int) bool {
	for _, s := range j.Stages {
		for _, a := range s.After {
			if a == i {
				return false
			}
		}
	}
	return true
}

// Outputs returns the results that the request itself takes.
func (j *Job) Outputs() []Result {
	var list []Result
	for i := range j.Stages {
		if j.Last(i) {
			list = append(list, j.Made[i]...)
		}
	}
	return list
}
