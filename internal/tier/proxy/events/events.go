// Package events splits a text/event-stream into its events, so that only complete ones are forwarded.
//
//	reader := events.NewReader(body)
//	for {
//		event, err := reader.Next()
//		if err != nil {
//			break // io.EOF: the body ended regularly
//		}
//		out.Write(event.Raw)
//	}
//
// The bytes of an event are returned unchanged, with its id and data parsed in addition.
package events

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	initialBufferBytes = 2 << 10
	// MaxEventBytes bounds the size of an event.
	MaxEventBytes = 1 << 20
)

// ErrTooLong is returned for an event of more than MaxEventBytes.
var ErrTooLong = errors.New("event is too long")

// Event is an event of a stream. Its slices are valid until the next call of Next.
type Event struct {
	Raw     []byte // all bytes, including the terminating blank line
	Data    []byte // the values of its data fields, joined by line feeds
	HasData bool
	ID      uint64
	HasID   bool   // the event has an id that is an unsigned integer
	RawID   []byte // the id as received
}

// Reader reads events. It is not safe for concurrent use.
type Reader struct {
	from   io.Reader
	buffer []byte
	start  int // of the bytes not yet returned
	end    int
	data   []byte // for events with several data fields
	err    error
}

// NewReader returns a Reader of a body whose regular end is io.EOF.
func NewReader(from io.Reader) *Reader {
	return &Reader{from: from, buffer: make([]byte, initialBufferBytes)}
}

// Next returns the next complete event, and after the last one the body's error. Bytes of an incomplete last event are
// dropped, unless the body ended regularly: then they are returned as an event without a blank line.
func (r *Reader) Next() (Event, error) {
	scanned := 0
	for {
		if length := eventLength(r.buffer[r.start:r.end], scanned); length > 0 {
			raw := r.buffer[r.start : r.start+length]
			r.start += length
			return r.parse(raw), nil
		}
		scanned = r.end - r.start
		if r.err != nil {
			return r.remainder()
		}
		if err := r.fill(); err != nil {
			return Event{}, err
		}
	}
}

// NextBuffered reports whether the complete next event is already buffered.
func (r *Reader) NextBuffered() bool {
	return eventLength(r.buffer[r.start:r.end], 0) > 0
}

func (r *Reader) remainder() (Event, error) {
	raw := r.buffer[r.start:r.end]
	r.start = r.end
	if r.err == io.EOF && len(raw) > 0 {
		return r.parse(raw), nil
	}
	return Event{}, r.err
}

// fill reads more bytes, reusing the space of those already returned.
func (r *Reader) fill() error {
	if r.start > 0 {
		copy(r.buffer, r.buffer[r.start:r.end])
		r.end -= r.start
		r.start = 0
	}
	if r.end == len(r.buffer) {
		if len(r.buffer) >= MaxEventBytes {
			return ErrTooLong
		}
		r.buffer = append(r.buffer, make([]byte, len(r.buffer))...)
	}
	n, err := r.from.Read(r.buffer[r.end:])
	r.end += n
	r.err = err
	return nil
}

// eventLength returns the length of the event at the start of stream, with its blank line, or 0 if it is incomplete. The
// first scanned bytes are known not to contain its end.
func eventLength(stream []byte, scanned int) int {
	at := max(0, scanned-2)
	for {
		newline := bytes.IndexByte(stream[at:], '\n')
		if newline < 0 {
			return 0
		}
		at += newline + 1
		switch {
		case at < len(stream) && stream[at] == '\n':
			return at + 1
		case at+1 < len(stream) && stream[at] == '\r' && stream[at+1] == '\n':
			return at + 2
		}
	}
}

var (
	dataField = []byte("data")
	idField   = []byte("id")
)

func (r *Reader) parse(raw []byte) Event {
	event := Event{Raw: raw}
	rest := raw
	for len(rest) > 0 {
		line, after, _ := bytes.Cut(rest, []byte{'\n'})
		rest = after
		name, value, _ := bytes.Cut(bytes.TrimSuffix(line, []byte{'\r'}), []byte{':'})
		value = bytes.TrimPrefix(value, []byte{' '})
		switch {
		case bytes.Equal(name, dataField):
			r.appendData(&event, value)
		case bytes.Equal(name, idField):
			event.RawID = value
			number, err := strconv.ParseUint(string(value), 10, 64)
			event.ID, event.HasID = number, err == nil
		}
	}
	return event
}

func (r *Reader) appendData(event *Event, value []byte) {
	if !event.HasData {
		event.Data, event.HasData = value, true
		return
	}
	r.data = append(r.data[:0], event.Data...)
	r.data = append(r.data, '\n')
	r.data = append(r.data, value...)
	event.Data = r.data
}
