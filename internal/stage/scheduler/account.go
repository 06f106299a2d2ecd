package scheduler

// This file divides what is admitted of a kind of job between the client accounts.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/stage/job"
)

const (
	// accountWeight is the weight of every account: the configuration of services with stages names none.
	accountWeight = 1
	// accountReserve is the share of its time left that a job of an account which has had its
	// share leaves to the jobs of others. Queues stay long enough for full calls.
	accountReserve = 0.15
	// deprivedPart is the part of its share up to which others are held back for an account. Accounts with the same
	// demand do not differ by that much, so that calls are not less full for chance alone.
	deprivedPart = 0.7
)

// holdAccount refuses a job of a client account that has had its share while another account
// has not. Jobs without an account count as one account that is never held back: an instance
// of an older build names none, whoever its callers are.
func (s *Scheduler) holdAccount(k *kindState, j *job.Job, d *Decision, left time.Duration, now time.Time) {
	if !j.Returned {
		k.accounts.Ask(j.Account, accountWeight, s.cost(j), now)
	}
	if !d.Admit || d.Wait <= shortWait || j.Account == "" {
		return
	}
	rival, exceeded := k.accounts.Exceeded(j.Account, now)
	d.exceeded = exceeded
	if exceeded && d.Predicted > time.Duration((1-accountReserve)*float64(left)) {
		d.Admit, d.Reason, d.Account = false, AccountShare, rival
	}
}

// countAccount counts a decision for the client account of the job.
func (s *Scheduler) countAccount(k *kindState, j *job.Job, d *Decision, now time.Time) {
	switch {
	case d.Admit:
		k.accounts.Admit(j.Account, s.cost(j), now)
	case d.Wait > shortWait:
		k.accounts.Refuse(j.Account, now)
	}
}

// cost returns the endpoint time of a job's open pieces, in seconds.
func (s *Scheduler) cost(j *job.Job) float64 {
	total := 0.0
	for i, stage := range j.Stages {
		total += float64(j.Remaining[i]) * s.queueFor(stage.Service).batch.PieceTime.Seconds()
	}
	return total
}
