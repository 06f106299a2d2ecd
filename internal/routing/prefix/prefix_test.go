package prefix_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/routing/prefix"
)

// TestBlocksHashThePrefix guards against block hashes that cover the block only:
// two prompts that share a later block but not the start would then seem to share
// a cached prefix.
func TestBlocksHashThePrefix(t *testing.T) {
	g := NewWithT(t)
	first := strings.Repeat("a", prefix.BlockSize)
	a := prefix.Blocks(nil, first+strings.Repeat("b", prefix.BlockSize)+"rest")
	b := prefix.Blocks(nil, first+strings.Repeat("c", prefix.BlockSize))
	swapped := prefix.Blocks(nil, strings.Repeat("b", prefix.BlockSize)+first)
	g.Expect(a).To(HaveLen(2), "a partial block must have no hash")
	g.Expect(a[0]).To(Equal(b[0]))
	g.Expect(a[1]).NotTo(Equal(b[1]))
	g.Expect(a).NotTo(ContainElement(swapped[1]), "a hash must cover the blocks before its own")
	g.Expect(prefix.Blocks(nil, strings.Repeat("x", 1<<20))).To(HaveLen(prefix.MaxBlocks))
	g.Expect(prefix.Blocks(nil, "")).To(BeEmpty())
}

func find(x *prefix.Index, blocks []uint64) []prefix.Match {
	var matches [prefix.MaxMatches]prefix.Match
	return matches[:x.Find(blocks, &matches)]
}

// TestFindReturnsLongestPrefixFirst guards against holders of short prefixes
// displacing those of long ones, and against holders remaining after a removal.
func TestFindReturnsLongestPrefixFirst(t *testing.T) {
	g := NewWithT(t)
	x := prefix.NewIndex()
	blocks := []uint64{1, 2, 3, 4, 5, 6}
	x.Add("short", blocks[:2])
	x.Add("long", blocks[:5])
	held := find(x, blocks)
	g.Expect(held[0]).To(Equal(prefix.Match{Name: "long", Blocks: 5}))
	g.Expect(held).To(ContainElement(prefix.Match{Name: "short", Blocks: 2}))
	x.Remove("long", blocks[4:])
	g.Expect(find(x, blocks)[0]).To(Equal(prefix.Match{Name: "long", Blocks: 4}))
	g.Expect(find(x, []uint64{77})).To(BeEmpty())
	g.Expect(find(x, nil)).To(BeEmpty())
}

// TestIndexIsBounded guards against memory growth with the number of distinct
// blocks and of endpoints that hold a block.
func TestIndexIsBounded(t *testing.T) {
	g := NewWithT(t)
	x := prefix.NewIndex()
	for i := range uint64(200_000) {
		x.Add("e", []uint64{i})
	}
	g.Expect(find(x, []uint64{0})).To(BeEmpty(), "the least recently used block must have been evicted")
	g.Expect(find(x, []uint64{199_999})).To(HaveLen(1))
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		x.Add(name, []uint64{199_999})
	}
	g.Expect(find(x, []uint64{199_999})).To(HaveLen(4), "only the most recent holders are kept")
}
