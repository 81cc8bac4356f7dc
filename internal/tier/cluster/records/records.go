// Package records defines the typed values of the cluster's table and encodes them as Avro.
//
//	value, err := records.ReceiverCodec.Encode(records.ReceiverRecord{ID: "i-7f3a91c2", Service: "models", ...})
//	receiver, err := records.ReceiverCodec.Decode(entry.Value)
//
// Both directions check the bounds of the fields and return an error that names the first field out of bounds.
package records

import (
	"github.com/rotisserie/eris"

	"emberquay/internal/tier/transport"
)

// Bounds of the fields of records.
const (
	MaxTextBytes          = 512                   // of a name, an id, an address or another text
	MaxModels             = 64                    // per receiver
	MaxSlots              = 1 << 20               // per receiver
	MaxConfigurationBytes = 8 << 20               // twice the largest that the operator may send
	MaxStoresBytes        = 1 << 20               // of a store view
	maxCount              = 1 << 40               // tokens or calls
	maxMillis             = 24 * 3600 * 1000 * 30 // 30 days
)

// Codec encodes and decodes the records of one type.
type Codec[T any] struct {
	wire     *transport.Codec[T]
	validate func(T) error
}

func newCodec[T any](schema string, validate func(T) error) *Codec[T] {
	return &Codec[T]{wire: transport.MustCodec[T](schema), validate: validate}
}

// Encode checks the bounds of a record and returns its bytes.
func (c *Codec[T]) Encode(record T) ([]byte, error) {
	if err := c.validate(record); err != nil {
		return nil, err
	}
	return c.wire.Encode(record)
}

// Decode decodes a record and checks its bounds.
func (c *Codec[T]) Decode(value []byte) (T, error) {
	record, err := c.wire.Decode(value)
	if err != nil {
		return record, err
	}
	return record, c.validate(record)
}

// FieldError reports a field of a record that is out of bounds.
type FieldError struct {
	Record string
	Field  string
	Reason string
}

func (e *FieldError) Error() string { return e.Record + "." + e.Field + ": " + e.Reason }

// boundsChecker checks the fields of a record and keeps the error of the first one out of bounds.
type boundsChecker struct {
	record     string
	firstError error
}

func (c *boundsChecker) fail(field, reason string) {
	if c.firstError == nil {
		c.firstError = eris.Wrap(&FieldError{Record: c.record, Field: field, Reason: reason}, "record")
	}
}

func (c *boundsChecker) checkText(field, text string, required bool) {
	if len(text) > MaxTextBytes {
		c.fail(field, "too long")
	}
	if required && text == "" {
		c.fail(field, "empty")
	}
}

func (c *boundsChecker) checkRange(field string, number, minimum, maximum int64) {
	if number < minimum || number > maximum {
		c.fail(field, "out of range")
	}
}
