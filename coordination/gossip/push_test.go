package gossip

import (
	"fmt"

	. "github.com/onsi/gomega"
)

func peersOf(zones, perZone int) []Peer {
	var peers []Peer
	for z := range zones {
		for i := range perZone {
			peers = append(peers, Peer{ID: fmt.Sprintf("z%d-%d", z, i), Zone: fmt.Sprintf("z%d", z), Hub: i == 0})
		}
	}
	return peers
}

var _ = Describe("pushes", func() {
	newSpreader := func(peers []Peer) *Disseminator {
		s := New(begin, Options{Self: "self", Zone: "z0", Kinds: testKinds(), FirstCompare: at(1000)}, 1)
		s.SetPeers(begin, peers)
		return s
	}

	pushed := func(effects Effects) (keys, offered []string) {
		for _, out := range effects.Messages {
			for _, e := range out.Message.Push {
				keys = append(keys, e.Key)
			}
			for _, v := range out.Message.Offer {
				offered = append(offered, v.Key)
			}
		}
		return keys, offered
	}

	It("go to a few of the own zone and one of each other, the successor among them, in one message each", func() {
		s := newSpreader(peersOf(4, 30))
		s.Publish(begin, entryOf("x", 1))
		s.Publish(begin, entryOf("y", 1))
		Expect(s.Due()).To(Equal(begin.Add(batchDelay)))
		s.Tick(begin)
		Expect(s.Take().Messages).To(BeEmpty())
		s.Tick(begin.Add(batchDelay))
		near, far := 0, map[string]bool{}
		toNext := false
		for _, out := range s.Take().Messages {
			Expect(out.Message.Push).To(HaveLen(2))
			zone, _ := s.contacts.zoneOf(out.To)
			if zone == "z0" {
				near++
			} else {
				Expect(far[zone]).To(BeFalse())
				far[zone] = true
			}
			toNext = toNext || out.To == s.contacts.successor.ID
		}
		Expect(near).To(Equal(sameZoneFanOut))
		Expect(far).To(HaveLen(3))
		Expect(toNext).To(BeTrue())
	})

	It("pass on what was news, not to the one it came from, and nothing twice", func() {
		s := newSpreader(peersOf(1, 2))
		s.Receive(begin, "z0-1", Message{Push: []Entry{entryOf("x", 1)}})
		s.Receive(begin, "z0-1", Message{Push: []Entry{entryOf("x", 1)}})
		s.Tick(begin.Add(batchDelay))
		effects := s.Take()
		Expect(effects.Changed).To(HaveLen(1))
		Expect(effects.Messages).To(HaveLen(1))
		Expect(effects.Messages[0].To).To(Equal("z0-0"))
		s.Receive(at(1), "z0-0", Message{Push: []Entry{entryOf("x", 1)}})
		s.Tick(at(2))
		Expect(s.Take()).To(Equal(Effects{}))
	})

	It("of many forwarders of a zone few leave it", func() {
		s := newSpreader(peersOf(4, 100))
		crossed := 0
		for i := range 1000 {
			s.Receive(begin, "z0-1", Message{Push: []Entry{entryOf("x", uint64(i+1))}})
			s.Tick(begin.Add(batchDelay))
			for _, out := range s.Take().Messages {
				if zone, _ := s.contacts.zoneOf(out.To); zone != "z0" {
					crossed++
				}
			}
		}
		Expect(crossed).To(BeNumerically("~", 1000*crossZonePushes/101, 20))
	})

	It("offer large values, and many that a comparison brought", func() {
		s := newSpreader(peersOf(1, 3))
		s.Publish(begin, largeOf("large", 1))
		s.Publish(begin, entryOf("small", 1))
		s.Tick(begin.Add(batchDelay))
		keys, offered := pushed(s.Take())
		Expect(keys).To(HaveEach("small"))
		Expect(offered).To(HaveEach("large"))

		var many []Entry
		for i := range maxRepairedPushes + 1 {
			many = append(many, entryOf(fmt.Sprint(i), 1))
		}
		s.Receive(begin, "z0-1", Message{Delta: &Delta{Entries: many}})
		s.Tick(begin.Add(batchDelay))
		keys, offered = pushed(s.Take())
		Expect(keys).To(BeEmpty())
		Expect(offered).To(HaveLen(2 * len(many)))
	})

	It("pass nothing on that a comparison brings while whole tables are taken over", func() {
		s := newSpreader(peersOf(1, 3))
		s.SetSyncing(true)
		s.Receive(begin, "z0-1", Message{Delta: &Delta{Entries: []Entry{entryOf("x", 1)}}})
		s.Receive(begin, "z0-1", Message{Push: []Entry{entryOf("y", 1)}})
		s.Tick(begin.Add(batchDelay))
		keys, _ := pushed(s.Take())
		Expect(keys).To(HaveEach("y"))
	})

	It("refuse what its kind refuses", func() {
		s := newSpreader(nil)
		s.Receive(begin, "z0-1", Message{Push: []Entry{entryOf("no/x", 1)}})
		Expect(s.Take().Changed).To(BeEmpty())
	})

	It("keep to few contacts among many, and to all among few", func() {
		s := newSpreader(peersOf(4, 100))
		Expect(len(s.contacts.sameZone)).To(Equal(sameZoneContacts))
		Expect(len(s.contacts.otherZones)).To(Equal(otherZoneContacts))
		kept := s.contacts.sameZone[0].ID
		s.SetPeers(begin, peersOf(4, 101))
		Expect(s.contacts.sameZone[0].ID).To(Equal(kept))
		s.SetPeers(begin, peersOf(2, 5))
		Expect(len(s.contacts.sameZone)).To(Equal(5))
		Expect(len(s.contacts.otherZones)).To(Equal(5))
		s.SetPeers(begin, nil)
		s.Publish(begin, entryOf("x", 1))
		s.Tick(at(2000))
		Expect(s.Take().Messages).To(BeEmpty())
	})
})

var _ = Describe("offers", func() {
	var s *Disseminator
	offer := Message{Offer: []Version{{Key: "x", Stamp: Stamp{Epoch: 1, Sequence: 1}}}}
	asked := func() []string {
		var to []string
		for _, out := range s.Take().Messages {
			if len(out.Message.Want) > 0 {
				to = append(to, out.To)
			}
		}
		return to
	}
	BeforeEach(func() {
		s = New(begin, Options{Self: "self", Zone: "z0", Kinds: testKinds(), FirstCompare: at(1000)}, 1)
		s.SetPeers(begin, peersOf(2, 3))
	})

	It("of the own zone are asked for at once, and once only", func() {
		s.Receive(begin, "z0-1", offer)
		s.Receive(begin, "z0-2", offer)
		Expect(asked()).To(ConsistOf("z0-1"))
	})

	It("of another zone wait, and give way to one of the own", func() {
		s.Receive(begin, "z1-1", offer)
		Expect(asked()).To(BeEmpty())
		s.Receive(begin, "z0-2", offer)
		Expect(asked()).To(ConsistOf("z0-2"))
	})

	It("of another zone are asked for when none of the own comes", func() {
		s.Receive(begin, "z1-1", offer)
		Expect(s.Due()).To(BeTemporally("<=", begin.Add(otherZoneOfferWait)))
		s.Tick(begin.Add(otherZoneOfferWait))
		Expect(asked()).To(ConsistOf("z1-1"))
	})

	It("are asked of another when the first does not answer, and then given up", func() {
		s.Receive(begin, "z0-1", offer)
		s.Receive(begin, "z0-2", offer)
		asked()
		s.Tick(begin.Add(requestTimeout))
		Expect(asked()).To(ConsistOf("z0-2"))
		s.Tick(begin.Add(2 * requestTimeout))
		Expect(asked()).To(BeEmpty())
		Expect(s.wanted.byKey).To(BeEmpty())
	})

	It("of what is here are not asked for", func() {
		s.Put(begin, entryOf("x", 1))
		s.Receive(begin, "z0-1", offer)
		Expect(asked()).To(BeEmpty())
	})
})

var _ = Describe("the next stamp of a key", func() {
	It("is above what is known, whatever the clock says", func() {
		s := New(begin, Options{Self: "self", Kinds: testKinds()}, 1)
		first := s.NextStamp(begin, "x")
		Expect(first.Epoch).To(BeEquivalentTo(begin.UnixMilli()))
		s.Put(begin, Entry{Key: "x", Stamp: Stamp{Epoch: first.Epoch + 5000, Sequence: 3, Origin: "z"}})
		Expect(s.NextStamp(begin, "x").After(s.table.stamp("x"))).To(BeTrue())
		Expect(s.NextStamp(at(60), "x").After(s.table.stamp("x"))).To(BeTrue())
	})
})
