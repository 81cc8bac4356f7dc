package controlstate

import (
	"errors"
	"fmt"
	"io"

	"github.com/hamba/avro/v2"
	"github.com/rotisserie/eris"

	"emberquay/internal/tier/routing"
)

// avroAPI encodes and decodes all records of this package, with bounds on the sizes that it decodes.
var avroAPI = avro.Config{
	MaxByteSliceSize:  routing.MaxBodyBytes + 1<<20, // a configuration, or all digests
	MaxSliceAllocSize: maxMembers + maxRetirements,  // elements of one list
}.Freeze()

// mustMarshal encodes a record of this package. It panics only if a schema and its Go type do not match.
func mustMarshal(schema avro.Schema, record any) []byte {
	raw, err := avroAPI.Marshal(schema, record)
	if err != nil {
		panic(fmt.Sprintf("controlstate: %T does not fit its schema: %v", record, err))
	}
	return raw
}

// unmarshal decodes one record that fills all of raw. The library's own Unmarshal decodes a truncated record as one whose
// last fields are zero, and ignores trailing bytes.
func unmarshal(schema avro.Schema, raw []byte, record any) error {
	reader := avro.NewReader(nil, 0, avro.WithReaderConfig(avroAPI)).Reset(raw)
	reader.ReadVal(schema, record)
	if reader.Error != nil {
		return reader.Error
	}
	reader.Peek()
	if !errors.Is(reader.Error, io.EOF) {
		return eris.Errorf("%d bytes go on behind the record's end", len(raw))
	}
	return nil
}
