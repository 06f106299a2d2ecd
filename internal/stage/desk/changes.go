package desk

// This file passes changes of the store from one instance to the next.

import (
	"errors"
	"fmt"

	"github.com/jacinthstile/jacinthstile/internal/edge/change"
	"github.com/jacinthstile/jacinthstile/internal/edge/fleet"
	"github.com/jacinthstile/jacinthstile/internal/stage/stagepb"
)

// tellChanges adds to a roll the changes after the revision that an asker knows,
// where all of them are at hand. An asker without a revision lists the store.
func (d *Desk) tellChanges(roll *stagepb.Roll, after uint64) *stagepb.Roll {
	if after == 0 || roll.Revision == 0 {
		return roll
	}
	list, to, ok := d.history.Since(after)
	if !ok || to < roll.Revision {
		return roll
	}
	roll.Revision, roll.Told = to, true
	for _, c := range list {
		roll.Changes = append(roll.Changes, encodeChange(c))
	}
	return roll
}

func encodeChange(c change.Change) *stagepb.Change {
	switch c := c.(type) {
	case change.Registered:
		e := c.Endpoint
		return &stagepb.Change{Kind: &stagepb.Change_Registered{Registered: &stagepb.Endpoint{
			Id: e.ID, Born: e.Born, Service: e.Service, Address: e.Address, Centre: e.Centre, Slots: uint32(max(0, e.Slots)),
			Draining: e.State == fleet.Draining,
		}}}
	case change.Unregistered:
		return &stagepb.Change{Kind: &stagepb.Change_Unregistered{Unregistered: c.ID}}
	case change.Unreadable:
		return &stagepb.Change{Kind: &stagepb.Change_Unreadable{Unreadable: c.Endpoint}}
	default:
		panic(fmt.Sprintf("desk: got change %T", c))
	}
}

// errTold is the reason of an entry that another instance could not read.
var errTold = errors.New("another instance could not read it")

// decodeChanges returns false where it does not know what some change is: a
// newer instance may tell of more.
func decodeChanges(list []*stagepb.Change) ([]change.Change, bool) {
	changes := make([]change.Change, 0, len(list))
	for _, c := range list {
		switch k := c.Kind.(type) {
		case *stagepb.Change_Registered:
			changes = append(changes, change.Registered{Endpoint: decodeEndpoint(k.Registered)})
		case *stagepb.Change_Unregistered:
			changes = append(changes, change.Unregistered{ID: k.Unregistered})
		case *stagepb.Change_Unreadable:
			changes = append(changes, change.Unreadable{Endpoint: k.Unreadable, Reason: errTold})
		default:
			return nil, false
		}
	}
	return changes, true
}

func decodeEndpoint(e *stagepb.Endpoint) fleet.Endpoint {
	state := fleet.Ready
	if e.GetDraining() {
		state = fleet.Draining
	}
	return fleet.Endpoint{
		ID: e.GetId(), Born: e.GetBorn(), Service: e.GetService(), Address: e.GetAddress(), Centre: e.GetCentre(),
		Slots: int(e.GetSlots()), State: state,
	}
}
