package forwarder

// This file passes changes of the store to peers, so that they need not ask the
// store themselves.

import (
	"errors"
	"fmt"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/change"
	"github.com/jacinthstile/jacinthstile/internal/edge/position"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/stage/stagepb"
)

// addChanges adds to the roll that answers a poll all changes since the position after,
// which is the one that the polling instance knows, and sets Told, which says that the
// changes are complete. If the history no longer holds all of them, or either instance
// knows no position, it adds none; an instance without a position lists the store
// itself.
func (f *Forwarder) addChanges(roll *stagepb.Roll, after position.Position) *stagepb.Roll {
	own := positionOf(roll)
	if !after.Known() || !own.Known() {
		return roll
	}
	list, to, ok := f.history.Since(after)
	if !ok || to.Before(own) {
		return roll
	}
	roll.Era, roll.Revision, roll.Told = to.Era, to.Revision, true
	for _, c := range list {
		roll.Changes = append(roll.Changes, encodeChange(c))
	}
	return roll
}

// positionOf returns the position in the store up to which the sender of a roll knows
// all changes. An instance of an older build names no era.
func positionOf(roll *stagepb.Roll) position.Position {
	return position.Position{Era: roll.Era, Revision: roll.Revision}
}

func encodeChange(c change.Change) *stagepb.Change {
	switch c := c.(type) {
	case change.Registered:
		e := c.Endpoint
		return &stagepb.Change{Kind: &stagepb.Change_Registered{Registered: &stagepb.Endpoint{
			Id: e.ID, Born: e.StartTime, Service: e.Service, Address: e.Address, Centre: e.Centre, Slots: uint32(max(0, e.Slots)),
			Draining: e.State == registry.Draining, Version: e.Version,
			WarmupMs: uint32(max(0, e.WarmUp.Milliseconds())), Sequence: e.Sequence,
		}}}
	case change.Unregistered:
		return &stagepb.Change{Kind: &stagepb.Change_Unregistered{Unregistered: c.ID}}
	case change.Unreadable:
		return &stagepb.Change{Kind: &stagepb.Change_Unreadable{Unreadable: c.Endpoint}}
	default:
		panic(fmt.Sprintf("encoding a change of the store: got unknown type %T", c))
	}
}

// errUnreadable is the reason given for an entry that a peer could not read. Peers
// do not send the original error.
var errUnreadable = errors.New("a peer reported that it could not read the entry")

// decodeChanges returns false if any change is of an unknown kind, which an
// instance of a newer version may send.
func decodeChanges(list []*stagepb.Change) ([]change.Change, bool) {
	changes := make([]change.Change, 0, len(list))
	for _, c := range list {
		switch k := c.Kind.(type) {
		case *stagepb.Change_Registered:
			e := decodeEndpoint(k.Registered)
			if err := e.Check(); err != nil {
				changes = append(changes, change.Unreadable{Endpoint: e.ID, Reason: fmt.Errorf("a peer reported endpoint %.40q: %w", e.ID, err)})
				continue
			}
			changes = append(changes, change.Registered{Endpoint: e})
		case *stagepb.Change_Unregistered:
			changes = append(changes, change.Unregistered{ID: k.Unregistered})
		case *stagepb.Change_Unreadable:
			changes = append(changes, change.Unreadable{Endpoint: k.Unreadable, Reason: errUnreadable})
		default:
			return nil, false
		}
	}
	return changes, true
}

func decodeEndpoint(e *stagepb.Endpoint) registry.Endpoint {
	state := registry.Ready
	if e.GetDraining() {
		state = registry.Draining
	}
	return registry.Endpoint{
		ID: e.GetId(), StartTime: e.GetBorn(), Service: e.GetService(), Address: e.GetAddress(), Centre: e.GetCentre(),
		Slots: int(e.GetSlots()), State: state, Version: e.GetVersion(),
		WarmUp: time.Duration(e.GetWarmupMs()) * time.Millisecond, Sequence: e.GetSequence(),
	}
}
