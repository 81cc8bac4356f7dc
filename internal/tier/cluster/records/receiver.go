package records

// ReceiverState is what a control node says of a receiver.
type ReceiverState int

// The states of a receiver. Gone is the tombstone: the entry is dropped some time after.
const (
	ReceiverReady    ReceiverState = iota // takes requests
	ReceiverDraining                      // has said that it will end: nothing new may be sent to it
	ReceiverSilent                        // its heartbeats stay away
	ReceiverGone                          // has left, or was silent for long
)

var receiverStateNames = [...]string{"ready", "draining", "silent", "gone"}

// String names the state.
func (s ReceiverState) String() string {
	if s >= 0 && int(s) < len(receiverStateNames) {
		return receiverStateNames[s]
	}
	return "unknown"
}

// ReceiverRecord is the value of receiver/ID.
type ReceiverRecord struct {
	ID                  string        `avro:"id"`
	Service             string        `avro:"service"`
	Address             string        `avro:"address"`
	Zone                string        `avro:"zone"`
	Version             string        `avro:"version"` // of its software
	Slots               int           `avro:"slots"`
	State               ReceiverState `avro:"state"`
	ColdRemainingMillis int64         `avro:"cold_remaining_millis"` // at the time of the heartbeat
	Stage               string        `avro:"stage"`
	Models              []string      `avro:"models"`
	Sequence            int64         `avro:"sequence"` // of the heartbeat
	Owner               string        `avro:"owner"`    // node name of the control node that took the heartbeat
}

// ReceiverCodec codes the values of receiver/ID.
var ReceiverCodec = newCodec(`{"type":"record","name":"Receiver","fields":[
	{"name":"id","type":"string"},
	{"name":"service","type":"string"},
	{"name":"address","type":"string"},
	{"name":"zone","type":"string"},
	{"name":"version","type":"string"},
	{"name":"slots","type":"long"},
	{"name":"state","type":"long"},
	{"name":"cold_remaining_millis","type":"long"},
	{"name":"stage","type":"string"},
	{"name":"models","type":{"type":"array","items":"string"}},
	{"name":"sequence","type":"long"},
	{"name":"owner","type":"string"}]}`, checkReceiver)

func checkReceiver(r ReceiverRecord) error {
	c := checker{record: "receiver"}
	c.text("id", r.ID, true)
	c.text("service", r.Service, false)
	c.text("address", r.Address, false)
	c.text("zone", r.Zone, false)
	c.text("version", r.Version, false)
	c.text("stage", r.Stage, false)
	c.text("owner", r.Owner, false)
	c.within("slots", int64(r.Slots), 0, MaxSlots)
	c.within("state", int64(r.State), int64(ReceiverReady), int64(ReceiverGone))
	c.within("cold_remaining_millis", r.ColdRemainingMillis, 0, maxMillis)
	c.within("models", int64(len(r.Models)), 0, MaxModels)
	for _, model := range r.Models {
		c.text("models", model, false)
	}
	return c.first
}
