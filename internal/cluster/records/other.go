package records

// ReportRecord is the value of report/INSTANCE: a receiver's own count of its load. Only the newest matters.
type ReportRecord struct {
	Instance  string `avro:"instance"`
	Running   int    `avro:"running"`
	Queued    int    `avro:"queued"`
	KVUsed    int64  `avro:"kv_used"`    // tokens
	KVTotal   int64  `avro:"kv_total"`   // tokens
	AgeMillis int64  `avro:"age_millis"` // of the report when it was published
	Sequence  int64  `avro:"sequence"`
}

// Reports codes the values of report/INSTANCE.
var Reports = newCodec(`{"type":"record","name":"Report","fields":[
	{"name":"instance","type":"string"},
	{"name":"running","type":"long"},
	{"name":"queued","type":"long"},
	{"name":"kv_used","type":"long"},
	{"name":"kv_total","type":"long"},
	{"name":"age_millis","type":"long"},
	{"name":"sequence","type":"long"}]}`, checkReport)

func checkReport(r ReportRecord) error {
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
	Version uint64 `avro:"version"`
	Body    []byte `avro:"body"`
}

// Configurations codes the value of configuration.
var Configurations = newCodec(`{"type":"record","name":"Configuration","fields":[
	{"name":"version","type":{"type":"fixed","name":"Version","size":8}},
	{"name":"body","type":"bytes"}]}`, checkConfiguration)

func checkConfiguration(r ConfigurationRecord) error {
	c := checker{record: "configuration"}
	c.within("body", int64(len(r.Body)), 0, MaxConfiguration)
	return c.first
}

// StoresRecord is the value of stores: the bytes of a store view, which internal/controlstate reads.
type StoresRecord struct {
	View []byte `avro:"view"`
}

// Stores codes the value of stores.
var Stores = newCodec(`{"type":"record","name":"Stores","fields":[
	{"name":"view","type":"bytes"}]}`, checkStores)

func checkStores(r StoresRecord) error {
	c := checker{record: "stores"}
	c.within("view", int64(len(r.View)), 0, MaxStores)
	return c.first
}
