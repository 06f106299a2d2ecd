package forwarder

// This file keeps which software began each stream. Nothing lasts beyond a process, so each record
// is kept by the instance that served the first event and by numKeepers others.

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/pause"
	"github.com/jacinthstile/jacinthstile/internal/edge/origin"
	"github.com/jacinthstile/jacinthstile/internal/edge/originlog"
	"github.com/jacinthstile/jacinthstile/internal/peer/encoding"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/stage/election"
	"github.com/jacinthstile/jacinthstile/internal/stage/stagepb"
)

const (
	// numKeepers is to how many other instances each record is told: candidates and seeds, which
	// all instances know.
	numKeepers = 4
	// beginInterval is how long records are collected for a keeper that is not the
	// coordinator, which gets messages about most streams anyway.
	beginInterval = 100 * time.Millisecond
	// originTimeout is how long a stream that is taken up waits for the instances that may
	// know its origin.
	originTimeout = 300 * time.Millisecond
	// originPause is the time until they are asked once more: a stream that broke soon after it
	// began may be taken up before its record has reached the coordinator.
	originPause    = 50 * time.Millisecond
	maxToldStreams = 1 << 16 // in one message
	maxToldOrigins = 256     // in one message
)

// origins holds what an instance knows of the streams that began.
type origins struct {
	own     *originlog.Log // of streams that this instance serves
	kept    *originlog.Log // of streams of other instances
	mu      sync.Mutex
	keepers []election.Candidate // instances that keep the own ones too
}

func newOrigins() *origins { return &origins{own: originlog.New(), kept: originlog.New()} }

func (o *origins) lookup(stream uint64, now time.Time) (origin.Origin, bool) {
	if found, ok := o.own.Lookup(stream, now); ok {
		return found, true
	}
	return o.kept.Lookup(stream, now)
}

func (o *origins) currentKeepers() []election.Candidate {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.keepers
}

// RecordBegun records the origin of a stream whose first event has come, and tells the keepers.
func (f *Forwarder) RecordBegun(stream uint64, o origin.Origin) {
	f.origins.own.Record(stream, o, time.Now())
	for _, k := range f.origins.currentKeepers() {
		f.reportBegun(k.Address, o, []uint64{stream})
	}
}

func (f *Forwarder) reportBegun(address string, o origin.Origin, streams []uint64) {
	if o.Service == "" {
		return
	}
	c := f.remoteCoordinator(address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun == nil {
		c.begun = make(map[origin.Origin][]uint64)
	}
	if c.numBegun+len(streams) > maxToldStreams {
		return
	}
	c.begun[o] = append(c.begun[o], streams...)
	c.numBegun += len(streams)
	f.scheduleFlush(c, beginInterval)
}

// updateKeepers chooses the keepers anew, and tells a new one all streams that this instance
// serves.
func (f *Forwarder) updateKeepers(now time.Time) {
	added := f.origins.replaceKeepers(f.election.Keepers(numKeepers, now))
	if len(added) == 0 {
		return
	}
	for o, streams := range f.origins.own.Streams(now) {
		for _, address := range added {
			f.reportBegun(address, o, streams)
		}
	}
}

// replaceKeepers sets the keepers and returns the addresses of those that know nothing yet. One that
// has been started again has forgotten what it was told.
func (o *origins) replaceKeepers(next []election.Candidate) (added []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, k := range next {
		known := slices.ContainsFunc(o.keepers, func(b election.Candidate) bool { return b.Address == k.Address && b.StartTime == k.StartTime })
		if !known {
			added = append(added, k.Address)
		}
	}
	o.keepers = next
	return added
}

// forgetKeeper has the instance at address told all streams again: it did not get some of them.
func (o *origins) forgetKeeper(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keepers = slices.DeleteFunc(slices.Clone(o.keepers), func(k election.Candidate) bool { return k.Address == address })
}

// Origin returns the software that began a stream; its version is empty if that is in doubt. If this
// instance has no record, those are asked that may.
func (f *Forwarder) Origin(ctx context.Context, stream uint64) (origin.Origin, bool) {
	if o, ok := f.origins.lookup(stream, time.Now()); ok {
		return o, true
	}
	if f.waitSettled(ctx) != nil {
		return origin.Origin{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	o, ok := f.askOrigin(ctx, stream)
	if !ok && pause.For(ctx, originPause) {
		return f.askOrigin(ctx, stream)
	}
	return o, ok
}

// askOrigin asks the instances that may know a stream. The first answer with a version counts, or
// else one which says that the version is in doubt.
func (f *Forwarder) askOrigin(ctx context.Context, stream uint64) (origin.Origin, bool) {
	addresses := f.election.Reachable(time.Now())
	answers := make(chan origin.Origin, len(addresses))
	for _, address := range addresses {
		go func() {
			out := new(stagepb.OriginAnswer)
			if _, err := f.transport.Call(ctx, address, method.StageOrigin, &stagepb.OriginQuery{Stream: stream}, out); err != nil {
				f.log.V(1).Info("origin of a stream not asked", "instance", address, "reason", err.Error())
			}
			answers <- origin.Origin{Service: out.Service, Version: out.Version}
		}()
	}
	var doubtful origin.Origin
	for range addresses {
		o := <-answers
		if o.Known() {
			f.origins.kept.Record(stream, o, time.Now())
			return o, true
		}
		if o.Service != "" {
			doubtful = o
		}
	}
	return doubtful, doubtful.Service != ""
}

// handleOrigins registers the handler of queries for origins.
func (f *Forwarder) handleOrigins() {
	f.transport.Handle(method.StageOrigin, func(_ context.Context, _ identity.Identity, body []byte) ([]byte, error) {
		var in stagepb.OriginQuery
		if err := encoding.Unmarshal(body, &in); err != nil {
			return nil, err
		}
		o, _ := f.origins.lookup(in.Stream, time.Now())
		return encoding.Marshal(&stagepb.OriginAnswer{Service: o.Service, Version: o.Version})
	})
}

// learnBegun records the streams that another instance tells.
func (f *Forwarder) learnBegun(list []*stagepb.Begun, now time.Time) {
	left := maxToldStreams
	for _, b := range list[:min(len(list), maxToldOrigins)] {
		streams := b.Streams[:min(len(b.Streams), left)]
		left -= len(streams)
		for _, stream := range streams {
			f.origins.kept.Record(stream, origin.Origin{Service: b.Service, Version: b.Version}, now)
		}
	}
}

func encodeBegun(begun map[origin.Origin][]uint64) []*stagepb.Begun {
	var list []*stagepb.Begun
	for o, streams := range begun {
		list = append(list, &stagepb.Begun{Service: o.Service, Version: o.Version, Streams: streams})
	}
	return list
}

// encodeDeparted returns the message of the versions that went out of service a short time ago.
func (f *Forwarder) encodeDeparted(now time.Time) []*stagepb.Software {
	var list []*stagepb.Software
	for o, at := range f.versions.Departed(now) {
		if len(list) < maxToldOrigins {
			list = append(list, &stagepb.Software{Service: o.Service, Version: o.Version, AgeMs: uint32(max(0, now.Sub(at).Milliseconds()))})
		}
	}
	return list
}

func (f *Forwarder) learnDeparted(list []*stagepb.Software, now time.Time) {
	for _, s := range list[:min(len(list), maxToldOrigins)] {
		f.versions.Learn(origin.Origin{Service: s.Service, Version: s.Version}, now.Add(-clamp(time.Duration(s.AgeMs)*time.Millisecond)))
	}
}
