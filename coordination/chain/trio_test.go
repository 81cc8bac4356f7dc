package chain_test

import (
	"fmt"
	"time"

	"emberquay/coordination/chain"
	"emberquay/coordination/view"

	. "github.com/onsi/gomega"
)

// trio is a few nodes whose messages are delivered at once and in order, unless the test holds them back.
type trio struct {
	now     time.Duration
	nodes   map[string]*chain.Node
	disks   map[string][]chain.Record
	replies map[string][]chain.Reply
	commits map[string][]chain.CommittedState
	waiting []chain.Envelope
	sent    []chain.Envelope
	lost    func(chain.Envelope) bool
	seeds   []string
	started uint64
}

func newTrio(names ...string) *trio {
	t := &trio{
		nodes:   map[string]*chain.Node{},
		disks:   map[string][]chain.Record{},
		replies: map[string][]chain.Reply{},
		commits: map[string][]chain.CommittedState{},
		lost:    func(chain.Envelope) bool { return false },
		seeds:   names,
	}
	for _, name := range names {
		t.start(name, true)
	}
	t.pass(time.Second)
	return t
}

func (t *trio) settings(name string, bootstrap bool) chain.Settings {
	t.started++
	return chain.Settings{
		Name: name, Address: name, Voter: name != "visitor", Bootstrap: bootstrap, Seeds: t.seeds,
		Random: [2]uint64{t.started, 1},
	}
}

// start runs a node on the disk that it has.
func (t *trio) start(name string, bootstrap bool) {
	var durable chain.DurableState
	for _, r := range t.disks[name] {
		Expect(durable.Apply(r)).To(Succeed())
	}
	node, out, err := chain.New(t.settings(name, bootstrap), &durable, &register{}, t.now)
	Expect(err).NotTo(HaveOccurred())
	t.nodes[name] = node
	t.take(name, out)
}

func (t *trio) stop(name string) { delete(t.nodes, name) }

func (t *trio) take(name string, out chain.Output) {
	t.disks[name] = append(t.disks[name], out.Persist...)
	t.commits[name] = append(t.commits[name], out.Committed...)
	t.replies[name] = append(t.replies[name], out.Replies...)
	t.waiting = append(t.waiting, out.Send...)
	t.sent = append(t.sent, out.Send...)
}

// deliver brings all messages, and those that they lead to.
func (t *trio) deliver() {
	for len(t.waiting) > 0 {
		e := t.waiting[0]
		t.waiting = t.waiting[1:]
		if node := t.nodes[e.To.Address]; node != nil && !t.lost(e) {
			t.take(e.To.Address, node.Step(t.now, e))
		}
	}
}

// pass lets time go by.
func (t *trio) pass(d time.Duration) {
	for end := t.now + d; t.now < end; t.now += 25 * time.Millisecond {
		for _, name := range sortedNames(t.nodes) {
			if node := t.nodes[name]; node.Deadline() <= t.now {
				t.take(name, node.Tick(t.now))
			}
		}
		t.deliver()
	}
}

func (t *trio) propose(name string, base, value uint64) {
	_, out, ok := t.nodes[name].Propose(t.now, command(base, value))
	Expect(ok).To(BeTrue())
	t.take(name, out)
	t.deliver()
}

func (t *trio) read(name string) {
	_, out, ok := t.nodes[name].Read(t.now)
	Expect(ok).To(BeTrue())
	t.take(name, out)
	t.deliver()
}

// cutOff loses all messages from and to a node.
func (t *trio) cutOff(name string) {
	t.lost = func(e chain.Envelope) bool { return e.From.Address == name || e.To.Address == name }
}

func (t *trio) heal() { t.lost = func(chain.Envelope) bool { return false } }

func (t *trio) head() string { m, _ := t.view().Head(); return m.Address }

// view is the newest that any node is in.
func (t *trio) view() view.View {
	var newest view.View
	for _, node := range t.nodes {
		if v := node.View(); v.Epoch > newest.Epoch {
			newest = v
		}
	}
	return newest
}

// addresses are those of a view's chain.
func addresses(v view.View) []string {
	var all []string
	for _, id := range v.Chain {
		m, _ := v.Member(id)
		all = append(all, m.Address)
	}
	return all
}

func (t *trio) kinds(since int) []string {
	var kinds []string
	for _, e := range t.sent[since:] {
		if _, beat := e.Body.(chain.Heartbeat); !beat {
			kinds = append(kinds, fmt.Sprintf("%s->%s %T", e.From.Address, e.To.Address, e.Body))
		}
	}
	return kinds
}

// answers gives what calls at a node came to: the versions of changes, minus those of refusals.
func (t *trio) answers(name string) []int {
	var all []int
	for _, r := range t.replies[name] {
		switch {
		case r.Unknown:
			all = append(all, 0)
		case r.Result == nil:
			values, err := parse(r.Snapshot)
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
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "visitor"} {
		if nodes[name] != nil {
			names = append(names, name)
		}
	}
	return names
}
