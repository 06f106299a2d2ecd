package syncer

// This file exchanges the revision in force with peers by gossip, and serves
// their calls for manifests and objects.

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthstile/jacinthstile/internal/base/pause"
	"github.com/jacinthstile/jacinthstile/internal/peer/encoding"
	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/peer/peerpb"
	"github.com/jacinthstile/jacinthstile/internal/peer/rendezvous"
	"github.com/jacinthstile/jacinthstile/internal/table/revision"
)

const (
	gossipFanOut     = 4               // peers that each instance sends pulses to regularly
	initialPeers     = 8               // peers that the first pulse after the start goes to
	pulseInterval    = 2 * time.Second // mean; jittered
	pulseTimeout     = 1500 * time.Millisecond
	pulseExpiry      = 10 * time.Second // age at which the last pulse of a peer is ignored
	maxResponseBytes = 1 << 20          // object bytes in one response; a single larger object is still sent
)

// peer is the state of another instance as given by its last pulse.
type peer struct {
	at         revision.Revision
	fresh      bool // its last call to the platform succeeded
	receivedAt time.Time
}

// gossip exchanges pulses until ctx ends: every pulseInterval with the peers
// that this instance chose, and immediately after a new table comes into force
// with every chosen peer, and every peer that sent a pulse recently, that may
// still have an older table.
func (s *Syncer) gossip(ctx context.Context) {
	s.exchangeInitially(ctx)
	for ctx.Err() == nil {
		t := time.NewTimer(pause.Jitter(pulseInterval))
		select {
		case <-s.activated:
			s.sendPulses(ctx, s.outdatedPeers())
		case <-t.C:
			s.sendPulses(ctx, s.choosePeers(gossipFanOut))
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// exchangeInitially sends one pulse to a larger number of peers, so that a new
// instance soon learns of the newest table. It first waits until the list of
// instances is known, but at most until readyTimeout has passed since the start.
func (s *Syncer) exchangeInitially(ctx context.Context) {
	const checkInterval = 50 * time.Millisecond
	for ctx.Err() == nil && time.Since(s.startTime) < s.readyTimeout && !s.members.HasList() {
		pause.For(ctx, checkInterval)
	}
	s.sendPulses(ctx, s.choosePeers(initialPeers))
	s.initialExchangeDone.Store(true)
}

// choosePeers returns up to n peers, by rendezvous hash of this instance's name.
func (s *Syncer) choosePeers(n int) []string {
	return rendezvous.Choose(s.transport.Self().Name, s.members.Reachable(), n)
}

// outdatedPeers returns the chosen peers, and those with a recent pulse, except
// the ones known to have the table in force here or a newer one. It also forgets
// expired pulses.
func (s *Syncer) outdatedPeers() []string {
	at := s.inForce()
	names := s.choosePeers(gossipFanOut)
	s.mu.Lock()
	defer s.mu.Unlock()
	outdated := make(map[string]struct{})
	for _, n := range names {
		outdated[n] = struct{}{}
	}
	for n, p := range s.peers {
		if time.Since(p.receivedAt) > pulseExpiry {
			delete(s.peers, n)
			continue
		}
		outdated[n] = struct{}{}
		if !at.After(p.at) {
			delete(outdated, n)
		}
	}
	out := make([]string, 0, len(outdated))
	for n := range outdated {
		out = append(out, n)
	}
	return out
}

// sendPulses exchanges pulses with all named peers concurrently. Failed calls
// are ignored: the next pulse repeats them.
func (s *Syncer) sendPulses(ctx context.Context, names []string) {
	ctx, cancel := context.WithTimeout(ctx, pulseTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, name := range names {
		all.Go(func() {
			var got peerpb.Pulse
			s.stats.pulses.Add(1)
			if err := s.call(ctx, name, method.Pulse, s.ownPulse(), &got); err == nil {
				s.recordPulse(name, &got)
			}
		})
	}
	all.Wait()
}

// ownPulse returns this instance's pulse: its revision in force and whether it
// reaches the platform.
func (s *Syncer) ownPulse() *peerpb.Pulse {
	at := s.inForce()
	return &peerpb.Pulse{Epoch: at.Epoch, Version: at.Version, Tie: at.Tie, Fresh: !s.platformFailing.Load()}
}

// recordPulse stores the pulse of a peer and queues the peer's table if it is
// newer than the one in force here.
func (s *Syncer) recordPulse(name string, p *peerpb.Pulse) {
	at := revision.Revision{Epoch: p.Epoch, Version: p.Version, Tie: p.Tie}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerSeen = now
	s.peers[name] = &peer{at: at, fresh: p.Fresh, receivedAt: now}
	if at.Version > 0 && s.checkNewer(at) {
		s.queue.AddFromPeer(at, name, now)
		s.cancelSuperseded(at, name)
		signal(s.queued)
	}
}

// call makes one call to the named peer.
func (s *Syncer) call(ctx context.Context, name string, m method.Method, in, out proto.Message) error {
	address, ok := s.members.AddressOf(name)
	if !ok {
		return fmt.Errorf("calling %s: the address of %s is not known", m, name)
	}
	_, err := s.transport.Call(ctx, address, m, in, out)
	return err
}

// onPulse handles a pulse from a peer and responds with this instance's own.
func (s *Syncer) onPulse(_ context.Context, from identity.Identity, body []byte) ([]byte, error) {
	var p peerpb.Pulse
	if err := encoding.Unmarshal(body, &p); err != nil {
		return nil, err
	}
	s.recordPulse(from.Name, &p)
	return proto.Marshal(s.ownPulse())
}

// onManifest responds with the manifest of the table in force, empty if there is none.
func (s *Syncer) onManifest(context.Context, identity.Identity, []byte) ([]byte, error) {
	s.mu.Lock()
	data := s.manifestData
	s.mu.Unlock()
	return proto.Marshal(&peerpb.Blob{Data: data})
}

// onPart responds with those of the requested objects that this instance holds,
// within the limits on count and bytes. The peer asks again for the rest.
func (s *Syncer) onPart(_ context.Context, _ identity.Identity, body []byte) ([]byte, error) {
	var want peerpb.Want
	if err := encoding.Unmarshal(body, &want); err != nil {
		return nil, err
	}
	var out peerpb.Objects
	size := 0
	for _, d := range want.Digests[:min(len(want.Digests), maxBatchDigests)] {
		data, ok := s.objects.Get(d)
		if !ok {
			continue
		}
		if size += len(data); size > maxResponseBytes && len(out.Objects) > 0 {
			break
		}
		out.Objects = append(out.Objects, &peerpb.Blob{Digest: d, Data: data})
	}
	return proto.Marshal(&out)
}
