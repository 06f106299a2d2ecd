package feed

// This file exchanges manifests and parts with peers.

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/kind"
	"github.com/jacinthstile/jacinthstile/internal/peer/peerpb"
)

// pulse tells each listed peer which table is in force here, and pulls from those that have a newer one.
func (f *Feed) pulse(ctx context.Context) {
	tick := time.NewTicker(pulseEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		for _, i := range f.roster.List().Instances {
			if i.Entry && i.Name != f.mesh.Self().Name {
				f.pulseOne(ctx, i.Address)
			}
		}
	}
}

func (f *Feed) pulseOne(ctx context.Context, address string) {
	epoch, version := f.tables.Pair()
	var got peerpb.Pulse
	_, err := f.mesh.Call(ctx, address, kind.Pulse, &peerpb.Pulse{Epoch: epoch, Version: version}, &got)
	if err != nil {
		return
	}
	if got.Epoch > epoch || got.Epoch == epoch && got.Version > version {
		f.pull(ctx, address)
	}
}

// pull puts the manifest that a peer has in force here too.
func (f *Feed) pull(ctx context.Context, address string) {
	var blob peerpb.Blob
	if _, err := f.mesh.Call(ctx, address, kind.Manifest, &peerpb.Blob{}, &blob); err != nil {
		return
	}
	err := f.offer(ctx, blob.Data, func(ctx context.Context, digest string) ([]byte, error) {
		var part peerpb.Blob
		_, err := f.mesh.Call(ctx, address, kind.Part, &peerpb.Blob{Digest: digest}, &part)
		return part.Data, err
	})
	if err != nil {
		f.log.Error(err, "table from peer refused", "peer", address)
	}
}

func (f *Feed) onPulse(context.Context, identity.Identity, []byte) ([]byte, error) {
	epoch, version := f.tables.Pair()
	return proto.Marshal(&peerpb.Pulse{Epoch: epoch, Version: version})
}

func (f *Feed) onManifest(context.Context, identity.Identity, []byte) ([]byte, error) {
	f.mu.Lock()
	m := f.current
	f.mu.Unlock()
	data, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&peerpb.Blob{Data: data})
}

func (f *Feed) onPart(_ context.Context, _ identity.Identity, body []byte) ([]byte, error) {
	var q peerpb.Blob
	if err := proto.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	f.mu.Lock()
	data, ok := f.parts[q.Digest]
	f.mu.Unlock()
	if !ok {
		return nil, fmt.Errorf("reading part: %s is not held", q.Digest)
	}
	return proto.Marshal(&peerpb.Blob{Digest: q.Digest, Data: data})
}
