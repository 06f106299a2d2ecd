package forwarder

// This file tells instances that have no path to endpoints which others serve requests for them.

import (
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/relays"
	"github.com/jacinthstile/jacinthstile/internal/stage/stagepb"
)

const maxToldRelays = 64 // in one message

// nameRelays returns instances that reach the services, for one that asks. This instance itself is
// among them only if there is no other, as it has the work of the coordinator.
func (f *Forwarder) nameRelays(asking relays.Relay, services []string, now time.Time) []relays.Relay {
	list := f.roster.Name(asking, services, now)
	own := f.relay()
	if len(list) == 0 && own.Address != "" && own.Address != asking.Address {
		f.roster.Record(own, f.unreachable(), now)
		list = f.roster.Name(asking, services, now)
	}
	return list
}

// updateRelays has this instance serve itself as the coordinator, which polls no other one.
func (f *Forwarder) updateRelays(now time.Time) {
	if services := f.unreachable(); len(services) > 0 && !f.followsPeer() {
		f.relays.Learn(f.roster.Name(f.relay(), services, now), now)
	}
}

// prepareToLead has the paths of this instance checked if the leader has lost its own, and this
// instance is among those that may follow it: it may have the same fate, and not know it yet.
func (f *Forwarder) prepareToLead(leader *stagepb.Roll) {
	if len(leader.Unreachable) == 0 {
		return
	}
	if slices.ContainsFunc(leader.Candidates, func(c *stagepb.Candidate) bool { return c.Address == f.self }) {
		f.checkPaths()
	}
}

func (f *Forwarder) learnRelays(list []*stagepb.Relay, now time.Time) {
	if len(list) == 0 {
		return
	}
	known := make([]relays.Relay, 0, min(len(list), maxToldRelays))
	for _, r := range list[:min(len(list), maxToldRelays)] {
		known = append(known, relays.Relay{Address: r.Address, Centre: r.Centre})
	}
	f.relays.Learn(known, now)
}

func encodeRelays(list []relays.Relay) []*stagepb.Relay {
	out := make([]*stagepb.Relay, len(list))
	for i, r := range list {
		out[i] = &stagepb.Relay{Address: r.Address, Centre: r.Centre}
	}
	return out
}
