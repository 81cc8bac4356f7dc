package placement_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/coordination/placement"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

// members returns one member in each of the zones listed.
func members(zones ...string) []placement.Member {
	var list []placement.Member
	for at, zone := range zones {
		list = append(list, placement.Member{Name: fmt.Sprint("store-", at), Zone: zone})
	}
	return list
}

var _ = DescribeTable("the order of a key",
	func(zones []string, home string, firstZones int) {
		list := members(zones...)
		table := placement.NewTable(list)
		for key := range 200 {
			order := table.AppendOrder(placement.KeyOf(fmt.Sprint(key)), home, nil)
			Expect(order).To(HaveLen(len(list)))
			Expect(order).To(ConsistOf(indexes(len(list))...))
			seen := map[string]bool{}
			for _, at := range order[:firstZones] {
				seen[list[at].Zone] = true
			}
			Expect(seen).To(HaveLen(firstZones), "distinct zones come first")
			if home != "" {
				Expect(list[order[0]].Zone).To(Equal(home))
			}
		}
	},
	Entry("three zones", []string{"a", "b", "c"}, "", 3),
	Entry("three zones of two members each", []string{"a", "a", "b", "b", "c", "c"}, "", 3),
	Entry("a home zone", []string{"a", "a", "b", "b", "c", "c"}, "b", 3),
	Entry("uneven zones", []string{"a", "a", "a", "a", "b"}, "a", 2),
	Entry("one zone", []string{"a", "a", "a"}, "a", 1),
	Entry("one member", []string{"a"}, "", 1),
)

func indexes(count int) []any {
	var list []any
	for at := range count {
		list = append(list, at)
	}
	return list
}

var _ = Describe("a table", func() {
	It("leaves retiring members out", func() {
		list := members("a", "b", "c")
		list[1].Retiring = true
		for key := range 50 {
			Expect(placement.NewTable(list).AppendOrder(uint64(key), "b", nil)).To(ConsistOf(0, 2))
		}
	})

	It("ignores a home zone without members", func() {
		table := placement.NewTable(members("a", "b", "c"))
		Expect(table.AppendOrder(5, "elsewhere", nil)).To(Equal(table.AppendOrder(5, "", nil)))
	})

	It("appends nothing if there are no members", func() {
		Expect(placement.NewTable(nil).AppendOrder(5, "", []int{7})).To(Equal([]int{7}))
	})

	It("spreads keys evenly", func() {
		table := placement.NewTable(members("a", "b", "c", "d"))
		counts := make([]int, 4)
		for key := range 4000 {
			counts[table.AppendOrder(placement.KeyOf(fmt.Sprint(key)), "", nil)[0]]++
		}
		for _, count := range counts {
			Expect(count).To(BeNumerically("~", 1000, 150))
		}
	})

	It("moves only the keys of a member that is removed", func() {
		list := members("a", "b", "c", "d")
		before := placement.NewTable(list)
		list[2].Retiring = true
		after := placement.NewTable(list)
		for key := range 500 {
			old := before.AppendOrder(uint64(key)*977, "", nil)
			var left []int
			for _, at := range old {
				if at != 2 {
					left = append(left, at)
				}
			}
			Expect(after.AppendOrder(uint64(key)*977, "", nil)).To(Equal(left))
		}
	})
})

func BenchmarkOrder(b *testing.B) {
	table := placement.NewTable(members("a", "a", "b", "b", "c", "c"))
	var order []int
	b.ReportAllocs()
	for at := range b.N {
		order = table.AppendOrder(uint64(at), "b", order[:0])
	}
}
