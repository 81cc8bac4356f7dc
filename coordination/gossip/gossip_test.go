package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
)

// Ginkgo's names, without its Entry: this package has one of its own.
var (
	Describe      = ginkgo.Describe
	DescribeTable = ginkgo.DescribeTable
	It            = ginkgo.It
	BeforeEach    = ginkgo.BeforeEach
	Fail          = ginkgo.Fail
	RunSpecs      = ginkgo.RunSpecs
	tableEntry    = ginkgo.Entry
)

func TestGossip(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "coordination/gossip")
}

var begin = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return begin.Add(time.Duration(seconds * float64(time.Second)))
}

func entryOf(key string, sequence uint64) Entry {
	return Entry{Key: key, Value: []byte(key), Stamp: Stamp{Epoch: 1, Sequence: sequence}}
}

func largeOf(key string, sequence uint64) Entry {
	e := entryOf(key, sequence)
	e.Value = make([]byte, maxPushedValueBytes+1)
	return e
}

// testKinds: "t/" is dropped after ten seconds, "e/" is ephemeral, "no/" is refused, "few/" holds two.
func testKinds() []Kind {
	return []Kind{
		{Prefix: "", Limit: 10_000},
		{Prefix: "t/", Limit: 10_000, Lifetime: func(Entry) time.Duration { return 10 * time.Second }},
		{Prefix: "e/", Limit: 10_000, Ephemeral: true},
		{Prefix: "no/", Limit: 10_000, Validate: func(Entry) error { return eris.New("no") }},
		{Prefix: "few/", Limit: 2},
	}
}

var _ = DescribeTable("stamps are ordered by epoch, sequence and origin",
	func(a, b Stamp, want int) {
		Expect(a.Compare(b)).To(Equal(want))
		Expect(b.Compare(a)).To(Equal(-want))
		Expect(a.After(b)).To(Equal(want > 0))
	},
	tableEntry("equal", Stamp{1, 2, "a"}, Stamp{1, 2, "a"}, 0),
	tableEntry("the epoch first", Stamp{2, 0, "a"}, Stamp{1, 9, "z"}, 1),
	tableEntry("then the sequence", Stamp{1, 3, "a"}, Stamp{1, 2, "z"}, 1),
	tableEntry("then the origin", Stamp{1, 2, "b"}, Stamp{1, 2, "a"}, 1),
	tableEntry("nothing is above the zero stamp but others", Stamp{0, 0, "a"}, Stamp{}, 1),
)

var _ = Describe("the table", func() {
	var t *table
	BeforeEach(func() { t = newTable(testKinds()) })

	It("takes what is above and nothing else", func() {
		Expect(t.put(begin, entryOf("a", 2))).To(BeTrue())
		Expect(t.put(begin, entryOf("a", 2))).To(BeFalse())
		Expect(t.put(begin, entryOf("a", 1))).To(BeFalse())
		Expect(t.put(begin, entryOf("a", 3))).To(BeTrue())
		Expect(t.put(begin, Entry{Key: "b"})).To(BeFalse(), "the zero stamp")
		Expect(t.stamp("a").Sequence).To(BeEquivalentTo(3))
	})

	It("bounds the entries of a kind", func() {
		Expect(t.put(begin, entryOf("few/a", 1))).To(BeTrue())
		Expect(t.put(begin, entryOf("few/b", 1))).To(BeTrue())
		Expect(t.put(begin, entryOf("few/c", 1))).To(BeFalse())
		Expect(t.put(begin, entryOf("few/a", 2))).To(BeTrue())
	})

	It("has the same digest whatever the order, and another for another stamp", func() {
		other := newTable(testKinds())
		for i := range 100 {
			t.put(begin, entryOf(fmt.Sprint(i), 1))
			other.put(begin, entryOf(fmt.Sprint(99-i), 1))
		}
		Expect(t.root()).To(Equal(other.root()))
		t.put(begin, entryOf("7", 2))
		Expect(t.root()).NotTo(Equal(other.root()))
		other.put(begin, entryOf("7", 2))
		Expect(t.root()).To(Equal(other.root()))
	})

	It("drops an entry at the end of its life and defends its stamp", func() {
		empty := t.root()
		t.put(begin, entryOf("t/a", 5))
		Expect(t.root()).NotTo(Equal(empty))

		Expect(t.expire(at(5))).To(BeEmpty())
		Expect(t.root()).To(Equal(empty), "in its second half it is in no digest")
		Expect(t.find("t/a").phase).To(Equal(aging))

		Expect(t.expire(at(10))).To(ConsistOf("t/a"))
		Expect(t.expire(at(11))).To(BeEmpty())
		Expect(t.put(at(12), entryOf("t/a", 4))).To(BeFalse(), "an older one does not come back")
		Expect(t.put(at(12), entryOf("t/a", 5))).To(BeFalse())

		t.expire(at(50))
		Expect(t.find("t/a")).To(BeNil())
		Expect(t.expiring).To(BeEmpty())
		Expect(t.root()).To(Equal(empty))
	})

	It("takes a newer entry in place of a dropped one", func() {
		t.put(begin, entryOf("t/a", 5))
		t.expire(at(10))
		Expect(t.put(at(12), entryOf("t/a", 6))).To(BeTrue())
		Expect(t.find("t/a").phase).To(Equal(active))
		Expect(t.kinds[1].visible).To(Equal(1))
		Expect(t.kinds[1].tombstones).To(Equal(0))
	})

	It("keeps ephemeral entries out of the digests", func() {
		empty := t.root()
		Expect(t.put(begin, entryOf("e/a", 1))).To(BeTrue())
		Expect(t.root()).To(Equal(empty))
	})
})

// pair is two spreaders and the messages between them.
type pair struct {
	a, b     *Disseminator
	messages int
}

func newPair() *pair {
	p := &pair{
		a: New(begin, Options{Self: "a", Zone: "z", Kinds: testKinds(), FirstCompare: at(1000)}, 1),
		b: New(begin, Options{Self: "b", Zone: "z", Kinds: testKinds(), FirstCompare: at(1000)}, 2),
	}
	return p
}

// exchange carries messages until there are none, and gives what each has compared with.
func (p *pair) exchange(now time.Time) (compared []string) {
	for range 1000 {
		quiet := true
		for _, s := range []*Disseminator{p.a, p.b} {
			other, from := p.b, "a"
			if s == p.b {
				other, from = p.a, "b"
			}
			effects := s.Take()
			compared = append(compared, effects.Compared...)
			for _, out := range effects.Messages {
				p.messages++
				quiet = false
				other.Receive(now, from, out.Message)
			}
		}
		if quiet {
			return compared
		}
	}
	Fail("the exchange does not end")
	return nil
}

var _ = Describe("a comparison", func() {
	var p *pair
	BeforeEach(func() { p = newPair() })

	It("of equal tables is one question and one answer", func() {
		p.a.Put(begin, entryOf("x", 1))
		p.b.Put(begin, entryOf("x", 1))
		p.a.Compare("b")
		Expect(p.exchange(at(5))).To(ConsistOf("b"))
		Expect(p.messages).To(Equal(2))
	})

	It("brings each side what it lacks", func() {
		p.a.Put(begin, entryOf("only a", 1))
		p.a.Put(begin, entryOf("newer at a", 2))
		p.b.Put(begin, entryOf("newer at a", 1))
		p.b.Put(begin, entryOf("newer at b", 9))
		p.a.Put(begin, entryOf("newer at b", 8))
		p.b.Put(begin, largeOf("only b", 1))
		p.a.Compare("b")
		Expect(p.exchange(at(5))).To(ContainElement("b"))
		Expect(p.a.Root()).To(Equal(p.b.Root()))
		for _, s := range []*Disseminator{p.a, p.b} {
			Expect(s.table.stamp("newer at a").Sequence).To(BeEquivalentTo(2))
			Expect(s.table.stamp("newer at b").Sequence).To(BeEquivalentTo(9))
			Expect(s.table.stamp("only a").IsZero()).To(BeFalse())
			Expect(s.table.stamp("only b").IsZero()).To(BeFalse())
		}
	})

	DescribeTable("of tables too large for one message goes on until they are equal",
		func(count, size int) {
			for i := range count {
				e := entryOf(fmt.Sprint(i), 1)
				e.Value = make([]byte, size)
				if i%2 == 0 {
					p.a.Put(begin, e)
				} else {
					p.b.Put(begin, e)
				}
			}
			p.b.SetSyncing(true)
			for range 20 {
				p.a.Compare("b")
				p.exchange(at(5))
				p.b.Compare("a")
				p.exchange(at(5))
			}
			Expect(p.a.Root()).To(Equal(p.b.Root()))
		},
		tableEntry("many entries", 9_000, 10),
		tableEntry("large entries", 60, 100_000),
		tableEntry("one entry above the bound of a message", 2, 2*maxMessageBytes),
	)

	It("ends though an entry is refused", func() {
		for i := range 20 {
			e := entryOf(fmt.Sprintf("no/%d", i), 1)
			e.Value = make([]byte, 100_000)
			p.a.Put(begin, entryOf("x", 1))
			p.a.table.put(begin, e)
		}
		p.b.Compare("a")
		p.exchange(at(5))
		Expect(p.messages).To(BeNumerically("<", 20))
	})

	It("offers a large value that pushes may still bring, and sends it to one that takes over whole tables", func() {
		p.a.Put(begin, largeOf("x", 1))
		p.b.Compare("a")
		Expect(p.exchange(at(0.1))).To(BeEmpty())
		Expect(p.b.table.stamp("x").IsZero()).To(BeTrue())
		Expect(p.b.Due()).To(BeTemporally("<=", at(0.1+comparisonOfferWait.Seconds())))
		p.b.Tick(at(0.1 + comparisonOfferWait.Seconds()))
		p.exchange(at(0.6))
		Expect(p.b.table.stamp("x").IsZero()).To(BeFalse())

		p = newPair()
		p.a.Put(begin, largeOf("x", 1))
		p.b.SetSyncing(true)
		p.b.Compare("a")
		Expect(p.exchange(at(0.1))).To(ConsistOf("a"))
		Expect(p.b.table.stamp("x").IsZero()).To(BeFalse())
	})

	It("shows a dropped entry's stamp to one that has an older value", func() {
		p.a.Put(begin, entryOf("t/x", 2))
		p.a.table.expire(at(10))
		p.b.Put(at(9), entryOf("t/x", 1))
		p.b.Compare("a")
		p.exchange(at(11))
		Expect(p.b.table.stamp("t/x").Sequence).To(BeEquivalentTo(2))
	})

	It("bears sums and buckets that make no sense", func() {
		p.a.Receive(begin, "b", Message{BucketSums: make([]uint32, 3)})
		p.a.Receive(begin, "b", Message{Summary: &Summary{Buckets: []int{-1, 64, 1 << 40}}})
		p.a.Receive(begin, "b", Message{Want: []string{"unknown"}})
		Expect(p.a.Take().Messages).To(HaveLen(1))
	})
})
