package merkle_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"emberquay/coordination/merkle"
	"emberquay/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

func TestMerkle(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "merkle")
}

var _ = Describe("a tree", func() {
	It("differs only in the range of an added entry", func() {
		var mine, theirs merkle.Tree
		mine.Add(7<<60, 1)
		Expect(merkle.DifferingRanges(mine.Leaves(), theirs.Leaves())).To(Equal([]int{merkle.RangeOf(7 << 60)}))
		Expect(mine.Root()).NotTo(Equal(theirs.Root()))
	})

	It("differs if the value of an entry differs", func() {
		var mine, theirs merkle.Tree
		mine.Add(9, 1)
		theirs.Add(9, 2)
		Expect(mine.Root()).NotTo(Equal(theirs.Root()))
	})

	It("treats lists of another length as different in all ranges", func() {
		var mine merkle.Tree
		Expect(merkle.DifferingRanges(mine.Leaves(), nil)).To(HaveLen(merkle.RangeCount))
	})
})

// Two trees are equal if and only if their sets are equal, whatever the order of the changes.
func TestSets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := rapid.SliceOfDistinct(rapid.Uint64(), rapid.ID[uint64])
		first := keys.Draw(t, "first")
		second := keys.Draw(t, "second")
		var a, b merkle.Tree
		set := map[uint64]bool{}
		for _, key := range first {
			a.Add(key, key+1)
			b.Add(key, key+1)
			set[key] = true
		}
		same := true
		for _, key := range second {
			if set[key] {
				continue
			}
			b.Add(key, 3)
			same = false
		}
		if (a.Root() == b.Root()) != same || (len(merkle.DifferingRanges(a.Leaves(), b.Leaves())) == 0) != same {
			t.Fatalf("trees are equal: %v", !same)
		}
		for _, key := range second {
			if !set[key] {
				b.Remove(key, 3)
			}
		}
		if a.Root() != b.Root() {
			t.Fatal("Remove does not undo Add")
		}
	})
}
