package core

import (
	"emberquay/coordination/gossip"
	"emberquay/coordination/membership"
)

// Envelope is what one node sends another at a time. One without messages is a heartbeat.
type Envelope struct {
	From        membership.ID
	Incarnation uint64
	// Syncing tells that the sender is not ready yet: equality with its table says little.
	Syncing    bool
	Gossip     []gossip.Message
	Membership []membership.Message
}

// ExpectsAnswer tells whether the sender waits for what the envelope asks. What wants none may be sent without.
func (e Envelope) ExpectsAnswer() bool {
	for _, m := range e.Gossip {
		if m.Compare != nil || m.BucketSums != nil || m.Summary != nil || len(m.Want) > 0 || len(m.Offer) > 0 {
			return true
		}
	}
	for _, m := range e.Membership {
		if m.Ping != nil {
			return true
		}
	}
	return false
}

// Outgoing is an envelope and where it goes. To is empty where only the address is known, Address where only
// the node is: such an envelope can only go as the answer to one from there.
type Outgoing struct {
	To       membership.ID
	Address  string
	Envelope Envelope
}

// Effects is what a step asks of the runtime.
type Effects struct {
	Messages     []Outgoing
	Changed      []gossip.Entry  // new entries, in order
	Expired      []string        // keys of entries that are no longer kept
	ChangedNodes []membership.ID // nodes whose view here has changed or that are forgotten
}
