package core

import (
	"emberquay/coordination/gossip"
	"emberquay/coordination/membership"
)

// Envelope holds the messages that one node sends to another at a time. An envelope without messages is a heartbeat.
type Envelope struct {
	From        membership.ID
	Incarnation uint64
	// Syncing reports that the sender is not ready yet, so that a table equal to its own may still be incomplete.
	Syncing    bool
	Gossip     []gossip.Message
	Membership []membership.Message
}

// ExpectsAnswer reports whether the envelope contains requests. An envelope that contains none may be sent one-way.
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

// Outgoing is an envelope with its destination. To is empty if only the address is known. Address is empty if only
// the node is known: such an envelope can only be sent as the answer to an envelope from that node.
type Outgoing struct {
	To       membership.ID
	Address  string
	Envelope Envelope
}

// Effects are the results of calls that the runtime has to carry out.
type Effects struct {
	Messages     []Outgoing
	Changed      []gossip.Entry  // entries that are new at this node, in order
	Expired      []string        // keys whose entries have reached the end of their lifetimes
	ChangedNodes []membership.ID // nodes whose view here has changed or that were removed
}
