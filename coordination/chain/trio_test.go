package chain_test

import (
	"fmt"
	"time"

	"emberquay/coordination/chain"
	"emberquay/coordination/view"

	. "github.com/onsi/gomega"
)

// testCluster runs a few nodes whose messages are delivered at once and in order, unless dropMessage drops them.
type testCluster struct {
	now         time.Duration
	nodes       map[string]*chain.Node
	disks       map[string][]chain.Record
	replies     map[string][]chain.Reply
	commits     map[string][]chain.CommittedState
	undelivered []chain.Envelope
	sent        []chain.Envelope
	dropMessage func(chain.Envelope) bool
	seeds       []string
	starts      uint64
}

func newTestCluster(names ...string) *testCluster {
	t := &testCluster{
		nodes:       map[string]*chain.Node{},
		disks:       map[string][]chain.Record{},
		replies:     map[string][]chain.Reply{},
		commits:     map[string][]chain.CommittedState{},
		dropMessage: func(chain.Envelope) bool { return false },
		seeds:       names,
	}
	for _, name := range names {
		t.start(name, true)
	}
	t.runFor(time.Second)
	return t
}

func (t *testCluster) settingsFor(name string, bootstrap bool) chain.Settings {
	t.starts++
	return chain.Settings{
		Name: name, Address: name, Voter: name != "forwarder", Bootstrap: bootstrap, Seeds: t.seeds,
		Random: [2]uint64{t.starts, 1},
	}
}

// start starts a node from the records on its disk.
func (t *testCluster) start(name string, bootstrap bool) {
	var durable chain.DurableState
	for _, r := range t.disks[name] {
		Expect(durable.Apply(r)).To(Succeed())
	}
	node, out, err := chain.New(t.settingsFor(name, bootstrap), &durable, &register{}, t.now)
	Expect(err).NotTo(HaveOccurred())
	t.nodes[name] = node
	t.handleOutput(name, out)
}

func (t *testCluster) stop(name string) { delete(t.nodes, name) }

func (t *testCluster) handleOutput(name string, out chain.Output) {
	t.disks[name] = append(t.disks[name], out.Persist...)
	t.commits[name] = append(t.commits[name], out.Committed...)
	t.replies[name] = append(t.replies[name], out.Replies...)
	t.undelivered = append(t.undelivered, out.Send...)
	t.sent = append(t.sent, out.Send...)
}

// deliver delivers all messages, including those sent in response.
func (t *testCluster) deliver() {
	for len(t.undelivered) > 0 {
		e := t.undelivered[0]
		t.undelivered = t.undelivered[1:]
		if node := t.nodes[e.To.Address]; node != nil && !t.dropMessage(e) {
			t.handleOutput(e.To.Address, node.Step(t.now, e))
		}
	}
}

// runFor advances the time, with ticks and deliveries.
func (t *testCluster) runFor(d time.Duration) {
	for end := t.now + d; t.now < end; t.now += 25 * time.Millisecond {
		for _, name := range sortedNames(t.nodes) {
			if node := t.nodes[name]; node.Deadline() <= t.now {
				t.handleOutput(name, node.Tick(t.now))
			}
		}
		t.deliver()
	}
}

func (t *testCluster) propose(name string, base, value uint64) {
	_, out, ok := t.nodes[name].Propose(t.now, encodeCommand(base, value))
	Expect(ok).To(BeTrue())
	t.handleOutput(name, out)
	t.deliver()
}

func (t *testCluster) read(name string) {
	_, out, ok := t.nodes[name].Read(t.now)
	Expect(ok).To(BeTrue())
	t.handleOutput(name, out)
	t.deliver()
}

// isolate drops all messages from and to a node.
func (t *testCluster) isolate(name string) {
	t.dropMessage = func(e chain.Envelope) bool { return e.From.Address == name || e.To.Address == name }
}

func (t *testCluster) heal() { t.dropMessage = func(chain.Envelope) bool { return false } }

func (t *testCluster) head() string { m, _ := t.newestView().Head(); return m.Address }

// newestView returns the newest view known to any node.
func (t *testCluster) newestView() view.View {
	var newest view.View
	for _, node := range t.nodes {
		if v := node.View(); v.Epoch > newest.Epoch {
			newest = v
		}
	}
	return newest
}

// chainAddresses returns the addresses of a view's chain, head first.
func chainAddresses(v view.View) []string {
	var all []string
	for _, id := range v.Chain {
		m, _ := v.Member(id)
		all = append(all, m.Address)
	}
	return all
}

func (t *testCluster) messageKinds(since int) []string {
	var kinds []string
	for _, e := range t.sent[since:] {
		if _, beat := e.Body.(chain.Heartbeat); !beat {
			kinds = append(kinds, fmt.Sprintf("%s->%s %T", e.From.Address, e.To.Address, e.Body))
		}
	}
	return kinds
}

// answers returns the replies to the calls at a node: the version for a change, the negative version for a refusal, 100 plus
// the number of versions for a read, and 0 for an unknown fate.
func (t *testCluster) answers(name string) []int {
	var all []int
	for _, r := range t.replies[name] {
		switch {
		case r.Unknown:
			all = append(all, 0)
		case r.Result == nil:
			values, err := parseSnapshot(r.Snapshot)
			Expect(err).NotTo(HaveOccurred())
			all = append(all, 100+len(values))
		case r.Result[8] == 1:
			all = append(all, int(r.Result[7]))
		default:
			all = append(all, -int(r.Result[7]))
		}
	}
	return all
}

func sortedNames(nodes map[string]*chain.Node) []string {
	var names []string
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "forwarder"} {
		if nodes[name] != nil {
			names = append(names, name)
		}
	}
	return names
}
