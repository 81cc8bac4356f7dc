package transport

import (
	"sync"

	"github.com/hamba/avro/v2"
	"github.com/rotisserie/eris"
)

// maxArrayElements limits the arrays in a message. The decoder allocates as many elements as the message announces before
// it reads them, so a few bytes could cost gigabytes: MaxSliceAllocSize counts elements, not bytes.
const maxArrayElements = 1 << 16

// avroConfig is the avro configuration of all internal messages, with the size limit of the frames that carry them.
var avroConfig = avro.Config{MaxByteSliceSize: MaxFrameBytes, MaxSliceAllocSize: maxArrayElements}.Freeze()

// Codec encodes and decodes messages of one type in avro. It is safe for concurrent use.
type Codec[T any] struct {
	schema func() avro.Schema
}

// MustCodec returns a codec for an avro schema. The schema is parsed at its first use: a process uses few of the schemas
// in the program, and parsing all of them would cost tens of milliseconds and megabytes at its start. The first use
// panics if the schema is invalid.
func MustCodec[T any](schema string) *Codec[T] {
	return &Codec[T]{schema: sync.OnceValue(func() avro.Schema { return avro.MustParse(schema) })}
}

// Encode returns the avro encoding of a message.
func (c *Codec[T]) Encode(message T) ([]byte, error) {
	data, err := avroConfig.Marshal(c.schema(), message)
	return data, eris.Wrap(err, "encode")
}

// Decode decodes a message. It fails on bytes that are not a valid encoding.
func (c *Codec[T]) Decode(data []byte) (T, error) {
	var message T
	err := avroConfig.Unmarshal(c.schema(), data, &message)
	return message, eris.Wrap(err, "decode")
}
