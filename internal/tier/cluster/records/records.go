// Package records holds the typed values of the cluster's table and their avro bytes.
//
//	value, err := records.ReceiverCodec.Encode(records.ReceiverRecord{ID: "i-7f3a91c2", Service: "models", ...})
//	receiver, err := records.ReceiverCodec.Decode(entry.Value)
//
// Both directions check the bounds: what breaks them is an error that names the field.
package records

import (
	"github.com/rotisserie/eris"

	"emberquay/internal/tier/transport"
)

// Bounds of what a record may hold.
const (
	MaxTextBytes          = 512                   // bytes of a name, an id or an address
	MaxModels             = 64                    // models of a receiver
	MaxSlots              = 1 << 20               // slots of a receiver
	MaxConfigurationBytes = 8 << 20               // bytes of a configuration: twice the largest that the operator may send
	MaxStoresBytes        = 1 << 20               // bytes of a store view
	maxCount              = 1 << 40               // tokens, calls
	maxMillis             = 24 * 3600 * 1000 * 30 // 30 days
)

// Codec turns the records of one kind into bytes and back.
type Codec[T any] struct {
	wire  *transport.Codec[T]
	check func(T) error
}

func newCodec[T any](schema string, check func(T) error) *Codec[T] {
	return &Codec[T]{wire: transport.MustCodec[T](schema), check: check}
}

// Encode gives the bytes of a record within its bounds.
func (c *Codec[T]) Encode(record T) ([]byte, error) {
	if err := c.check(record); err != nil {
		return nil, err
	}
	return c.wire.Encode(record)
}

// Decode reads a record and checks its bounds.
func (c *Codec[T]) Decode(value []byte) (T, error) {
	record, err := c.wire.Decode(value)
	if err != nil {
		return record, err
	}
	return record, c.check(record)
}

// FieldError says which field of a record is out of bounds.
type FieldError struct {
	Record string
	Field  string
	Reason string
}

func (e *FieldError) Error() string { return e.Record + "." + e.Field + ": " + e.Reason }

// checker collects the first field that is out of bounds.
type checker struct {
	record string
	first  error
}

func (c *checker) fail(field, reason string) {
	if c.first == nil {
		c.first = eris.Wrap(&FieldError{Record: c.record, Field: field, Reason: reason}, "record")
	}
}

func (c *checker) text(field, text string, required bool) {
	if len(text) > MaxTextBytes {
		c.fail(field, "too long")
	}
	if required && text == "" {
		c.fail(field, "empty")
	}
}

func (c *checker) within(field string, number, least, most int64) {
	if number < least || number > most {
		c.fail(field, "out of range")
	}
}
