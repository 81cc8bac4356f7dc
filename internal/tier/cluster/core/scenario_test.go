package core_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/coordination/gossip"
	"emberquay/coordination/membership"
	"emberquay/internal/tier/cluster/core"
)

// startConvergedFleet starts a fleet of 14 nodes in four zones, three of them control nodes, and runs it until all agree.
func startConvergedFleet(seed uint64) *simulation {
	s := newSimulation(seed)
	s.startFleet(14, 4)
	s.advance(6 * time.Second)
	Expect(s.disagreement()).To(BeEmpty())
	return s
}

// isolate blocks all messages between the given processes and all others.
func (s *simulation) isolate(isolated ...*process) {
	names := map[string]bool{}
	for _, p := range isolated {
		names[p.node.Name] = true
	}
	s.isBlocked = func(from, to *process) bool { return names[from.node.Name] != names[to.node.Name] }
}

// heal ends a partition.
func (s *simulation) heal() { s.isBlocked = func(_, _ *process) bool { return false } }

// stateOf returns the state of another process as known to this one, or Left if it is unknown.
func (p *process) stateOf(other *process) membership.State {
	for _, n := range p.core.Nodes() {
		if n.ID() == other.node.ID() {
			return n.State
		}
	}
	return membership.Left
}

// allReport reports whether all other running processes know a process in one of the given states.
func (s *simulation) allReport(subject *process, states ...membership.State) bool {
	for _, p := range s.running() {
		if p != subject {
			if !contains(states, p.stateOf(subject)) {
				return false
			}
		}
	}
	return true
}

func contains(states []membership.State, state membership.State) bool {
	for _, s := range states {
		if s == state {
			return true
		}
	}
	return false
}

func (s *simulation) publish(p *process, key string) gossip.Entry {
	e, isNew := p.core.Publish(s.now, gossip.Entry{Key: key, Value: []byte("x")})
	Expect(isNew).To(BeTrue())
	p.applyPendingEffects()
	return e
}

// expectAgreementWithin runs the simulation until all agree and fails if that takes longer than a bound of simulated
// time. It adds the duration to the report.
func (s *simulation) expectAgreementWithin(bound time.Duration, event string) {
	took := s.advanceUntil(2*bound, 20*time.Millisecond, func() bool { return s.disagreement() == "" })
	AddReportEntry("agreed", fmt.Sprintf("%s: after %v", event, took))
	Expect(s.disagreement()).To(BeEmpty())
	Expect(took).To(BeNumerically("<=", bound), event)
}

// agreementBound is the time within which all nodes must agree after a fault has ended.
const agreementBound = 3 * time.Second

var _ = Describe("a fleet with a single fault", func() {
	for seed := range uint64(6) {
		Context(fmt.Sprintf("seed %d", seed), func() {
			It("declares a process that ends down, and no other one", func() {
				s := startConvergedFleet(seed)
				dead := s.running()[5]
				s.stop(dead)
				took := s.advanceUntil(10*time.Second, 20*time.Millisecond, func() bool { return s.allReport(dead, membership.Down) })
				AddReportEntry("down", took.String())
				Expect(took).To(BeNumerically("<", 4*time.Second))
				Expect(s.disagreement()).To(BeEmpty())
			})

			It("removes a process that is down, and its record does not return", func() {
				s := startConvergedFleet(seed)
				dead := s.running()[5]
				s.stop(dead)
				s.advance(70 * time.Second)
				for _, p := range s.running() {
					_, known := p.core.Get(core.NodeKey(dead.node.ID()))
					Expect(known).To(BeFalse())
					Expect(p.core.Nodes()).To(HaveLen(13))
				}
			})

			It("spreads that a process has left, which it does not refute", func() {
				s := startConvergedFleet(seed)
				leaver := s.running()[5]
				leaver.core.Leave(s.now)
				leaver.applyPendingEffects()
				s.advance(500 * time.Millisecond)
				Expect(s.allReport(leaver, membership.Left)).To(BeTrue())
				s.advance(5 * time.Second)
				Expect(s.allReport(leaver, membership.Left)).To(BeTrue())
				s.stop(leaver)
				s.start(leaver.node, 0)
				s.expectAgreementWithin(agreementBound, "restart after leaving")
			})

			It("gives a restart with the clock set back a higher incarnation", func() {
				s := startConvergedFleet(seed)
				p := s.running()[5]
				s.stop(p)
				s.advance(300 * time.Millisecond)
				restarted := s.start(p.node, -10*time.Second)
				s.expectAgreementWithin(agreementBound, "restart")
				Expect(restarted.core.Self().Incarnation).To(BeNumerically(">", p.core.Self().Incarnation))
			})

			for _, length := range []time.Duration{4 * time.Second, 20 * time.Second, 100 * time.Second} {
				It(fmt.Sprintf("readmits a process that was isolated for %v and declared no node down", length), func() {
					s := startConvergedFleet(seed)
					target := s.running()[6]
					s.isolate(target)
					outside := s.publish(s.running()[2], core.ReceiverPrefix+"outside")
					s.advance(length)
					Expect(s.allReport(target, membership.Down, membership.Left)).To(BeTrue())
					for _, n := range target.core.Nodes() {
						Expect(n.State).To(BeElementOf(membership.Alive, membership.Suspect))
					}
					s.heal()
					s.expectAgreementWithin(agreementBound, "after the partition")
					Expect(target.core.Has(outside.Key, outside.Stamp)).To(BeTrue())
				})

				It(fmt.Sprintf("merges after a partition of %v into two sides", length), func() {
					s := startConvergedFleet(seed)
					up := s.running()
					s.isolate(up[0], up[4], up[5], up[6], up[7], up[8])
					first := s.publish(up[0], core.ReceiverPrefix+"first")
					second := s.publish(up[1], core.ReceiverPrefix+"second")
					s.advance(length)
					s.heal()
					s.expectAgreementWithin(agreementBound, "after the partition")
					Expect(s.allHave(first.Key, first.Stamp)).To(BeTrue())
					Expect(s.allHave(second.Key, second.Stamp)).To(BeTrue())
				})

				It(fmt.Sprintf("readmits a process that was paused for %v and declares no node down when it resumes", length), func() {
					s := startConvergedFleet(seed)
					target := s.running()[7]
					s.pause(target, length)
					s.advance(length + 3*time.Second)
					Expect(s.disagreement()).To(BeEmpty())
					for _, p := range s.running() {
						if p != target {
							stamp := p.newestStamps[core.NodeKey(p.node.ID())]
							Expect(stamp.Epoch).To(Equal(p.node.Incarnation), "%s refuted a declaration", p.node.ID())
						}
					}
				})
			}

			It("does not declare other nodes down if one node can only receive or only send", func() {
				s := startConvergedFleet(seed)
				target := s.running()[8]
				s.isBlocked = func(from, _ *process) bool { return from == target }
				s.advance(20 * time.Second)
				s.heal()
				s.expectAgreementWithin(agreementBound, "after one node could only receive")
				s.isBlocked = func(_, to *process) bool { return to == target }
				s.advance(20 * time.Second)
				for _, p := range s.running() {
					for _, q := range s.running() {
						if p != target && q != target {
							Expect(p.stateOf(q)).To(BeElementOf(membership.Alive, membership.Suspect))
						}
					}
				}
				s.heal()
				s.expectAgreementWithin(agreementBound, "after one node could only send")
			})

			It("does not keep a node down if only the link between two nodes fails", func() {
				s := startConvergedFleet(seed)
				up := s.running()
				s.isBlocked = func(from, to *process) bool {
					return from == up[4] && to == up[9] || from == up[9] && to == up[4]
				}
				s.advance(30 * time.Second)
				for _, p := range s.running() {
					for _, q := range s.running() {
						if p != q {
							Expect(p.stateOf(q)).To(BeElementOf(membership.Alive, membership.Suspect))
						}
					}
				}
			})

			It("replaces a stopped process by another machine at its address", func() {
				s := startConvergedFleet(seed)
				old := s.running()[9]
				s.stop(old)
				n := old.node
				n.Name = "successor"
				s.start(n, 0)
				s.expectAgreementWithin(4*time.Second, "replaced")
			})

			It("admits a proxy that starts while all seeds are down, through other nodes", func() {
				s := startConvergedFleet(seed)
				up := s.running()
				proxy := up[6]
				s.stop(proxy)
				for _, p := range up {
					if p.node.Role == membership.Control {
						s.stop(p)
					}
				}
				s.advance(4 * time.Second)
				restarted := s.start(proxy.node, 0)
				s.advance(6 * time.Second)
				Expect(restarted.core.Ready()).To(BeTrue())
				Expect(s.disagreement()).To(BeEmpty())
			})

			It("makes a joining node ready within a second, with all entries", func() {
				s := startConvergedFleet(seed)
				for i := range 300 {
					s.publish(s.running()[i%3], fmt.Sprintf("%s%d", core.ReceiverPrefix, i))
				}
				s.advance(2 * time.Second)
				joiner := s.start(s.nodeOf(20, 4), 0)
				took := s.advanceUntil(5*time.Second, 5*time.Millisecond, joiner.core.Ready)
				Expect(joiner.core.Ready()).To(BeTrue())
				AddReportEntry("ready", took.String())
				Expect(took).To(BeNumerically("<", time.Second))
				for i := range 300 {
					_, has := joiner.core.Get(fmt.Sprintf("%s%d", core.ReceiverPrefix, i))
					Expect(has).To(BeTrue())
				}
			})

			It("converges soon after half of its machines were killed at the same time and restarted", func() {
				s := startConvergedFleet(seed)
				up := s.running()
				for i, p := range up {
					if i%2 == 0 {
						s.stop(p)
						s.schedule(800*time.Millisecond, func() { s.start(p.node, 0) })
					}
				}
				s.advance(time.Second)
				s.expectAgreementWithin(agreementBound, "restart of half of the machines")
			})
		})
	}
})
