package cluster

import (
	"strings"
	"sync"

	"emberquay/coordination/membership"
)

// notifier calls the watchers from one goroutine. Its queue holds each key and node id at most once, so the table bounds
// its length. Values are read when the watchers are called, so no watcher gets an older entry after a newer one.
type notifier struct {
	entryOf func(key string) (Entry, bool)
	nodeOf  func(id membership.ID) (Node, bool)

	mutex    sync.Mutex
	wake     chan struct{}
	queued   map[notification]struct{}
	queue    []notification
	watchers []watcher
}

// notification is a pending call of watchers: for the entry of a key, for a node, or for a new watcher, which gets all
// current entries or nodes. One field is set.
type notification struct {
	key        string
	node       membership.ID
	newWatcher int // index of the new watcher plus 1
}

// watcher is a registered callback for entries or for nodes. Its replay calls it with all that is currently known.
type watcher struct {
	prefix  string
	onEntry func(Entry)
	onNode  func(Node)
	replay  func()
}

func newNotifier(entryOf func(string) (Entry, bool), nodeOf func(membership.ID) (Node, bool)) *notifier {
	return &notifier{entryOf: entryOf, nodeOf: nodeOf, wake: make(chan struct{}, 1), queued: map[notification]struct{}{}}
}

// entryChanged queues a call of the watchers of a key's prefix.
func (n *notifier) entryChanged(key string) { n.enqueue(notification{key: key}) }

// nodeChanged queues a call of the watchers of nodes.
func (n *notifier) nodeChanged(id membership.ID) { n.enqueue(notification{node: id}) }

func (n *notifier) register(w watcher) {
	n.mutex.Lock()
	n.watchers = append(n.watchers, w)
	index := len(n.watchers)
	n.mutex.Unlock()
	n.enqueue(notification{newWatcher: index})
}

func (n *notifier) enqueue(item notification) {
	n.mutex.Lock()
	if _, isQueued := n.queued[item]; !isQueued {
		n.queued[item] = struct{}{}
		n.queue = append(n.queue, item)
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
		item, watchers, found := n.dequeue()
		if !found {
			return
		}
		n.notify(item, watchers)
	}
}

func (n *notifier) dequeue() (notification, []watcher, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if len(n.queue) == 0 {
		n.queue = nil
		return notification{}, nil, false
	}
	first := n.queue[0]
	n.queue = n.queue[1:]
	delete(n.queued, first)
	return first, n.watchers[:len(n.watchers):len(n.watchers)], true
}

func (n *notifier) notify(item notification, watchers []watcher) {
	switch {
	case item.newWatcher > 0:
		watchers[item.newWatcher-1].replay()
	case item.node != "":
		if node, known := n.nodeOf(item.node); known {
			notifyNode(watchers, node)
		}
	default:
		if entry, known := n.entryOf(item.key); known {
			notifyEntry(watchers, entry)
		}
	}
}

func notifyEntry(watchers []watcher, entry Entry) {
	for _, w := range watchers {
		if w.onEntry != nil && strings.HasPrefix(entry.Key, w.prefix) {
			w.onEntry(entry)
		}
	}
}

func notifyNode(watchers []watcher, node Node) {
	for _, w := range watchers {
		if w.onNode != nil {
			w.onNode(node)
		}
	}
}
