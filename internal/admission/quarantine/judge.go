package quarantine

// This file finds the parts that crash engines.

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	minCrashes = 3 // engines that lost requests with a part before it can be held back
	minPrompts = 2 // different prompts among these requests
	// certainCrashes is the number at which a part is held back also if an answer with it
	// has begun before, if repeats of one prompt caused all of them, or if other parts are as
	// likely to be the cause. For a whole request minCrashes are enough: equal requests are
	// rare, and sound ones among them are answered between the crashes.
	certainCrashes = 5
	// learningTime is how long a coordinator learns which parts are sound before fewer
	// crashes than certainCrashes are enough to hold one back.
	learningTime = 10 * time.Second
	// clearanceTime is how long a new coordinator waits for the clearances that others recorded
	// while they followed the former one. It covers two polls. Crashes under whole requests can
	// be judged from then on.
	clearanceTime = 600 * time.Millisecond
	// maxWholeEvidence is how many crashes under one request that is held back as a whole count
	// against the parts of its prompt. A part may be the cause, but repeats of one request do not
	// show it.
	maxWholeEvidence = 2
	// SettleTime is the age from which losses count: those of the same crash, seen by other
	// instances, have arrived by then.
	SettleTime = 150 * time.Millisecond
)

// Judge holds back the features against which the evidence is sufficient, and returns the
// groups that are new. Its caller has been told of begun answers since the time knownSince;
// parts of prompts are judged only once that shows which ones are sound.
func (q *Quarantine) Judge(knownSince, now time.Time) []Group {
	if now.Sub(knownSince) < clearanceTime {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.prune(now)
	q.dropUnused(now)
	evidence := q.unexplained(now)
	if now.Sub(knownSince) < begunWindow {
		evidence = withoutParts(evidence)
	}
	learning := now.Sub(knownSince) < learningTime
	var verdicts []Group
	for {
		groups, crashed := q.strongest(evidence, learning)
		if len(groups) == 0 {
			return verdicts
		}
		for _, parts := range groups {
			verdicts = append(verdicts, q.hold(parts, now))
		}
		evidence = withoutCrashes(evidence, crashed, !slices.ContainsFunc(verdicts[len(verdicts)-len(groups):], Group.isWhole))
	}
}

// withoutParts leaves the evidence against whole requests.
func withoutParts(losses []Loss) []Loss {
	return without(losses, func(_ Loss, feature string) bool { return !isWhole(feature) })
}

// withoutCrashes removes the evidence of crashes that verdicts explain: that against whole requests,
// and with parts set that against parts of prompts. A verdict on a whole request does not explain
// its first crashes as to parts: it may have a part in common with others that crash engines.
func withoutCrashes(losses []Loss, explained map[string]bool, parts bool) []Loss {
	return without(losses, func(l Loss, feature string) bool { return explained[l.Engine] && (parts || isWhole(feature)) })
}

// without removes features from losses, and the losses that have none left. It reuses their memory.
func without(losses []Loss, drop func(l Loss, feature string) bool) []Loss {
	kept := losses[:0]
	for _, l := range losses {
		if l.Parts = slices.DeleteFunc(l.Parts, func(feature string) bool { return drop(l, feature) }); len(l.Parts) > 0 {
			kept = append(kept, l)
		}
	}
	return kept
}

// unexplained returns the losses that count, with the features that have not been cleared and
// whose evidence no held group explains. The caller holds the lock.
func (q *Quarantine) unexplained(now time.Time) []Loss {
	explained, byWhole := make(map[string]bool), make(map[string]bool) // engines; byWhole as to whole requests only
	crashes := make(map[*group]map[string]bool)                        // the same engines, by the whole request that crashed them
	for _, l := range q.losses {
		features := append([]string{wholeOf(l.Fingerprint)}, l.Parts...)
		for _, g := range q.groups {
			switch {
			case !g.Held() || !g.within(features):
			case g.isWhole():
				if crashes[g] == nil {
					crashes[g] = make(map[string]bool)
				}
				if crashes[g][l.Engine] = true; len(crashes[g]) > maxWholeEvidence {
					explained[l.Engine] = true
				}
				byWhole[l.Engine] = true
			default:
				explained[l.Engine] = true
			}
		}
	}
	var list []Loss
	for _, l := range q.losses {
		if now.Sub(l.At) >= SettleTime {
			l.Parts = q.suspects(l)
			list = append(list, l)
		}
	}
	return withoutCrashes(withoutCrashes(list, explained, true), byWhole, false)
}

// record is the evidence against one feature.
type record struct {
	part    string
	sound   bool            // whether an answer with it has begun before, or may have
	engines map[string]bool // that lost requests with it
	prompts map[uint64]bool // of these requests
}

// strength orders records: by the different prompts, then by the crashes.
func (r *record) strength() int { return len(r.prompts)*maxLosses + len(r.engines) }

func (r *record) isSufficient() bool {
	if isWhole(r.part) {
		return len(r.engines) >= minCrashes
	}
	return len(r.engines) >= certainCrashes || len(r.engines) >= minCrashes && len(r.prompts) >= minPrompts && !r.sound
}

// strongest returns the group of parts that the losses speak against most, and the engines
// that it explains. Parts that the same requests have form one group, since the losses do
// not tell them apart. If other parts are as suspect, it waits for further losses, and
// returns all of them once there are certainCrashes. The caller holds the lock.
func (q *Quarantine) strongest(losses []Loss, learning bool) (groups [][]string, crashed map[string]bool) {
	crashed = make(map[string]bool)
	for best := mostSuspect(q.records(losses, learning)); len(best) > 0; {
		first, others := best[0], []*record(nil)
		var parts []string
		for _, r := range best {
			if maps.Equal(r.prompts, first.prompts) {
				parts = append(parts, r.part)
				maps.Copy(crashed, r.engines)
			} else {
				others = append(others, r)
			}
		}
		if len(others) > 0 && len(first.engines) < certainCrashes && !isWhole(first.part) {
			return nil, nil
		}
		groups, best = append(groups, parts), others
	}
	return groups, crashed
}

// records collects the evidence against each part. The caller holds the lock.
func (q *Quarantine) records(losses []Loss, learning bool) map[string]*record {
	records := make(map[string]*record)
	for _, l := range losses {
		for _, p := range l.Parts {
			r := records[p]
			if r == nil {
				r = &record{part: p, sound: learning && !isWhole(p) || q.begun.Contains(xxhash.Sum64String(p)), engines: make(map[string]bool), prompts: make(map[uint64]bool)}
				records[p] = r
			}
			r.engines[l.Engine], r.prompts[l.Prompt] = true, true
		}
	}
	return records
}

// mostSuspect returns the strongest of the records that are sufficient to hold back their
// parts, sorted by part.
func mostSuspect(records map[string]*record) []*record {
	var best []*record
	for _, r := range records {
		switch {
		case !r.isSufficient() || len(best) > 0 && r.strength() < best[0].strength():
		case len(best) > 0 && r.strength() == best[0].strength():
			best = append(best, r)
		default:
			best = []*record{r}
		}
	}
	slices.SortFunc(best, func(a, b *record) int { return cmp.Compare(a.part, b.part) })
	return best
}
