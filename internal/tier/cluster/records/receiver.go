package records

// ReceiverState is the state of a receiver as declared by a control node.
type ReceiverState int

// States of receivers. An entry in state ReceiverGone expires after some time.
const (
	ReceiverReady    ReceiverState = iota // accepts requests
	ReceiverDraining                      // has announced its shutdown: it must get no new requests
	ReceiverSilent                        // sends no heartbeats
	ReceiverGone                          // has left, or was silent for a long time
)

var receiverStateNames = [...]string{"ready", "draining", "silent", "gone"}

// String returns the name of the state.
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
	Version             string        `avro:"version"` // of the receiver's software
	Slots               int           `avro:"slots"`
	State               ReceiverState `avro:"state"`
	ColdRemainingMillis int64         `avro:"cold_remaining_millis"` // at the time of the heartbeat
	Stage               string        `avro:"stage"`
	Models              []string      `avro:"models"`
	Sequence            int64         `avro:"sequence"` // number of the heartbeat
	Owner               string        `avro:"owner"`    // name of the control node that accepted the heartbeat
}

// ReceiverCodec encodes and decodes the values of receiver/ID.
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
	{"name":"owner","type":"string"}]}`, validateReceiver)

func validateReceiver(r ReceiverRecord) error {
	c := boundsChecker{record: "receiver"}
	c.checkText("id", r.ID, true)
	c.checkText("service", r.Service, false)
	c.checkText("address", r.Address, false)
	c.checkText("zone", r.Zone, false)
	c.checkText("version", r.Version, false)
	c.checkText("stage", r.Stage, false)
	c.checkText("owner", r.Owner, false)
	c.checkRange("slots", int64(r.Slots), 0, MaxSlots)
	c.checkRange("state", int64(r.State), int64(ReceiverReady), int64(ReceiverGone))
	c.checkRange("cold_remaining_millis", r.ColdRemainingMillis, 0, maxMillis)
	c.checkRange("models", int64(len(r.Models)), 0, MaxModels)
	for _, model := range r.Models {
		c.checkText("models", model, false)
	}
	return c.firstError
}
