package replica

import (
	"emberquay/coordination/chain"
)

// notifier passes committed states to a callback in a goroutine of its own, so that a slow callback cannot block the
// chain. Only the newest state is queued.
type notifier struct {
	latest chan chain.CommittedState
	done   chan struct{}
}

func newNotifier(onCommit func(epoch, sequence uint64, snapshot []byte)) *notifier {
	n := &notifier{latest: make(chan chain.CommittedState, 1), done: make(chan struct{})}
	if onCommit != nil {
		go n.run(onCommit)
	}
	return n
}

func (n *notifier) run(onCommit func(epoch, sequence uint64, snapshot []byte)) {
	for {
		select {
		case c := <-n.latest:
			onCommit(uint64(c.Epoch), uint64(c.Sequence), c.Snapshot)
		case <-n.done:
			return
		}
	}
}

// notify queues a state in place of an older one. Only the owner goroutine may call it.
func (n *notifier) notify(c chain.CommittedState) {
	select {
	case <-n.latest:
	default:
	}
	n.latest <- c
}

func (n *notifier) close() { close(n.done) }
