package syncer

// This file fetches one table and puts it in force.

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/peer/peerpb"
	"github.com/jacinthstile/jacinthstile/internal/table/fetchqueue"
	"github.com/jacinthstile/jacinthstile/internal/table/manifest"
	"github.com/jacinthstile/jacinthstile/internal/table/revision"
)

const (
	maxConcurrentReads = 4
	maxBatchDigests    = 256 // digests in one call to a peer
	maxPeerTries       = 3   // peers asked for the same manifest or objects
)

// fetchAndActivate fetches the table of a queue entry and puts it in force. It
// returns an *invalidTableError if the content of the table fails its checks.
func (s *Syncer) fetchAndActivate(ctx context.Context, e fetchqueue.Entry) error {
	data, err := s.fetchManifest(ctx, e)
	if err != nil {
		return err
	}
	m, err := manifest.Parse(data)
	if err != nil {
		return &invalidTableError{at: e.Revision, cause: err}
	}
	if !m.Revision().After(s.inForce()) {
		return nil
	}
	s.setReadRate(m.Revision())
	s.retain(m.Groups)
	saved := s.heldBytes(m.Groups)
	if err := s.fetchObjects(ctx, m.Revision(), m.Groups, e.Peers); err != nil {
		return err
	}
	parts, err := m.Parts(s.objects)
	if err != nil {
		return &invalidTableError{at: m.Revision(), cause: err}
	}
	s.retain(m.Groups, parts)
	saved += s.heldBytes(parts)
	if err := s.fetchObjects(ctx, m.Revision(), parts, e.Peers); err != nil {
		return err
	}
	s.stats.savedBytes.Add(saved)
	return s.activate(m, data)
}

// retain marks the objects that neither the table in force nor the lists name
// as unused, and drops those that have been unused for the store's grace period.
func (s *Syncer) retain(lists ...[]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects.Retain(time.Now(), append(lists, s.inUse)...)
}

// heldBytes returns the total size of those objects that are held already.
func (s *Syncer) heldBytes(digests []string) int64 {
	n := 0
	for _, d := range digests {
		data, _ := s.objects.Get(d)
		n += len(data)
	}
	return int64(n)
}

// fetchManifest returns the manifest of a queue entry, from a peer if the
// platform did not provide it. The result is of a newer table than e if the peer
// has put a newer one in force by now.
func (s *Syncer) fetchManifest(ctx context.Context, e fetchqueue.Entry) ([]byte, error) {
	if e.Manifest != nil {
		return e.Manifest, nil
	}
	err := errors.New("no peer is known to have the table")
	for _, name := range e.Peers[:min(len(e.Peers), maxPeerTries)] {
		var blob peerpb.Blob
		if err = s.call(ctx, name, method.Manifest, &peerpb.Blob{}, &blob); err != nil {
			continue
		}
		s.stats.peerBytes.Add(int64(len(blob.Data)))
		m, bad := manifest.Parse(blob.Data)
		if bad == nil && !e.Revision.After(m.Revision()) {
			return blob.Data, nil
		}
		err = fmt.Errorf("reading manifest of %s: got %s (%v), want %s", name, m.Revision(), bad, e.Revision)
	}
	return nil, err
}

// fetchObjects fetches the objects that are not held, first from the peers that
// have the table, then from the platform. Objects that were fetched stay in the
// store even if the call fails, so that a retry needs only the rest. If another
// peer announces the table during the platform read, the read is interrupted and
// that peer is asked next.
func (s *Syncer) fetchObjects(ctx context.Context, at revision.Revision, digests, peers []string) error {
	tried := make(map[string]bool)
	for {
		missing := s.objects.Missing(digests)
		if len(missing) == 0 {
			return nil
		}
		if name, ok := nextUntried(peers, tried); ok {
			if err := s.fetchFromPeer(ctx, name, missing); err != nil {
				s.log.V(1).Info("parts not fetched from peer", "peer", name, "reason", err.Error())
			}
			continue
		}
		err := s.readFromPlatform(ctx, at, missing, tried)
		if !errors.Is(err, errPeerHasTable) {
			return err
		}
		peers = s.peersWith(at)
	}
}

// nextUntried returns the first of the peers that is not in tried and adds it
// there. It returns false once maxPeerTries peers were tried.
func nextUntried(peers []string, tried map[string]bool) (string, bool) {
	if len(tried) >= maxPeerTries {
		return "", false
	}
	for _, name := range peers {
		if !tried[name] {
			tried[name] = true
			return name, true
		}
	}
	return "", false
}

// peersWith returns the peers known to have the table at that revision.
func (s *Syncer) peersWith(at revision.Revision) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.PeersOf(at)
}

// platformRead is a running read of a table's objects from the platform.
type platformRead struct {
	at     revision.Revision
	tried  map[string]bool // peers that were asked for the objects before
	cancel context.CancelCauseFunc
}

var (
	errPeerHasTable = errors.New("another peer has the table now")
	errSuperseded   = errors.New("a peer has a newer table")
)

// readFromPlatform reads the missing objects from the platform. It stops with
// errPeerHasTable once a peer that was not tried has the table, since the read
// from there is cheaper, and with errSuperseded once a peer has a newer table.
func (s *Syncer) readFromPlatform(ctx context.Context, at revision.Revision, missing []string, tried map[string]bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.mu.Lock()
	s.platformRead = &platformRead{at: at, tried: tried, cancel: cancel}
	for _, name := range s.queue.PeersOf(at) {
		s.cancelSuperseded(at, name)
	}
	s.mu.Unlock()
	group, reads := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentReads)
	for _, d := range missing {
		group.Go(func() error { return s.readObject(reads, d) })
	}
	err := group.Wait()
	s.mu.Lock()
	s.platformRead = nil
	s.mu.Unlock()
	if err != nil {
		return cmp.Or(context.Cause(ctx), err)
	}
	return nil
}

// cancelSuperseded cancels the running read from the platform if the named peer,
// which has the table at that revision, can provide the table being read or has
// a newer one. The caller holds s.mu.
func (s *Syncer) cancelSuperseded(at revision.Revision, name string) {
	r := s.platformRead
	switch {
	case r == nil || r.at.After(at):
	case at.After(r.at):
		r.cancel(errSuperseded)
	case !r.tried[name] && len(r.tried) < maxPeerTries:
		r.cancel(errPeerHasTable)
	}
}

// fetchFromPeer fetches the missing objects from one peer, in batches. It returns
// an error if the peer lacks some of them; the others are stored.
func (s *Syncer) fetchFromPeer(ctx context.Context, name string, missing []string) error {
	for len(missing) > 0 {
		want := &peerpb.Want{Digests: missing[:min(len(missing), maxBatchDigests)]}
		var got peerpb.Objects
		if err := s.call(ctx, name, method.Part, want, &got); err != nil {
			return err
		}
		if len(got.Objects) == 0 {
			return errors.New("peer holds none of the remaining objects")
		}
		for _, o := range got.Objects {
			s.stats.peerBytes.Add(int64(len(o.Data)))
			if err := s.objects.Put(o.Digest, o.Data); err != nil {
				return err
			}
		}
		left := s.objects.Missing(missing)
		if len(left) == len(missing) {
			return errors.New("peer sent none of the requested objects")
		}
		missing = left
	}
	return nil
}
