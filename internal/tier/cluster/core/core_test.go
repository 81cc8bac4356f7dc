package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/coordination/gossip"
	"emberquay/coordination/membership"
	"emberquay/internal/tier/cluster/core"
	"emberquay/internal/tier/cluster/records"
)

func TestCore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cluster/core")
}

// allKnow tells whether all running processes have the entry of a key with at least that stamp.
func (w *world) allKnow(key string, stamp gossip.Stamp) bool {
	for _, p := range w.running() {
		if !p.core.Has(key, stamp) {
			return false
		}
	}
	return true
}

// allAgree tells whether all running processes see each other alive, see none alive that does not run, and
// hold the same entries.
func (w *world) allAgree() string {
	up := w.running()
	ids := map[membership.ID]*process{}
	for _, p := range up {
		ids[p.node.ID()] = p
	}
	for _, p := range up {
		seen := 0
		for _, n := range p.core.Nodes() {
			other := ids[n.ID()]
			switch {
			case other == nil && n.Live():
				return fmt.Sprintf("%s takes %s for %s", p.node.ID(), n.ID(), n.State)
			case other != nil && n.State != membership.Alive:
				return fmt.Sprintf("%s takes running %s for %s", p.node.ID(), n.ID(), n.State)
			case other != nil && n.Address != other.node.Address:
				return fmt.Sprintf("%s takes %s to be at %s", p.node.ID(), n.ID(), n.Address)
			case other != nil:
				seen++
			}
		}
		if seen != len(up) {
			return fmt.Sprintf("%s knows %d of %d", p.node.ID(), seen, len(up))
		}
	}
	return sameTables(up)
}

// sameTables tells where tables differ: an entry without a lifetime that is the newest must be everywhere, and
// no older one anywhere. Those with a lifetime are dropped by each node at its own moment.
func sameTables(up []*process) string {
	newest := map[string]gossip.Entry{}
	for _, p := range up {
		p.core.Each(func(e gossip.Entry) {
			if e.Stamp.After(newest[e.Key].Stamp) {
				newest[e.Key] = e
			}
		})
	}
	for key, e := range newest {
		for _, p := range up {
			held, some := p.core.Get(key)
			if some && held.Stamp != e.Stamp || !some && !isMortal(e) {
				return fmt.Sprintf("%s has %s at %+v instead of %+v", p.node.ID(), key, held.Stamp, e.Stamp)
			}
		}
	}
	return ""
}

func isMortal(e gossip.Entry) bool {
	if strings.HasPrefix(e.Key, core.NodePrefix) {
		return e.Stamp.Sequence > 0
	}
	receiver, err := records.ReceiverCodec.Decode(e.Value)
	return err == nil && receiver.State == records.ReceiverGone
}

var _ = Describe("A fleet that nothing happens to", func() {
	for _, size := range []int{1, 2, 4, 10, 100, 300} {
		It(fmt.Sprintf("of %d nodes finds itself, is ready, rests cheaply and hears news", size), func() {
			w := newWorld(uint64(size))
			w.fleet(size, 4)
			took := w.runUntil(20*time.Second, 50*time.Millisecond, func() bool { return w.allAgree() == "" })
			Expect(w.allAgree()).To(BeEmpty())
			w.run(3 * time.Second)
			for _, p := range w.running() {
				Expect(p.readyAt.IsZero()).To(BeFalse(), "%s is not ready", p.node.ID())
			}

			w.measure = true
			const idle = 20 * time.Second
			w.run(idle)
			Expect(w.allAgree()).To(BeEmpty())
			perNode := float64(w.bytes) / float64(size) / idle.Seconds()
			AddReportEntry("idle", fmt.Sprintf("%d nodes: found after %v, %.0f bytes a node and second sent, %.0f of them between zones, %.1f messages",
				size, took, perNode, float64(w.crossed)/float64(size)/idle.Seconds(), float64(w.sent)/float64(size)/idle.Seconds()), ReportEntryVisibilityAlways)
			Expect(perNode).To(BeNumerically("<", 1500)) // as much is received: under 3 KB/s

			for _, bytes := range []int{100, 50_000} {
				w.bytes, w.crossed = 0, 0
				publisher := w.running()[size/2]
				entry, news := publisher.core.Publish(w.now, gossip.Entry{Key: core.ConfigurationKey, Value: make([]byte, bytes)})
				Expect(news).To(BeTrue())
				publisher.carryOut()
				spread := w.runUntil(10*time.Second, 5*time.Millisecond, func() bool { return w.allKnow(entry.Key, entry.Stamp) })
				Expect(w.allKnow(entry.Key, entry.Stamp)).To(BeTrue())
				w.run(2*time.Second - spread%time.Second)
				AddReportEntry("news", fmt.Sprintf("%d nodes: %d bytes known to all after %v; %.1f KB sent a node, %.1f KB between zones in all",
					size, bytes, spread, float64(w.bytes)/1000/float64(size), float64(w.crossed)/1000), ReportEntryVisibilityAlways)
			}
		})
	}
})
