package encoding_test

// This file tests messages with texts that are no UTF-8.

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthstile/jacinthstile/internal/peer/encoding"
	"github.com/jacinthstile/jacinthstile/internal/stage/stagepb"
)

// TestMarshal guards against a message that is not sent because of one of its texts, and against changing the sender's.
func TestMarshal(t *testing.T) {
	g := NewWithT(t)
	leaving := []string{"a", "b\xff"}
	in := &stagepb.Roll{
		Leader: "l\xfe", Leaving: leaving, Held: []*stagepb.Held{{Parts: []string{"p\xff", "q"}, Term: 3}},
		Changes: []*stagepb.Change{{Kind: &stagepb.Change_Unreadable{Unreadable: "i\xff"}}, {Kind: &stagepb.Change_Registered{Registered: &stagepb.Endpoint{Id: "e", Centre: "c\xff"}}}},
	}
	data, err := encoding.Marshal(in)
	g.Expect(err).NotTo(HaveOccurred())
	out := new(stagepb.Roll)
	g.Expect(proto.Unmarshal(data, out)).To(Succeed())
	g.Expect(out.Leader).To(Equal("l\uFFFD"))
	g.Expect(out.Leaving).To(Equal([]string{"a", "b\uFFFD"}))
	g.Expect(out.Held[0].Parts).To(Equal([]string{"p\uFFFD", "q"}))
	g.Expect(out.Changes[0].GetUnreadable()).To(Equal("i\uFFFD"))
	g.Expect(out.Changes[1].GetRegistered().Centre).To(Equal("c\uFFFD"))
	g.Expect(leaving[1]).To(Equal("b\xff"))
}
