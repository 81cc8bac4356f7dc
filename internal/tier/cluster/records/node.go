package records

import "emberquay/coordination/membership"

// NodeRecord is the value of node/NAME/ROLE. Its state is Alive, Down or Left: suspicions are not spread.
type NodeRecord struct {
	Name    string
	Role    membership.Role
	Zone    string
	Region  string
	Address string
	State   membership.State
}

// nodeWire is the Avro form of a NodeRecord. The incarnation is the epoch of the entry's stamp.
type nodeWire struct {
	Name    string `avro:"name"`
	Role    int    `avro:"role"`
	Zone    string `avro:"zone"`
	Region  string `avro:"region"`
	Address string `avro:"address"`
	State   int    `avro:"state"`
}

var nodeCodec = newCodec(`{"type":"record","name":"Node","fields":[
	{"name":"name","type":"string"},
	{"name":"role","type":"int"},
	{"name":"zone","type":"string"},
	{"name":"region","type":"string"},
	{"name":"address","type":"string"},
	{"name":"state","type":"int"}]}`, validateNode)

func validateNode(n nodeWire) error {
	c := boundsChecker{record: "node"}
	c.checkText("name", n.Name, true)
	c.checkText("zone", n.Zone, false)
	c.checkText("region", n.Region, false)
	c.checkText("address", n.Address, true)
	c.checkRange("role", int64(n.Role), int64(membership.Proxy), int64(membership.Store))
	c.checkRange("state", int64(n.State), int64(membership.Alive), int64(membership.Left))
	if membership.State(n.State) == membership.Suspect {
		c.fail("state", "a suspicion is not spread")
	}
	return c.firstError
}

// EncodeNode checks the bounds of a node's record and returns its bytes.
func EncodeNode(n NodeRecord) ([]byte, error) {
	return nodeCodec.Encode(nodeWire{Name: n.Name, Role: int(n.Role), Zone: n.Zone, Region: n.Region, Address: n.Address, State: int(n.State)})
}

// DecodeNode decodes a node's record and checks its bounds.
func DecodeNode(value []byte) (NodeRecord, error) {
	w, err := nodeCodec.Decode(value)
	if err != nil {
		return NodeRecord{}, err
	}
	return NodeRecord{Name: w.Name, Role: membership.Role(w.Role), Zone: w.Zone, Region: w.Region, Address: w.Address, State: membership.State(w.State)}, nil
}
