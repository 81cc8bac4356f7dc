package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
)

// Ginkgo is not dot-imported because its Entry collides with the Entry of this package.
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

var testStart = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return testStart.Add(time.Duration(seconds * float64(time.Second)))
}

func entryOf(key string, sequence uint64) Entry {
	return Entry{Key: key, Value: []byte(key), Stamp: Stamp{Epoch: 1, Sequence: sequence}}
}

func largeOf(key string, sequence uint64) Entry {
	e := entryOf(key, sequence)
	e.Value = make([]byte, maxPushedValueBytes+1)
	return e
}

// testKinds returns kinds by prefix: "t/" expires after ten seconds, "e/" is ephemeral, "no/" is rejected, "few/" is
// limited to two entries.
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
	tableEntry("by epoch first", Stamp{2, 0, "a"}, Stamp{1, 9, "z"}, 1),
	tableEntry("then by sequence", Stamp{1, 3, "a"}, Stamp{1, 2, "z"}, 1),
	tableEntry("then by origin", Stamp{1, 2, "b"}, Stamp{1, 2, "a"}, 1),
	tableEntry("any other stamp is after the zero stamp", Stamp{0, 0, "a"}, Stamp{}, 1),
)

var _ = Describe("the table", func() {
	var t *table
	BeforeEach(func() { t = newTable(testKinds()) })

	It("accepts only entries with a newer stamp", func() {
		Expect(t.put(testStart, entryOf("a", 2))).To(BeTrue())
		Expect(t.put(testStart, entryOf("a", 2))).To(BeFalse())
		Expect(t.put(testStart, entryOf("a", 1))).To(BeFalse())
		Expect(t.put(testStart, entryOf("a", 3))).To(BeTrue())
		Expect(t.put(testStart, Entry{Key: "b"})).To(BeFalse(), "the zero stamp")
		Expect(t.stamp("a").Sequence).To(BeEquivalentTo(3))
	})

	It("limits the number of entries of a kind", func() {
		Expect(t.put(testStart, entryOf("few/a", 1))).To(BeTrue())
		Expect(t.put(testStart, entryOf("few/b", 1))).To(BeTrue())
		Expect(t.put(testStart, entryOf("few/c", 1))).To(BeFalse())
		Expect(t.put(testStart, entryOf("few/a", 2))).To(BeTrue())
	})

	It("has a digest that depends on the stamps but not on the order of insertion", func() {
		other := newTable(testKinds())
		for i := range 100 {
			t.put(testStart, entryOf(fmt.Sprint(i), 1))
			other.put(testStart, entryOf(fmt.Sprint(99-i), 1))
		}
		Expect(t.root()).To(Equal(other.root()))
		t.put(testStart, entryOf("7", 2))
		Expect(t.root()).NotTo(Equal(other.root()))
		other.put(testStart, entryOf("7", 2))
		Expect(t.root()).To(Equal(other.root()))
	})

	It("expires an entry at the end of its lifetime and keeps its stamp as a tombstone", func() {
		empty := t.root()
		t.put(testStart, entryOf("t/a", 5))
		Expect(t.root()).NotTo(Equal(empty))

		Expect(t.expire(at(5))).To(BeEmpty())
		Expect(t.root()).To(Equal(empty), "an entry in the second half of its lifetime is in no digest")
		Expect(t.find("t/a").phase).To(Equal(aging))

		Expect(t.expire(at(10))).To(ConsistOf("t/a"))
		Expect(t.expire(at(11))).To(BeEmpty())
		Expect(t.put(at(12), entryOf("t/a", 4))).To(BeFalse(), "an older entry does not replace the tombstone")
		Expect(t.put(at(12), entryOf("t/a", 5))).To(BeFalse())

		t.expire(at(50))
		Expect(t.find("t/a")).To(BeNil())
		Expect(t.expiring).To(BeEmpty())
		Expect(t.root()).To(Equal(empty))
	})

	It("replaces a tombstone by a newer entry", func() {
		t.put(testStart, entryOf("t/a", 5))
		t.expire(at(10))
		Expect(t.put(at(12), entryOf("t/a", 6))).To(BeTrue())
		Expect(t.find("t/a").phase).To(Equal(active))
		Expect(t.kinds[1].visible).To(Equal(1))
		Expect(t.kinds[1].tombstones).To(Equal(0))
	})

	It("excludes ephemeral entries from the digests", func() {
		empty := t.root()
		Expect(t.put(testStart, entryOf("e/a", 1))).To(BeTrue())
		Expect(t.root()).To(Equal(empty))
	})
})

// disseminatorPair is two Disseminators and the number of messages between them.
type disseminatorPair struct {
	a, b     *Disseminator
	messages int
}

func newDisseminatorPair() *disseminatorPair {
	p := &disseminatorPair{
		a: New(testStart, Options{Self: "a", Zone: "z", Kinds: testKinds(), FirstCompare: at(1000)}, 1),
		b: New(testStart, Options{Self: "b", Zone: "z", Kinds: testKinds(), FirstCompare: at(1000)}, 2),
	}
	return p
}

// exchange delivers messages until there are none left and returns the completed comparisons.
func (p *disseminatorPair) exchange(now time.Time) (compared []string) {
	for range 1000 {
		quiet := true
		for _, d := range []*Disseminator{p.a, p.b} {
			other, from := p.b, "a"
			if d == p.b {
				other, from = p.a, "b"
			}
			effects := d.Take()
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
	Fail("the exchange of messages does not end")
	return nil
}

var _ = Describe("a comparison", func() {
	var p *disseminatorPair
	BeforeEach(func() { p = newDisseminatorPair() })

	It("of equal tables takes one request and one answer", func() {
		p.a.Put(testStart, entryOf("x", 1))
		p.b.Put(testStart, entryOf("x", 1))
		p.a.Compare("b")
		Expect(p.exchange(at(5))).To(ConsistOf("b"))
		Expect(p.messages).To(Equal(2))
	})

	It("sends each side the entries that it lacks", func() {
		p.a.Put(testStart, entryOf("only a", 1))
		p.a.Put(testStart, entryOf("newer at a", 2))
		p.b.Put(testStart, entryOf("newer at a", 1))
		p.b.Put(testStart, entryOf("newer at b", 9))
		p.a.Put(testStart, entryOf("newer at b", 8))
		p.b.Put(testStart, largeOf("only b", 1))
		p.a.Compare("b")
		Expect(p.exchange(at(5))).To(ContainElement("b"))
		Expect(p.a.Root()).To(Equal(p.b.Root()))
		for _, d := range []*Disseminator{p.a, p.b} {
			Expect(d.table.stamp("newer at a").Sequence).To(BeEquivalentTo(2))
			Expect(d.table.stamp("newer at b").Sequence).To(BeEquivalentTo(9))
			Expect(d.table.stamp("only a").IsZero()).To(BeFalse())
			Expect(d.table.stamp("only b").IsZero()).To(BeFalse())
		}
	})

	DescribeTable("of tables too large for one message continues until they are equal",
		func(count, size int) {
			for i := range count {
				e := entryOf(fmt.Sprint(i), 1)
				e.Value = make([]byte, size)
				if i%2 == 0 {
					p.a.Put(testStart, e)
				} else {
					p.b.Put(testStart, e)
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
		tableEntry("one entry larger than the limit of a message", 2, 2*maxMessageBytes),
	)

	It("ends even if an entry is rejected", func() {
		for i := range 20 {
			e := entryOf(fmt.Sprintf("no/%d", i), 1)
			e.Value = make([]byte, 100_000)
			p.a.Put(testStart, entryOf("x", 1))
			p.a.table.put(testStart, e)
		}
		p.b.Compare("a")
		p.exchange(at(5))
		Expect(p.messages).To(BeNumerically("<", 20))
	})

	It("offers a large value that may still be pushed, but sends it to a peer that is syncing", func() {
		p.a.Put(testStart, largeOf("x", 1))
		p.b.Compare("a")
		Expect(p.exchange(at(0.1))).To(BeEmpty())
		Expect(p.b.table.stamp("x").IsZero()).To(BeTrue())
		Expect(p.b.Due()).To(BeTemporally("<=", at(0.1+comparisonOfferWait.Seconds())))
		p.b.Tick(at(0.1 + comparisonOfferWait.Seconds()))
		p.exchange(at(0.6))
		Expect(p.b.table.stamp("x").IsZero()).To(BeFalse())

		p = newDisseminatorPair()
		p.a.Put(testStart, largeOf("x", 1))
		p.b.SetSyncing(true)
		p.b.Compare("a")
		Expect(p.exchange(at(0.1))).To(ConsistOf("a"))
		Expect(p.b.table.stamp("x").IsZero()).To(BeFalse())
	})

	It("sends a tombstone to a peer that has an older value", func() {
		p.a.Put(testStart, entryOf("t/x", 2))
		p.a.table.expire(at(10))
		p.b.Put(at(9), entryOf("t/x", 1))
		p.b.Compare("a")
		p.exchange(at(11))
		Expect(p.b.table.stamp("t/x").Sequence).To(BeEquivalentTo(2))
	})

	It("tolerates invalid sums and buckets", func() {
		p.a.Receive(testStart, "b", Message{BucketSums: make([]uint32, 3)})
		p.a.Receive(testStart, "b", Message{Summary: &Summary{Buckets: []int{-1, 64, 1 << 40}}})
		p.a.Receive(testStart, "b", Message{Want: []string{"unknown"}})
		Expect(p.a.Take().Messages).To(HaveLen(1))
	})
})
