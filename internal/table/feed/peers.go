package feed

// This file tells peers which table is in force, and answers their calls.

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthstile/jacinthstile/internal/base/pause"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/peer/peerpb"
	"github.com/jacinthstile/jacinthstile/internal/peer/rendezvous"
	"github.com/jacinthstile/jacinthstile/internal/table/revision"
)

const (
	fanOut       = 4               // peers that an instance chooses to keep telling
	greetings    = 8               // peers that are asked at the start
	pulseEvery   = 2 * time.Second // on average
	pulseTimeout = 1500 * time.Millisecond
	peerMemory   = 10 * time.Second // a pulse that is older says nothing any more
	mostAnswer   = 1 << 20          // bytes of objects in one answer
)

// peer is what the last pulse of a peer said.
type peer struct {
	at    revision.Revision
	fresh bool // its last call of the platform did not fail
	heard time.Time
}

// gossip exchanges pulses until ctx ends: every pulseEvery with the chosen
// peers, and at once after a change also with those that chose this one.
func (f *Feed) gossip(ctx context.Context) {
	f.greet(ctx)
	for ctx.Err() == nil {
		t := time.NewTimer(pause.Jitter(pulseEvery))
		select {
		case <-f.raised:
			f.pulse(ctx, f.behind())
		case <-t.C:
			f.pulse(ctx, f.chosen(fanOut))
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// greet asks a larger number of peers once, when some are known.
func (f *Feed) greet(ctx context.Context) {
	const look = 50 * time.Millisecond
	for ctx.Err() == nil && time.Since(f.born) < f.start && !f.members.HasList() {
		pause.For(ctx, look)
	}
	f.pulse(ctx, f.chosen(greetings))
	f.greeted.Store(true)
}

func (f *Feed) chosen(n int) []string {
	return rendezvous.Choose(f.transport.Self().Name, f.members.Reachable(), n)
}

// behind returns the chosen peers, and those heard of late, that are not known
// to have the table in force here or a newer one.
func (f *Feed) behind() []string {
	at := f.inForce()
	names := f.chosen(fanOut)
	f.mu.Lock()
	defer f.mu.Unlock()
	tell := make(map[string]struct{})
	for _, n := range names {
		tell[n] = struct{}{}
	}
	for n, p := range f.peers {
		if time.Since(p.heard) > peerMemory {
			delete(f.peers, n)
			continue
		}
		tell[n] = struct{}{}
		if !at.After(p.at) {
			delete(tell, n)
		}
	}
	out := make([]string, 0, len(tell))
	for n := range tell {
		out = append(out, n)
	}
	return out
}

// pulse exchanges pulses with all named peers at once.
func (f *Feed) pulse(ctx context.Context, names []string) {
	ctx, cancel := context.WithTimeout(ctx, pulseTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, name := range names {
		all.Go(func() {
			var got peerpb.Pulse
			f.stats.pulses.Add(1)
			if err := f.call(ctx, name, method.Pulse, f.own(), &got); err == nil {
				f.note(name, &got)
			}
		})
	}
	all.Wait()
}

func (f *Feed) own() *peerpb.Pulse {
	at := f.inForce()
	return &peerpb.Pulse{Epoch: at.Epoch, Version: at.Version, Tie: at.Tie, Fresh: !f.failing.Load()}
}

// note takes over what a peer says of its table.
func (f *Feed) note(name string, p *peerpb.Pulse) {
	at := revision.Revision{Epoch: p.Epoch, Version: p.Version, Tie: p.Tie}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peered = now
	f.peers[name] = &peer{at: at, fresh: p.Fresh, heard: now}
	if at.Version > 0 && f.heardOf(at) {
		f.offers.Peer(at, name, now)
		f.supersede(at, name)
		signal(f.wake)
	}
}

// call sends one call to the peer of that name.
func (f *Feed) call(ctx context.Context, name string, k method.Method, in, out proto.Message) error {
	address, ok := f.members.AddressOf(name)
	if !ok {
		return fmt.Errorf("calling %s: the address of %s is not known", k, name)
	}
	_, err := f.transport.Call(ctx, address, k, in, out)
	return err
}

func (f *Feed) onPulse(_ context.Context, from identity.Identity, body []byte) ([]byte, error) {
	var p peerpb.Pulse
	if err := proto.Unmarshal(body, &p); err != nil {
		return nil, err
	}
	f.note(from.Name, &p)
	return proto.Marshal(f.own())
}

func (f *Feed) onManifest(context.Context, identity.Identity, []byte) ([]byte, error) {
	f.mu.Lock()
	data := f.current
	f.mu.Unlock()
	return proto.Marshal(&peerpb.Blob{Data: data})
}

func (f *Feed) onPart(_ context.Context, _ identity.Identity, body []byte) ([]byte, error) {
	var want peerpb.Want
	if err := proto.Unmarshal(body, &want); err != nil {
		return nil, err
	}
	var out peerpb.Objects
	size := 0
	for _, d := range want.Digests[:min(len(want.Digests), mostBatch)] {
		data, ok := f.objects.Get(d)
		if !ok {
			continue
		}
		if size += len(data); size > mostAnswer && len(out.Objects) > 0 {
			break
		}
		out.Objects = append(out.Objects, &peerpb.Blob{Digest: d, Data: data})
	}
	return proto.Marshal(&out)
}
