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

// allHave reports whether all running processes have the entry of a key with this stamp or a newer one.
func (s *simulation) allHave(key string, stamp gossip.Stamp) bool {
	for _, p := range s.running() {
		if !p.core.Has(key, stamp) {
			return false
		}
	}
	return true
}

// disagreement returns "" if all running processes know each other as alive, know no stopped process as live, and hold
// the same entries. Otherwise it describes the first difference.
func (s *simulation) disagreement() string {
	running := s.running()
	ids := map[membership.ID]*process{}
	for _, p := range running {
		ids[p.node.ID()] = p
	}
	for _, p := range running {
		seen := 0
		for _, n := range p.core.Nodes() {
			other := ids[n.ID()]
			switch {
			case other == nil && n.Live():
				return fmt.Sprintf("%s has %s, which is not running, as %s", p.node.ID(), n.ID(), n.State)
			case other != nil && n.State != membership.Alive:
				return fmt.Sprintf("%s has %s, which is running, as %s", p.node.ID(), n.ID(), n.State)
			case other != nil && n.Address != other.node.Address:
				return fmt.Sprintf("%s has the wrong address for %s: %s", p.node.ID(), n.ID(), n.Address)
			case other != nil:
				seen++
			}
		}
		if seen != len(running) {
			return fmt.Sprintf("%s knows %d of %d running nodes", p.node.ID(), seen, len(running))
		}
	}
	return tableDifference(running)
}

// tableDifference describes where tables differ, or returns "". The newest entry of a key must be in each table, and no
// older one in any. An entry with a lifetime may be missing, because it expires at each node at a different time.
func tableDifference(running []*process) string {
	newest := map[string]gossip.Entry{}
	for _, p := range running {
		p.core.Each(func(e gossip.Entry) {
			if e.Stamp.After(newest[e.Key].Stamp) {
				newest[e.Key] = e
			}
		})
	}
	for key, e := range newest {
		for _, p := range running {
			held, found := p.core.Get(key)
			if found && held.Stamp != e.Stamp || !found && !hasLifetime(e) {
				return fmt.Sprintf("%s has %s at %+v instead of %+v", p.node.ID(), key, held.Stamp, e.Stamp)
			}
		}
	}
	return ""
}

// hasLifetime reports whether an entry expires: the record of a node that is down or has left, or of a gone receiver.
func hasLifetime(e gossip.Entry) bool {
	if strings.HasPrefix(e.Key, core.NodePrefix) {
		return e.Stamp.Sequence > 0
	}
	receiver, err := records.ReceiverCodec.Decode(e.Value)
	return err == nil && receiver.State == records.ReceiverGone
}

var _ = Describe("a fleet without faults", func() {
	for _, size := range []int{1, 2, 4, 10, 100, 300} {
		It(fmt.Sprintf("of %d nodes converges, becomes ready, sends little when idle, and spreads new entries", size), func() {
			s := newSimulation(uint64(size))
			s.startFleet(size, 4)
			took := s.advanceUntil(20*time.Second, 50*time.Millisecond, func() bool { return s.disagreement() == "" })
			Expect(s.disagreement()).To(BeEmpty())
			s.advance(3 * time.Second)
			for _, p := range s.running() {
				Expect(p.readyAt.IsZero()).To(BeFalse(), "%s is not ready", p.node.ID())
			}

			s.measure = true
			const idle = 20 * time.Second
			s.advance(idle)
			Expect(s.disagreement()).To(BeEmpty())
			perNode := float64(s.sentBytes) / float64(size) / idle.Seconds()
			AddReportEntry("idle", fmt.Sprintf("%d nodes: converged after %v; each node sends %.0f bytes/s, %.0f of them to other zones, in %.1f messages/s",
				size, took, perNode, float64(s.crossZoneBytes)/float64(size)/idle.Seconds(), float64(s.sentEnvelopes)/float64(size)/idle.Seconds()), ReportEntryVisibilityAlways)
			Expect(perNode).To(BeNumerically("<", 1500)) // with as many bytes received, under 3 KB/s

			for _, bytes := range []int{100, 50_000} {
				s.sentBytes, s.crossZoneBytes = 0, 0
				publisher := s.running()[size/2]
				entry, isNew := publisher.core.Publish(s.now, gossip.Entry{Key: core.ConfigurationKey, Value: make([]byte, bytes)})
				Expect(isNew).To(BeTrue())
				publisher.applyPendingEffects()
				spread := s.advanceUntil(10*time.Second, 5*time.Millisecond, func() bool { return s.allHave(entry.Key, entry.Stamp) })
				Expect(s.allHave(entry.Key, entry.Stamp)).To(BeTrue())
				s.advance(2*time.Second - spread%time.Second)
				AddReportEntry("spread", fmt.Sprintf("%d nodes: %d bytes reach all nodes in %v; %.1f KB sent per node, %.1f KB to other zones in total",
					size, bytes, spread, float64(s.sentBytes)/1000/float64(size), float64(s.crossZoneBytes)/1000), ReportEntryVisibilityAlways)
			}
		})
	}
})
