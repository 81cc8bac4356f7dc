package records

// ReportRecord is a receiver's own count of its load, which proxies send each other. Only the newest matters.
type ReportRecord struct {
	Instance  string `avro:"instance"`
	Running   int    `avro:"running"`
	Queued    int    `avro:"queued"`
	KVUsed    int64  `avro:"kv_used"`    // tokens
	KVTotal   int64  `avro:"kv_total"`   // tokens
	AgeMillis int64  `avro:"age_millis"` // of the report when it was sent
	Sequence  int64  `avro:"sequence"`
}

// ReportSchema is the avro schema of a ReportRecord.
const ReportSchema = `{"type":"record","name":"Report","fields":[
	{"name":"instance","type":"string"},
	{"name":"running","type":"long"},
	{"name":"queued","type":"long"},
	{"name":"kv_used","type":"long"},
	{"name":"kv_total","type":"long"},
	{"name":"age_millis","type":"long"},
	{"name":"sequence","type":"long"}]}`

// Validate gives a FieldError for the first field that is out of bounds.
func (r ReportRecord) Validate() error {
	c := checker{record: "report"}
	c.text("instance", r.Instance, true)
	c.within("running", int64(r.Running), 0, maxCount)
	c.within("queued", int64(r.Queued), 0, maxCount)
	c.within("kv_used", r.KVUsed, 0, maxCount)
	c.within("kv_total", r.KVTotal, 0, maxCount)
	c.within("age_millis", r.AgeMillis, 0, maxMillis)
	return c.first
}

// ConfigurationRecord is the value of configuration: the operator's document as it was sent.
type ConfigurationRecord struct {
	Version uint64
	Body    []byte
}

// configurationWire is the record on the wire.
type configurationWire struct {
	Version int64  `avro:"version"`
	Body    []byte `avro:"body"`
}

var configurations = newCodec(`{"type":"record","name":"Configuration","fields":[
	{"name":"version","type":"long"},
	{"name":"body","type":"bytes"}]}`, checkConfiguration)

func checkConfiguration(r configurationWire) error {
	c := checker{record: "configuration"}
	c.within("body", int64(len(r.Body)), 0, MaxConfigurationBytes)
	return c.first
}

// ConfigurationCodec codes the value of configuration.
var ConfigurationCodec configurationCodec

type configurationCodec struct{}

// Encode gives the bytes of a configuration's record. The version's bits go as those of a long: avro has no
// unsigned one.
func (configurationCodec) Encode(r ConfigurationRecord) ([]byte, error) {
	return configurations.Encode(configurationWire{Version: int64(r.Version), Body: r.Body})
}

// Decode reads a configuration's record.
func (configurationCodec) Decode(value []byte) (ConfigurationRecord, error) {
	w, err := configurations.Decode(value)
	return ConfigurationRecord{Version: uint64(w.Version), Body: w.Body}, err
}

// StoresRecord is the value of stores: the bytes of a store view, which internal/tier/controlstate reads.
type StoresRecord struct {
	View []byte `avro:"view"`
}

// StoresCodec codes the value of stores.
var StoresCodec = newCodec(`{"type":"record","name":"Stores","fields":[
	{"name":"view","type":"bytes"}]}`, checkStores)

func checkStores(r StoresRecord) error {
	c := checker{record: "stores"}
	c.within("view", int64(len(r.View)), 0, MaxStoresBytes)
	return c.first
}
