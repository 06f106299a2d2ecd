package forwarder

// This file tells the coordinator which requests endpoints lost, has it judge which requests
// crash endpoints, and shares the verdicts.

import (
	"fmt"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/admission/quarantine"
	"github.com/jacinthstile/jacinthstile/internal/base/contain"
	"github.com/jacinthstile/jacinthstile/internal/stage/stagepb"
)

const maxToldLosses = 1024 // in one message

// RecordLoss records that an endpoint lost a request, and tells the coordinator.
func (f *Forwarder) RecordLoss(requestID string, l quarantine.Loss) {
	if !f.quarantine.RecordLoss(l) {
		return
	}
	f.log.Info("endpoint lost a request", "request", requestID, "endpoint", l.Engine, "parts", l.Parts,
		"fingerprint", fmt.Sprintf("%016x", l.Fingerprint), "crashed", l.Crashed)
	switch leader := f.currentLeader(); leader {
	case "":
	case f.self:
		f.judgeLater()
	default:
		f.reportLosses(f.remoteCoordinator(leader), []quarantine.Loss{l})
	}
}

// RecordClearance takes back evidence, here and on the coordinator, which tells all others.
func (f *Forwarder) RecordClearance(c quarantine.Clearance) {
	if !f.clear(c, "it was answered here") {
		return
	}
	if leader := f.currentLeader(); leader != "" && leader != f.self {
		f.reportClearance(f.remoteCoordinator(leader), c)
	}
}

// learnClearances takes over the clearances that another instance tells.
func (f *Forwarder) learnClearances(list []*stagepb.Clearance) {
	now := time.Now()
	for _, c := range list[:min(len(list), maxToldLosses)] {
		told := quarantine.Clearance{
			Endpoint: c.Endpoint, Fingerprint: c.Fingerprint, At: now.Add(-clamp(time.Duration(c.AgeMs) * time.Millisecond)),
		}
		changed, released := f.quarantine.Learn(told, now)
		f.logCleared(told, changed, released, "another instance said so")
	}
}

// clear takes back evidence, and reports whether there was some.
func (f *Forwarder) clear(c quarantine.Clearance, reason string) bool {
	changed, released := f.quarantine.Clear(c, time.Now())
	f.logCleared(c, changed, released, reason)
	return changed
}

func (f *Forwarder) logCleared(c quarantine.Clearance, changed bool, released []quarantine.Group, reason string) {
	if changed {
		f.log.Info("crashes taken back", "endpoint", c.Endpoint, "fingerprint", fmt.Sprintf("%016x", c.Fingerprint), "reason", reason)
	}
	for _, g := range released {
		f.log.Info("verdict on requests changed", "features", g.Parts, "held", g.Held(), "term", g.Term, "reason", reason)
	}
}

// tellLosses tells all that this instance knows to a new coordinator, also what the former one
// told.
func (f *Forwarder) tellLosses(leader string, now time.Time) {
	f.quarantine.AdoptSuspects(now)
	if losses := f.quarantine.Losses(now); leader != f.self && len(losses) > 0 {
		f.reportLosses(f.remoteCoordinator(leader), losses)
	}
}

// learnLosses records the losses that another instance tells.
func (f *Forwarder) learnLosses(list []*stagepb.Loss, now time.Time) {
	isNew := false
	for _, l := range list[:min(len(list), maxToldLosses)] {
		isNew = f.quarantine.RecordLoss(quarantine.Loss{
			Engine: l.Engine, Prompt: l.Prompt, Parts: l.Parts, Fingerprint: l.Fingerprint, Crashed: l.Crashed, At: now.Add(-clamp(time.Duration(l.AgeMs) * time.Millisecond)),
		}) || isNew
	}
	if isNew {
		f.judgeLater()
	}
}

// judgeLater judges once the losses that are new now count.
func (f *Forwarder) judgeLater() {
	time.AfterFunc(quarantine.SettleTime, func() { contain.Do(f.log, "judging lost requests", f.judge) })
}

// judge holds back the features against which the known losses are sufficient evidence, if
// this instance is the coordinator.
func (f *Forwarder) judge() {
	f.mu.Lock()
	since := f.leadsSince
	f.mu.Unlock()
	if since.IsZero() {
		return
	}
	verdicts := f.quarantine.Judge(since, time.Now())
	for _, g := range verdicts {
		f.log.Info("requests crash endpoints and are held back", "features", g.Parts, "term", g.Term)
	}
	if len(verdicts) > 0 {
		f.local.RejectHeld()
	}
}

// mergeHeld takes over the verdicts that another instance knows.
func (f *Forwarder) mergeHeld(list []*stagepb.Held) {
	if len(list) == 0 {
		return
	}
	groups := make([]quarantine.Group, len(list))
	for i, h := range list {
		groups[i] = quarantine.Group{Parts: h.Parts, Term: h.Term, Trials: h.Trials, Idle: time.Duration(h.IdleMs) * time.Millisecond}
	}
	newer := f.quarantine.Merge(groups, time.Now())
	for _, g := range newer {
		f.log.Info("verdict on requests changed", "features", g.Parts, "held", g.Held(), "term", g.Term, "reason", "another instance said so")
	}
	if len(newer) > 0 {
		f.local.RejectHeld()
	}
}

// mayTry reports whether this instance may send a request that is held back, to find out
// whether it has become sound: it is the coordinator, and not cut off
// from the other instances, which might do the same.
func (f *Forwarder) mayTry() bool {
	f.mu.Lock()
	leads := !f.leadsSince.IsZero()
	f.mu.Unlock()
	return leads && f.election.InContact(time.Now())
}

func encodeHeld(groups []quarantine.Group) []*stagepb.Held {
	var list []*stagepb.Held
	for _, g := range groups {
		list = append(list, &stagepb.Held{Parts: g.Parts, Term: g.Term, Trials: g.Trials, IdleMs: uint32((g.Idle + pollTimeout).Milliseconds())})
	}
	return list
}

func encodeLosses(losses []quarantine.Loss, now time.Time) []*stagepb.Loss {
	var list []*stagepb.Loss
	for _, l := range losses {
		list = append(list, &stagepb.Loss{Engine: l.Engine, Prompt: l.Prompt, Parts: l.Parts, Fingerprint: l.Fingerprint, Crashed: l.Crashed, AgeMs: uint32(max(0, now.Sub(l.At).Milliseconds()))})
	}
	return list
}

func encodeSuspects(list []quarantine.Suspect, now time.Time) []*stagepb.Suspect {
	var out []*stagepb.Suspect
	for _, s := range list {
		out = append(out, &stagepb.Suspect{Fingerprint: s.Fingerprint, Endpoints: s.Endpoints, AgeMs: uint32(max(0, now.Sub(s.Last).Milliseconds()))})
	}
	return out
}

func decodeSuspects(list []*stagepb.Suspect, now time.Time) []quarantine.Suspect {
	out := make([]quarantine.Suspect, len(list))
	for i, s := range list {
		out[i] = quarantine.Suspect{Fingerprint: s.Fingerprint, Endpoints: s.Endpoints, Last: now.Add(-clamp(time.Duration(s.AgeMs) * time.Millisecond))}
	}
	return out
}

func encodeClearances(list []quarantine.Clearance, now time.Time) []*stagepb.Clearance {
	var out []*stagepb.Clearance
	for _, c := range list {
		out = append(out, &stagepb.Clearance{Endpoint: c.Endpoint, Fingerprint: c.Fingerprint, AgeMs: uint32(max(0, now.Sub(c.At).Milliseconds()))})
	}
	return out
}
