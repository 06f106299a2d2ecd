package quarantine

// This file defines Group, and shares the verdicts with other instances.

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	maxGroups = 32 // kept; the one that requests have not had for the longest time is dropped for another
	// maxTrials is the number of trials of a group after which it is released, since a message
	// holds no more.
	maxTrials = 64
)

// Group is a verdict: features of requests that are held back if they come together, or that
// were. Instances agree on the newest term of each group.
type Group struct {
	Parts  []string      // sorted; one that begins with requestPrefix stands for a whole request
	Term   uint32        // rises with each change; odd while the parts are held back
	Trials []string      // ids of the trials in this term
	Idle   time.Duration // since a request with the parts last came; all instances forget the group in the end
}

// Held reports whether the parts are held back.
func (g Group) Held() bool { return g.Term%2 == 1 }

// group is a Group with what this instance knows of it.
type group struct {
	Group
	changed       time.Time // when this instance learned of the term, or of the last trial
	lastRequested time.Time // when a request with the parts last came to any instance, as far as known
}

// within reports whether a prompt with the given parts has all parts of the group.
func (g *group) within(parts []string) bool {
	return !slices.ContainsFunc(g.Parts, func(p string) bool { return !slices.Contains(parts, p) })
}

// isWhole reports whether the group is about a request as a whole.
func (g Group) isWhole() bool { return slices.ContainsFunc(g.Parts, isWhole) }

func (g *group) trialDue(now time.Time) bool {
	if g.isWhole() {
		return len(g.Trials) < len(wholeTrialDelays) && now.Sub(g.changed) >= wholeTrialDelays[len(g.Trials)]
	}
	return now.Sub(g.changed) >= trialDelays[min(len(g.Trials), len(trialDelays)-1)]
}

// clone returns the group without references to shared memory.
func (g *group) clone() Group {
	return Group{Parts: slices.Clone(g.Parts), Term: g.Term, Trials: slices.Clone(g.Trials)}
}

func keyOf(parts []string) string { return strings.Join(parts, ",") }

// hold holds back parts, which are sorted. The caller holds the lock.
func (q *Quarantine) hold(parts []string, now time.Time) Group {
	g := q.groups[keyOf(parts)]
	if g == nil {
		g = q.add(parts)
	}
	if !g.Held() {
		g.Term++
		g.Trials = nil
	}
	g.changed, g.lastRequested = now, now
	return g.clone()
}

// add adds a group that is not held. The caller holds the lock.
func (q *Quarantine) add(parts []string) *group {
	if len(q.groups) >= maxGroups {
		all := slices.Collect(maps.Values(q.groups))
		oldest := slices.MinFunc(all, func(a, b *group) int { return a.lastRequested.Compare(b.lastRequested) })
		delete(q.groups, keyOf(oldest.Parts))
	}
	g := &group{Group: Group{Parts: parts}}
	q.groups[keyOf(parts)] = g
	q.updateKept()
	return g
}

// dropUnused drops the groups that no request has had for a long time. The caller holds the lock.
func (q *Quarantine) dropUnused(now time.Time) {
	for key, g := range q.groups {
		if now.Sub(g.lastRequested) > g.retention() {
			delete(q.groups, key)
		}
	}
	q.updateKept()
}

func (g *group) retention() time.Duration {
	if g.isWhole() {
		return wholeRetention
	}
	return retention
}

// Groups returns all groups, held and released ones, to tell them to other instances.
func (q *Quarantine) Groups(now time.Time) []Group {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropUnused(now)
	list := make([]Group, 0, len(q.groups))
	for _, g := range q.groups {
		told := g.clone()
		told.Idle = now.Sub(g.lastRequested)
		list = append(list, told)
	}
	return list
}

// Merge takes over the groups that another instance knows, as far as their terms or trials
// are newer, and returns those whose term was.
func (q *Quarantine) Merge(list []Group, now time.Time) []Group {
	if len(list) == 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropUnused(now)
	var newer []Group
	for _, in := range list {
		if !in.isValid() {
			continue
		}
		key := keyOf(in.Parts)
		g := q.groups[key]
		if g == nil && len(q.groups) >= maxGroups {
			continue
		}
		if g == nil {
			g = q.add(in.Parts)
		}
		if last := now.Add(-max(0, in.Idle)); last.After(g.lastRequested) {
			g.lastRequested = last
		}
		switch {
		case in.Term > g.Term:
			g.Term, g.Trials, g.changed = in.Term, in.Trials, now
			if !g.Held() {
				q.markSound(g.Parts, now)
			}
			newer = append(newer, g.clone())
		case in.Term == g.Term:
			g.addTrials(in.Trials, now)
		}
	}
	return newer
}

// isValid reports whether a group that another instance tells is within the limits of what is
// kept.
func (g Group) isValid() bool {
	return len(g.Parts) > 0 && validParts(g.Parts) && slices.IsSorted(g.Parts) && len(g.Trials) <= maxTrials && g.Idle <= wholeRetention
}

// markSound records that an answer to a request with the parts has begun. The caller holds
// the lock.
func (q *Quarantine) markSound(parts []string, now time.Time) {
	for _, p := range parts {
		q.begun.Add(xxhash.Sum64String(p), now)
	}
	q.collected = false
}

// addTrials adds the trials that this instance does not know.
func (g *group) addTrials(ids []string, now time.Time) {
	for _, id := range ids {
		if len(g.Trials) <= maxTrials && !slices.Contains(g.Trials, id) {
			g.Trials = append(g.Trials, id)
			g.changed = now
		}
	}
}
