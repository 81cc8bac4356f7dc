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
	newDisseminator := func(peers []Peer) *Disseminator {
		d := New(testStart, Options{Self: "self", Zone: "z0", Kinds: testKinds(), FirstCompare: at(1000)}, 1)
		d.SetPeers(testStart, peers)
		return d
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

	It("go in one message each to a few peers of the own zone, including the successor, and to one peer of each other zone", func() {
		d := newDisseminator(peersOf(4, 30))
		d.Publish(testStart, entryOf("x", 1))
		d.Publish(testStart, entryOf("y", 1))
		Expect(d.Due()).To(Equal(testStart.Add(batchDelay)))
		d.Tick(testStart)
		Expect(d.Take().Messages).To(BeEmpty())
		d.Tick(testStart.Add(batchDelay))
		near, far := 0, map[string]bool{}
		toNext := false
		for _, out := range d.Take().Messages {
			Expect(out.Message.Push).To(HaveLen(2))
			zone, _ := d.contacts.zoneOf(out.To)
			if zone == "z0" {
				near++
			} else {
				Expect(far[zone]).To(BeFalse())
				far[zone] = true
			}
			toNext = toNext || out.To == d.contacts.successor.ID
		}
		Expect(near).To(Equal(sameZoneFanOut))
		Expect(far).To(HaveLen(3))
		Expect(toNext).To(BeTrue())
	})

	It("forward new entries once, but not back to their source", func() {
		d := newDisseminator(peersOf(1, 2))
		d.Receive(testStart, "z0-1", Message{Push: []Entry{entryOf("x", 1)}})
		d.Receive(testStart, "z0-1", Message{Push: []Entry{entryOf("x", 1)}})
		d.Tick(testStart.Add(batchDelay))
		effects := d.Take()
		Expect(effects.Changed).To(HaveLen(1))
		Expect(effects.Messages).To(HaveLen(1))
		Expect(effects.Messages[0].To).To(Equal("z0-0"))
		d.Receive(at(1), "z0-0", Message{Push: []Entry{entryOf("x", 1)}})
		d.Tick(at(2))
		Expect(d.Take()).To(Equal(Effects{}))
	})

	It("leave the zone from few of many forwarders", func() {
		d := newDisseminator(peersOf(4, 100))
		crossed := 0
		for i := range 1000 {
			d.Receive(testStart, "z0-1", Message{Push: []Entry{entryOf("x", uint64(i+1))}})
			d.Tick(testStart.Add(batchDelay))
			for _, out := range d.Take().Messages {
				if zone, _ := d.contacts.zoneOf(out.To); zone != "z0" {
					crossed++
				}
			}
		}
		Expect(crossed).To(BeNumerically("~", 1000*crossZonePushes/101, 20))
	})

	It("offer large values, and entries from comparisons if there are many", func() {
		d := newDisseminator(peersOf(1, 3))
		d.Publish(testStart, largeOf("large", 1))
		d.Publish(testStart, entryOf("small", 1))
		d.Tick(testStart.Add(batchDelay))
		keys, offered := pushed(d.Take())
		Expect(keys).To(HaveEach("small"))
		Expect(offered).To(HaveEach("large"))

		var many []Entry
		for i := range maxRepairedPushes + 1 {
			many = append(many, entryOf(fmt.Sprint(i), 1))
		}
		d.Receive(testStart, "z0-1", Message{Delta: &Delta{Entries: many}})
		d.Tick(testStart.Add(batchDelay))
		keys, offered = pushed(d.Take())
		Expect(keys).To(BeEmpty())
		Expect(offered).To(HaveLen(2 * len(many)))
	})

	It("do not forward entries from comparisons during a sync", func() {
		d := newDisseminator(peersOf(1, 3))
		d.SetSyncing(true)
		d.Receive(testStart, "z0-1", Message{Delta: &Delta{Entries: []Entry{entryOf("x", 1)}}})
		d.Receive(testStart, "z0-1", Message{Push: []Entry{entryOf("y", 1)}})
		d.Tick(testStart.Add(batchDelay))
		keys, _ := pushed(d.Take())
		Expect(keys).To(HaveEach("y"))
	})

	It("are ignored if the kind rejects the entry", func() {
		d := newDisseminator(nil)
		d.Receive(testStart, "z0-1", Message{Push: []Entry{entryOf("no/x", 1)}})
		Expect(d.Take().Changed).To(BeEmpty())
	})

	It("use few contacts among many peers, and all peers if there are few", func() {
		d := newDisseminator(peersOf(4, 100))
		Expect(len(d.contacts.sameZone)).To(Equal(sameZoneContacts))
		Expect(len(d.contacts.otherZones)).To(Equal(otherZoneContacts))
		kept := d.contacts.sameZone[0].ID
		d.SetPeers(testStart, peersOf(4, 101))
		Expect(d.contacts.sameZone[0].ID).To(Equal(kept))
		d.SetPeers(testStart, peersOf(2, 5))
		Expect(len(d.contacts.sameZone)).To(Equal(5))
		Expect(len(d.contacts.otherZones)).To(Equal(5))
		d.SetPeers(testStart, nil)
		d.Publish(testStart, entryOf("x", 1))
		d.Tick(at(2000))
		Expect(d.Take().Messages).To(BeEmpty())
	})
})

var _ = Describe("offers", func() {
	var d *Disseminator
	offer := Message{Offer: []Version{{Key: "x", Stamp: Stamp{Epoch: 1, Sequence: 1}}}}
	asked := func() []string {
		var to []string
		for _, out := range d.Take().Messages {
			if len(out.Message.Want) > 0 {
				to = append(to, out.To)
			}
		}
		return to
	}
	BeforeEach(func() {
		d = New(testStart, Options{Self: "self", Zone: "z0", Kinds: testKinds(), FirstCompare: at(1000)}, 1)
		d.SetPeers(testStart, peersOf(2, 3))
	})

	It("from the own zone are requested immediately, and only once", func() {
		d.Receive(testStart, "z0-1", offer)
		d.Receive(testStart, "z0-2", offer)
		Expect(asked()).To(ConsistOf("z0-1"))
	})

	It("from another zone wait, and are superseded by one from the own zone", func() {
		d.Receive(testStart, "z1-1", offer)
		Expect(asked()).To(BeEmpty())
		d.Receive(testStart, "z0-2", offer)
		Expect(asked()).To(ConsistOf("z0-2"))
	})

	It("from another zone are requested if none from the own zone arrives", func() {
		d.Receive(testStart, "z1-1", offer)
		Expect(d.Due()).To(BeTemporally("<=", testStart.Add(otherZoneOfferWait)))
		d.Tick(testStart.Add(otherZoneOfferWait))
		Expect(asked()).To(ConsistOf("z1-1"))
	})

	It("are requested from a second peer if the first does not answer, and then given up", func() {
		d.Receive(testStart, "z0-1", offer)
		d.Receive(testStart, "z0-2", offer)
		asked()
		d.Tick(testStart.Add(requestTimeout))
		Expect(asked()).To(ConsistOf("z0-2"))
		d.Tick(testStart.Add(2 * requestTimeout))
		Expect(asked()).To(BeEmpty())
		Expect(d.wanted.byKey).To(BeEmpty())
	})

	It("of known entries are not requested", func() {
		d.Put(testStart, entryOf("x", 1))
		d.Receive(testStart, "z0-1", offer)
		Expect(asked()).To(BeEmpty())
	})
})

var _ = Describe("the next stamp of a key", func() {
	It("is newer than the known stamp, whatever the clock shows", func() {
		d := New(testStart, Options{Self: "self", Kinds: testKinds()}, 1)
		first := d.NextStamp(testStart, "x")
		Expect(first.Epoch).To(BeEquivalentTo(testStart.UnixMilli()))
		d.Put(testStart, Entry{Key: "x", Stamp: Stamp{Epoch: first.Epoch + 5000, Sequence: 3, Origin: "z"}})
		Expect(d.NextStamp(testStart, "x").After(d.table.stamp("x"))).To(BeTrue())
		Expect(d.NextStamp(at(60), "x").After(d.table.stamp("x"))).To(BeTrue())
	})
})
