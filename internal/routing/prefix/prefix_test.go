package prefix_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/routing/prefix"
)

func TestBlocksShareThePrefix(t *testing.T) {
	g := NewWithT(t)
	first := strings.Repeat("a", prefix.BlockSize)
	a := prefix.Blocks(nil, first+strings.Repeat("b", prefix.BlockSize)+"rest")
	b := prefix.Blocks(nil, first+strings.Repeat("c", prefix.BlockSize))
	swapped := prefix.Blocks(nil, strings.Repeat("b", prefix.BlockSize)+first)
	g.Expect(a).To(HaveLen(2), "a partial block has no hash")
	g.Expect(a[0]).To(Equal(b[0]))
	g.Expect(a[1]).NotTo(Equal(b[1]))
	g.Expect(a).NotTo(ContainElement(swapped[1]), "a hash covers what is before its block")
	g.Expect(prefix.Blocks(nil, strings.Repeat("x", 1<<20))).To(HaveLen(prefix.MostBlocks))
	g.Expect(prefix.Blocks(nil, "")).To(BeEmpty())
}

func find(x *prefix.Index, blocks []uint64) []prefix.Held {
	var held [prefix.MostHeld]prefix.Held
	return held[:x.Find(blocks, &held)]
}

func TestFindGivesTheLongestPrefixFirst(t *testing.T) {
	g := NewWithT(t)
	x := prefix.NewIndex()
	blocks := []uint64{1, 2, 3, 4, 5, 6}
	x.Add("short", blocks[:2])
	x.Add("long", blocks[:5])
	held := find(x, blocks)
	g.Expect(held[0]).To(Equal(prefix.Held{Name: "long", Blocks: 5}))
	g.Expect(held).To(ContainElement(prefix.Held{Name: "short", Blocks: 2}))
	x.Drop("long", blocks[4:])
	g.Expect(find(x, blocks)[0]).To(Equal(prefix.Held{Name: "long", Blocks: 4}))
	g.Expect(find(x, []uint64{77})).To(BeEmpty())
	g.Expect(find(x, nil)).To(BeEmpty())
}

func TestIndexIsBounded(t *testing.T) {
	g := NewWithT(t)
	x := prefix.NewIndex()
	for i := range uint64(200_000) {
		x.Add("e", []uint64{i})
	}
	g.Expect(find(x, []uint64{0})).To(BeEmpty(), "forgotten")
	g.Expect(find(x, []uint64{199_999})).To(HaveLen(1))
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		x.Add(name, []uint64{199_999})
	}
	g.Expect(find(x, []uint64{199_999})).To(HaveLen(4), "the last ones")
}
