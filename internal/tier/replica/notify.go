package replica

import (
	"emberquay/coordination/chain"
)

// notifier tells of committed states in a goroutine of its own, so that whoever follows them can't hold the chain up. Only
// the newest waits.
type notifier struct {
	latest chan chain.CommittedState
	done   chan struct{}
}

func newNotifier(f func(epoch, sequence uint64, snapshot []byte)) *notifier {
	n := &notifier{latest: make(chan chain.CommittedState, 1), done: make(chan struct{})}
	if f != nil {
		go n.run(f)
	}
	return n
}

func (n *notifier) run(f func(epoch, sequence uint64, snapshot []byte)) {
	for {
		select {
		case c := <-n.latest:
			f(uint64(c.Epoch), uint64(c.Sequence), c.Snapshot)
		case <-n.done:
			return
		}
	}
}

// tell is called by the owner only.
func (n *notifier) tell(c chain.CommittedState) {
	select {
	case <-n.latest:
	default:
	}
	n.latest <- c
}

func (n *notifier) close() { close(n.done) }
