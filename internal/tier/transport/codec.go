package transport

import (
	"sync"

	"github.com/hamba/avro/v2"
	"github.com/rotisserie/eris"
)

// maxArrayElements bounds an array of a message. The decoder makes room for as many as the message announces before it reads
// them, so that a few bytes could cost gigabytes: MaxSliceAllocSize counts elements, not bytes.
const maxArrayElements = 1 << 16

// avroConfig is the avro configuration of all internal messages: bounded like the frames that carry them.
var avroConfig = avro.Config{MaxByteSliceSize: MaxFrameBytes, MaxSliceAllocSize: maxArrayElements}.Freeze()

// Codec turns messages of one type into avro bytes and back. It may be shared.
type Codec[T any] struct {
	schema func() avro.Schema
}

// MustCodec makes a codec of an avro schema. The schema is parsed when it is first used: a process uses few of all
// that its program knows, and parsing them all would cost it tens of milliseconds and megabytes at its start. A schema
// that does not parse is a broken invariant.
func MustCodec[T any](schema string) *Codec[T] {
	return &Codec[T]{schema: sync.OnceValue(func() avro.Schema { return avro.MustParse(schema) })}
}

// Encode gives the avro bytes of a message.
func (c *Codec[T]) Encode(message T) ([]byte, error) {
	data, err := avroConfig.Marshal(c.schema(), message)
	return data, eris.Wrap(err, "encode")
}

// Decode reads a message. Bytes that are not one are an error.
func (c *Codec[T]) Decode(data []byte) (T, error) {
	var message T
	err := avroConfig.Unmarshal(c.schema(), data, &message)
	return message, eris.Wrap(err, "decode")
}
