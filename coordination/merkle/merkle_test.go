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
	It("differs in the range of an entry only", func() {
		var mine, theirs merkle.Tree
		mine.Add(7<<60, 1)
		Expect(merkle.DifferingRanges(mine.Leaves(), theirs.Leaves())).To(Equal([]int{merkle.RangeOf(7 << 60)}))
		Expect(mine.Root()).NotTo(Equal(theirs.Root()))
	})

	It("differs by the value of an entry", func() {
		var mine, theirs merkle.Tree
		mine.Add(9, 1)
		theirs.Add(9, 2)
		Expect(mine.Root()).NotTo(Equal(theirs.Root()))
	})

	It("takes lists of another length for different everywhere", func() {
		var mine merkle.Tree
		Expect(merkle.DifferingRanges(mine.Leaves(), nil)).To(HaveLen(merkle.RangeCount))
	})
})

// Trees are alike exactly if the sets are, whatever the order of changes.
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
			t.Fatalf("alike is %v", !same)
		}
		for _, key := range second {
			if !set[key] {
				b.Remove(key, 3)
			}
		}
		if a.Root() != b.Root() {
			t.Fatal("removing does not undo adding")
		}
	})
}
