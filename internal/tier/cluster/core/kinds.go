package core

import (
	"time"

	"github.com/rotisserie/eris"

	"emberquay/coordination/gossip"
	"emberquay/coordination/membership"
	"emberquay/internal/tier/cluster/records"
)

// The prefixes of keys.
const (
	ConfigurationKey = "configuration"
	StoresKey        = "stores"
	ReceiverPrefix   = "receiver/"
	NodePrefix       = "node/"
)

// retiredReportPrefix is that of receivers' reports, which proxies of earlier versions publish. They are refused: the
// kind of all other keys would keep them for ever, and give them the room of the configuration.
const retiredReportPrefix = "report/"

const (
	// tombstoneLife is how long an entry is kept that says that something is gone.
	tombstoneLife = time.Minute

	maxReceivers = 20_000
	maxNodes     = 10_000
	maxOthers    = 4_096
)

// kinds are the kinds of entries of the tier.
func kinds() []gossip.Kind {
	return []gossip.Kind{
		{Prefix: "", Limit: maxOthers},
		{Prefix: ReceiverPrefix, Limit: maxReceivers, Lifetime: receiverLife},
		{Prefix: NodePrefix, Limit: maxNodes, Lifetime: nodeLife, Validate: checkNode},
		{Prefix: retiredReportPrefix, Ephemeral: true, Validate: refuseRetired},
	}
}

func refuseRetired(e gossip.Entry) error {
	return eris.Errorf("%s is of a kind that is not kept any more", e.Key)
}

func receiverLife(e gossip.Entry) time.Duration {
	receiver, err := records.ReceiverCodec.Decode(e.Value)
	if err == nil && receiver.State == records.ReceiverGone {
		return tombstoneLife
	}
	return 0
}

func nodeLife(e gossip.Entry) time.Duration {
	if membership.State(e.Stamp.Sequence) == membership.Alive {
		return 0
	}
	return tombstoneLife
}

// NodeKey is the key of a node's record.
func NodeKey(id membership.ID) string { return NodePrefix + string(id) }

// nodeEntry is a node's record as an entry: the stamp's epoch is the incarnation, its sequence the state. All
// who declare a node down write the same entry.
func nodeEntry(n membership.Node) (gossip.Entry, error) {
	record := records.NodeRecord{Name: n.Name, Role: n.Role, Zone: n.Zone, Region: n.Region, Address: n.Address, State: n.State}
	value, err := records.EncodeNode(record)
	if err != nil {
		return gossip.Entry{}, err
	}
	stamp := gossip.Stamp{Epoch: n.Incarnation, Sequence: uint64(n.State)}
	return gossip.Entry{Key: NodeKey(n.ID()), Value: value, Stamp: stamp}, nil
}

// nodeOf reads the record of a node and checks that key, stamp and value agree.
func nodeOf(e gossip.Entry) (membership.Node, error) {
	r, err := records.DecodeNode(e.Value)
	if err != nil {
		return membership.Node{}, err
	}
	n := membership.Node{Name: r.Name, Role: r.Role, Zone: r.Zone, Region: r.Region, Address: r.Address, State: r.State, Incarnation: e.Stamp.Epoch}
	if e.Key != NodeKey(n.ID()) || e.Stamp.Sequence != uint64(n.State) || e.Stamp.Origin != "" {
		return n, eris.Errorf("the record under %s doesn't belong to its key and stamp", e.Key)
	}
	return n, nil
}

func checkNode(e gossip.Entry) error {
	_, err := nodeOf(e)
	return err
}
