package feed

// This file fetches one table.

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/peer/peerpb"
	"github.com/jacinthstile/jacinthstile/internal/table/manifest"
	"github.com/jacinthstile/jacinthstile/internal/table/offer"
	"github.com/jacinthstile/jacinthstile/internal/table/revision"
)

const (
	readsAtOnce = 4
	mostBatch   = 256 // digests in one peer call
	mostTries   = 3   // peers asked for the same objects
)

// round puts an offer in force. Its error is a *refused where the content is at fault.
func (f *Feed) round(ctx context.Context, o offer.Offer) error {
	data, err := f.manifestOf(ctx, o)
	if err != nil {
		return err
	}
	m, err := manifest.Parse(data)
	if err != nil {
		return &refused{at: o.At, cause: err}
	}
	if !m.Revision().After(f.inForce()) {
		return nil
	}
	f.pace(m.Revision())
	f.keep(m.Groups)
	saved := f.sizeOf(m.Groups)
	if err := f.fetch(ctx, m.Revision(), m.Groups, o.Holders); err != nil {
		return err
	}
	parts, err := m.Parts(f.objects)
	if err != nil {
		return &refused{at: m.Revision(), cause: err}
	}
	f.keep(m.Groups, parts)
	saved += f.sizeOf(parts)
	if err := f.fetch(ctx, m.Revision(), parts, o.Holders); err != nil {
		return err
	}
	f.stats.savedBytes.Add(saved)
	return f.adopt(m, data)
}

// keep drops the objects that for some time neither the table in force nor the
// lists named.
func (f *Feed) keep(lists ...[]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objects.Retain(time.Now(), append(lists, f.digests)...)
}

// sizeOf returns the bytes of those objects that are held.
func (f *Feed) sizeOf(digests []string) int64 {
	n := 0
	for _, d := range digests {
		data, _ := f.objects.Get(d)
		n += len(data)
	}
	return int64(n)
}

// manifestOf returns the manifest of an offer, from a peer where the platform
// did not give it. A peer that has moved on meanwhile gives a newer one.
func (f *Feed) manifestOf(ctx context.Context, o offer.Offer) ([]byte, error) {
	if o.Data != nil {
		return o.Data, nil
	}
	err := errors.New("no peer holds it")
	for _, name := range o.Holders[:min(len(o.Holders), mostTries)] {
		var blob peerpb.Blob
		if err = f.call(ctx, name, method.Manifest, &peerpb.Blob{}, &blob); err != nil {
			continue
		}
		f.stats.peerBytes.Add(int64(len(blob.Data)))
		m, bad := manifest.Parse(blob.Data)
		if bad == nil && !o.At.After(m.Revision()) {
			return blob.Data, nil
		}
		err = fmt.Errorf("reading manifest of %s: got %s (%v), want %s", name, m.Revision(), bad, o.At)
	}
	return nil, err
}

// fetch gets the objects that are not held, from the holders first, from the
// platform else. What comes is kept even if some are missing at the end. Peers
// that turn out to hold the table meanwhile are asked next.
func (f *Feed) fetch(ctx context.Context, at revision.Revision, digests, holders []string) error {
	tried := make(map[string]bool)
	for {
		missing := f.objects.Missing(digests)
		if len(missing) == 0 {
			return nil
		}
		if name, ok := untried(holders, tried); ok {
			if err := f.fetchFrom(ctx, name, missing); err != nil {
				f.log.V(1).Info("parts not fetched from peer", "peer", name, "reason", err.Error())
			}
			continue
		}
		err := f.readAll(ctx, at, missing, tried)
		if !errors.Is(err, errHolder) {
			return err
		}
		holders = f.holders(at)
	}
}

// untried returns the first of the holders that was not asked, and notes it as
// asked. At most mostTries are asked in all.
func untried(holders []string, tried map[string]bool) (string, bool) {
	if len(tried) >= mostTries {
		return "", false
	}
	for _, name := range holders {
		if !tried[name] {
			tried[name] = true
			return name, true
		}
	}
	return "", false
}

func (f *Feed) holders(at revision.Revision) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.offers.Holders(at)
}

// reading is a table whose objects are being read from the platform.
type reading struct {
	at     revision.Revision
	tried  map[string]bool // peers that were asked before
	cancel context.CancelCauseFunc
}

var (
	errHolder = errors.New("another peer holds the table")
	errNewer  = errors.New("a peer holds a newer table")
)

// readAll reads objects from the platform. It ends with errHolder once a peer
// that was not tried holds the table, and with errNewer once one holds a newer.
func (f *Feed) readAll(ctx context.Context, at revision.Revision, missing []string, tried map[string]bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.mu.Lock()
	f.reading = &reading{at: at, tried: tried, cancel: cancel}
	for _, name := range f.offers.Holders(at) {
		f.supersede(at, name)
	}
	f.mu.Unlock()
	group, reads := errgroup.WithContext(ctx)
	group.SetLimit(readsAtOnce)
	for _, d := range missing {
		group.Go(func() error { return f.read(reads, d) })
	}
	err := group.Wait()
	f.mu.Lock()
	f.reading = nil
	f.mu.Unlock()
	if err != nil {
		return cmp.Or(context.Cause(ctx), err)
	}
	return nil
}

// supersede ends the reading of a table that the named peer holds, or holds a
// newer one than. The caller holds f.mu.
func (f *Feed) supersede(at revision.Revision, name string) {
	r := f.reading
	switch {
	case r == nil || r.at.After(at):
	case at.After(r.at):
		r.cancel(errNewer)
	case !r.tried[name] && len(r.tried) < mostTries:
		r.cancel(errHolder)
	}
}

// fetchFrom asks one peer for objects, in batches, until it has no more of them.
func (f *Feed) fetchFrom(ctx context.Context, name string, missing []string) error {
	for len(missing) > 0 {
		want := &peerpb.Want{Digests: missing[:min(len(missing), mostBatch)]}
		var got peerpb.Objects
		if err := f.call(ctx, name, method.Part, want, &got); err != nil {
			return err
		}
		if len(got.Objects) == 0 {
			return errors.New("it holds no more of them")
		}
		for _, o := range got.Objects {
			f.stats.peerBytes.Add(int64(len(o.Data)))
			if err := f.objects.Put(o.Digest, o.Data); err != nil {
				return err
			}
		}
		left := f.objects.Missing(missing)
		if len(left) == len(missing) {
			return errors.New("it sent none that was asked for")
		}
		missing = left
	}
	return nil
}
