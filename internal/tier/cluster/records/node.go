package records

import "emberquay/coordination/membership"

// NodeRecord is the value of node/NAME/ROLE. Its state is Alive, Down or Left: a suspicion is not spread.
type NodeRecord struct {
	Name    string
	Role    membership.Role
	Zone    string
	Region  string
	Address string
	State   membership.State
}

// nodeWire is the record on the wire. The incarnation is the epoch of the entry's stamp.
type nodeWire struct {
	Name    string `avro:"name"`
	Role    int    `avro:"role"`
	Zone    string `avro:"zone"`
	Region  string `avro:"region"`
	Address string `avro:"address"`
	State   int    `avro:"state"`
}

var nodes = newCodec(`{"type":"record","name":"Node","fields":[
	{"name":"name","type":"string"},
	{"name":"role","type":"int"},
	{"name":"zone","type":"string"},
	{"name":"region","type":"string"},
	{"name":"address","type":"string"},
	{"name":"state","type":"int"}]}`, checkNode)

func checkNode(n nodeWire) error {
	c := checker{record: "node"}
	c.text("name", n.Name, true)
	c.text("zone", n.Zone, false)
	c.text("region", n.Region, false)
	c.text("address", n.Address, true)
	c.within("role", int64(n.Role), int64(membership.Proxy), int64(membership.Store))
	c.within("state", int64(n.State), int64(membership.Alive), int64(membership.Left))
	if membership.State(n.State) == membership.Suspect {
		c.fail("state", "a suspicion is not spread")
	}
	return c.first
}

// EncodeNode gives the bytes of a node's record.
func EncodeNode(n NodeRecord) ([]byte, error) {
	return nodes.Encode(nodeWire{Name: n.Name, Role: int(n.Role), Zone: n.Zone, Region: n.Region, Address: n.Address, State: int(n.State)})
}

// DecodeNode reads a node's record.
func DecodeNode(value []byte) (NodeRecord, error) {
	w, err := nodes.Decode(value)
	if err != nil {
		return NodeRecord{}, err
	}
	return NodeRecord{Name: w.Name, Role: membership.Role(w.Role), Zone: w.Zone, Region: w.Region, Address: w.Address, State: membership.State(w.State)}, nil
}
