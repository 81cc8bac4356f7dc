package core

import (
	"time"

	"github.com/rotisserie/eris"

	"emberquay/coordination/gossip"
	"emberquay/coordination/membership"
	"emberquay/internal/tier/cluster/records"
)

// Keys of single entries and prefixes of keys.
const (
	ConfigurationKey = "configuration"
	StoresKey        = "stores"
	ReceiverPrefix   = "receiver/"
	NodePrefix       = "node/"
)

// retiredReportPrefix is the prefix of the receiver reports that proxies of earlier versions publish. They are rejected:
// the kind of all other keys would keep them forever, in the space meant for the configuration.
const retiredReportPrefix = "report/"

const (
	// departedLifetime is how long the record of a gone receiver, or of a node that is down or has left, is kept.
	departedLifetime = time.Minute

	maxReceivers    = 20_000
	maxNodes        = 10_000
	maxOtherEntries = 4_096
)

// kinds returns the kinds of entries of the tier.
func kinds() []gossip.Kind {
	return []gossip.Kind{
		{Prefix: "", Limit: maxOtherEntries},
		{Prefix: ReceiverPrefix, Limit: maxReceivers, Lifetime: receiverLifetime},
		{Prefix: NodePrefix, Limit: maxNodes, Lifetime: nodeLifetime, Validate: validateNode},
		{Prefix: retiredReportPrefix, Ephemeral: true, Validate: rejectRetired},
	}
}

func rejectRetired(e gossip.Entry) error {
	return eris.Errorf("%s is of a kind that is no longer kept", e.Key)
}

func receiverLifetime(e gossip.Entry) time.Duration {
	receiver, err := records.ReceiverCodec.Decode(e.Value)
	if err == nil && receiver.State == records.ReceiverGone {
		return departedLifetime
	}
	return 0
}

func nodeLifetime(e gossip.Entry) time.Duration {
	if membership.State(e.Stamp.Sequence) == membership.Alive {
		return 0
	}
	return departedLifetime
}

// NodeKey returns the key of a node's record.
func NodeKey(id membership.ID) string { return NodePrefix + string(id) }

// nodeToEntry returns the entry for the record of a node. The epoch of its stamp is the incarnation, the sequence is
// the state, so all nodes that declare a node down write the same entry.
func nodeToEntry(n membership.Node) (gossip.Entry, error) {
	record := records.NodeRecord{Name: n.Name, Role: n.Role, Zone: n.Zone, Region: n.Region, Address: n.Address, State: n.State}
	value, err := records.EncodeNode(record)
	if err != nil {
		return gossip.Entry{}, err
	}
	stamp := gossip.Stamp{Epoch: n.Incarnation, Sequence: uint64(n.State)}
	return gossip.Entry{Key: NodeKey(n.ID()), Value: value, Stamp: stamp}, nil
}

// nodeFromEntry decodes the record of a node and checks that key, stamp and value agree.
func nodeFromEntry(e gossip.Entry) (membership.Node, error) {
	r, err := records.DecodeNode(e.Value)
	if err != nil {
		return membership.Node{}, err
	}
	n := membership.Node{Name: r.Name, Role: r.Role, Zone: r.Zone, Region: r.Region, Address: r.Address, State: r.State, Incarnation: e.Stamp.Epoch}
	if e.Key != NodeKey(n.ID()) || e.Stamp.Sequence != uint64(n.State) || e.Stamp.Origin != "" {
		return n, eris.Errorf("the node record under %s does not match its key and stamp", e.Key)
	}
	return n, nil
}

func validateNode(e gossip.Entry) error {
	_, err := nodeFromEntry(e)
	return err
}
