package records

// ReportRecord is the load that a receiver reports of itself. Proxies send it to each other; only the newest matters.
type ReportRecord struct {
	Instance  string `avro:"instance"`
	Running   int    `avro:"running"`
	Queued    int    `avro:"queued"`
	KVUsed    int64  `avro:"kv_used"`    // tokens
	KVTotal   int64  `avro:"kv_total"`   // tokens
	AgeMillis int64  `avro:"age_millis"` // age of the report when it was sent
	Sequence  int64  `avro:"sequence"`
}

// ReportSchema is the Avro schema of a ReportRecord.
const ReportSchema = `{"type":"record","name":"Report","fields":[
	{"name":"instance","type":"string"},
	{"name":"running","type":"long"},
	{"name":"queued","type":"long"},
	{"name":"kv_used","type":"long"},
	{"name":"kv_total","type":"long"},
	{"name":"age_millis","type":"long"},
	{"name":"sequence","type":"long"}]}`

// CheckBounds returns a FieldError for the first field that is out of bounds.
func (r ReportRecord) CheckBounds() error {
	c := boundsChecker{record: "report"}
	c.checkText("instance", r.Instance, true)
	c.checkRange("running", int64(r.Running), 0, maxCount)
	c.checkRange("queued", int64(r.Queued), 0, maxCount)
	c.checkRange("kv_used", r.KVUsed, 0, maxCount)
	c.checkRange("kv_total", r.KVTotal, 0, maxCount)
	c.checkRange("age_millis", r.AgeMillis, 0, maxMillis)
	return c.firstError
}

// ConfigurationRecord is the value of configuration: the operator's document as received.
type ConfigurationRecord struct {
	Version uint64
	Body    []byte
}

// configurationWire is the Avro form of a ConfigurationRecord.
type configurationWire struct {
	Version int64  `avro:"version"`
	Body    []byte `avro:"body"`
}

var configurationWireCodec = newCodec(`{"type":"record","name":"Configuration","fields":[
	{"name":"version","type":"long"},
	{"name":"body","type":"bytes"}]}`, validateConfiguration)

func validateConfiguration(r configurationWire) error {
	c := boundsChecker{record: "configuration"}
	c.checkRange("body", int64(len(r.Body)), 0, MaxConfigurationBytes)
	return c.firstError
}

// ConfigurationCodec encodes and decodes the value of configuration.
var ConfigurationCodec configurationCodec

type configurationCodec struct{}

// Encode checks the bounds of a configuration's record and returns its bytes. The version is stored as a long with
// the same bits, because Avro has no unsigned type.
func (configurationCodec) Encode(r ConfigurationRecord) ([]byte, error) {
	return configurationWireCodec.Encode(configurationWire{Version: int64(r.Version), Body: r.Body})
}

// Decode decodes a configuration's record and checks its bounds.
func (configurationCodec) Decode(value []byte) (ConfigurationRecord, error) {
	w, err := configurationWireCodec.Decode(value)
	return ConfigurationRecord{Version: uint64(w.Version), Body: w.Body}, err
}

// StoresRecord is the value of stores: an encoded store view, which package internal/tier/controlstate decodes.
type StoresRecord struct {
	View []byte `avro:"view"`
}

// StoresCodec encodes and decodes the value of stores.
var StoresCodec = newCodec(`{"type":"record","name":"Stores","fields":[
	{"name":"view","type":"bytes"}]}`, validateStores)

func validateStores(r StoresRecord) error {
	c := boundsChecker{record: "stores"}
	c.checkRange("view", int64(len(r.View)), 0, MaxStoresBytes)
	return c.firstError
}
