package forwarder_test

// This file sends malformed messages of peers to an instance.

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/peer/transport"
	"github.com/jacinthstile/jacinthstile/internal/stage/stagepb"
)

// FuzzPeerMessages guards against a malformed poll, order or progress report that ends the
// instance or keeps it from answering later polls.
func FuzzPeerMessages(f *testing.F) {
	for _, m := range []proto.Message{
		&stagepb.Roll{Candidates: []*stagepb.Candidate{{Address: "127.0.0.1:1", Power: 400, Fit: true}}, Revision: 1 << 63, Era: 1 << 63, Version: 9, RestoredMs: 1 << 31, EraMs: 1 << 31, Leaving: []string{"a@1", ""}, Held: []*stagepb.Held{{Parts: []string{"p"}, Term: 1, Trials: []string{"t"}}, {Term: 1 << 31}}},
		&stagepb.Order{Id: "o", Request: "r", Service: "llm", Stages: []*stagepb.Stage{{Service: "s", Pieces: 2}, {Service: "s", After: []uint32{0}, Pieces: 1 << 31}}, GoalMs: -1 << 62, DeadlineMs: 1 << 62},
		&stagepb.News{Started: []string{"o"}, Ended: []string{"o", "x"}, Losses: []*stagepb.Loss{{Engine: "e", Parts: []string{"p", "q"}, AgeMs: 1 << 31}, {}}},
		&stagepb.Roll{Leader: "127.0.0.1:1", Fleet: 1 << 31, Starting: true, Limits: []*stagepb.Limit{{Endpoint: "e1@0", Limited: true, Rate: math.Inf(-1), AgeMs: 1 << 31}, {}}, Suspects: []*stagepb.Suspect{{Fingerprint: 7, Endpoints: []string{"e1@0", ""}}, {}}, Clearances: []*stagepb.Clearance{{Endpoint: "e1@0"}, {Fingerprint: 7, AgeMs: 1 << 31}}},
		&stagepb.Permit{Service: "llm", Endpoints: []string{"e1@0", ""}, Rank: 1 << 31, WaitMs: 1 << 31},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := newCluster()
		in := c.start(t, &fakeExecutor{name: "a"}, 400)
		tr, closeTransport := transport.New(identity.Identity{Name: "peer", Incarnation: 2, Seat: -1}, nil, logr.Discard())
		defer closeTransport()
		body := new(stagepb.News) // carries the bytes as they are, as unknown fields
		body.ProtoReflect().SetUnknown(data)
		for _, m := range []method.Method{method.StageRoll, method.StageNews, method.StageOrder, method.StagePermit} {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			tr.Call(ctx, in.address, m, body, new(stagepb.News))
			cancel()
		}
		if _, err := tr.Call(t.Context(), in.address, method.StageRoll, new(stagepb.Roll), new(stagepb.Roll)); err != nil {
			t.Fatalf("a poll after the malformed messages: %v", err)
		}
	})
}
