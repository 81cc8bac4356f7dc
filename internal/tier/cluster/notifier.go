package cluster

import (
	"strings"
	"sync"

	"emberquay/coordination/membership"
)

// notifier calls the watchers from one goroutine. What waits for it is bounded by the table: keys and ids wait,
// not values, and what is told is read when it is told. So no watcher sees a key go backwards.
type notifier struct {
	entryOf func(key string) (Entry, bool)
	nodeOf  func(id membership.ID) (Node, bool)

	mutex    sync.Mutex
	wake     chan struct{}
	waiting  map[notice]struct{}
	order    []notice
	watchers []watcher
}

// notice is one thing to tell: the entry of a key, or a node, or all that is there to a new watcher.
type notice struct {
	key     string
	node    membership.ID
	watcher int // 1 more than the index of the new watcher
}

// watcher is one registered callback, of entries or of nodes, and how it is told what is there already.
type watcher struct {
	prefix  string
	entry   func(Entry)
	node    func(Node)
	present func()
}

func newNotifier(entryOf func(string) (Entry, bool), nodeOf func(membership.ID) (Node, bool)) *notifier {
	return &notifier{entryOf: entryOf, nodeOf: nodeOf, wake: make(chan struct{}, 1), waiting: map[notice]struct{}{}}
}

// entry tells the watchers of a key's prefix.
func (n *notifier) entry(key string) { n.add(notice{key: key}) }

// node tells the watchers of nodes.
func (n *notifier) node(id membership.ID) { n.add(notice{node: id}) }

func (n *notifier) register(w watcher) {
	n.mutex.Lock()
	n.watchers = append(n.watchers, w)
	index := len(n.watchers)
	n.mutex.Unlock()
	n.add(notice{watcher: index})
}

func (n *notifier) add(what notice) {
	n.mutex.Lock()
	if _, waits := n.waiting[what]; !waits {
		n.waiting[what] = struct{}{}
		n.order = append(n.order, what)
	}
	n.mutex.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// run calls the watchers until done is closed.
func (n *notifier) run(done <-chan struct{}) {
	for {
		select {
		case <-n.wake:
			n.drain()
		case <-done:
			return
		}
	}
}

func (n *notifier) drain() {
	for {
		what, watchers, some := n.next()
		if !some {
			return
		}
		n.tell(what, watchers)
	}
}

func (n *notifier) next() (notice, []watcher, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if len(n.order) == 0 {
		n.order = nil
		return notice{}, nil, false
	}
	first := n.order[0]
	n.order = n.order[1:]
	delete(n.waiting, first)
	return first, n.watchers[:len(n.watchers):len(n.watchers)], true
}

func (n *notifier) tell(what notice, watchers []watcher) {
	switch {
	case what.watcher > 0:
		watchers[what.watcher-1].present()
	case what.node != "":
		if node, known := n.nodeOf(what.node); known {
			tellNode(watchers, node)
		}
	default:
		if entry, known := n.entryOf(what.key); known {
			tellEntry(watchers, entry)
		}
	}
}

func tellEntry(watchers []watcher, entry Entry) {
	for _, w := range watchers {
		if w.entry != nil && strings.HasPrefix(entry.Key, w.prefix) {
			w.entry(entry)
		}
	}
}

func tellNode(watchers []watcher, node Node) {
	for _, w := range watchers {
		if w.node != nil {
			w.node(node)
		}
	}
}
