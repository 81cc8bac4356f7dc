// Package events cuts a text/event-stream into its events, so that only whole ones are passed on.
//
//	reader := events.NewReader(body)
//	for {
//		event, err := reader.Next()
//		if err != nil {
//			break // io.EOF: the body ended properly
//		}
//		out.Write(event.Raw)
//	}
//
// The bytes of an event are passed on as they came; id and data are read beside that.
package events

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	firstBuffer = 2 << 10
	// MaxEventBytes bounds one event, in bytes.
	MaxEventBytes = 1 << 20
)

// ErrTooLong is given for an event of more than MaxEventBytes.
var ErrTooLong = errors.New("an event is too long")

// Event is one event of a stream. Its slices are valid until the next call of Next.
type Event struct {
	Raw     []byte // all bytes, with the blank line that ends it
	Data    []byte // the values of its data fields, with a line feed between two
	HasData bool
	ID      uint64
	HasID   bool   // the event has an id that is a whole number
	RawID   []byte // the id as it came
}

// Reader reads events. It is not safe for concurrent use.
type Reader struct {
	from   io.Reader
	buffer []byte
	begin  int // of what is not handed out yet
	end    int
	data   []byte // for events of several data fields
	err    error
}

// NewReader reads events from a body whose proper end is io.EOF.
func NewReader(from io.Reader) *Reader {
	return &Reader{from: from, buffer: make([]byte, firstBuffer)}
}

// Next gives the next whole event. After the last one it gives the body's error; bytes of an event that was cut off
// are dropped unless the body ended properly, when they come as an event without a blank line.
func (r *Reader) Next() (Event, error) {
	scanned := 0
	for {
		if length := eventLength(r.buffer[r.begin:r.end], scanned); length > 0 {
			raw := r.buffer[r.begin : r.begin+length]
			r.begin += length
			return r.parse(raw), nil
		}
		scanned = r.end - r.begin
		if r.err != nil {
			return r.rest()
		}
		if err := r.fill(); err != nil {
			return Event{}, err
		}
	}
}

// NextBuffered says whether the next event is here already, whole.
func (r *Reader) NextBuffered() bool {
	return eventLength(r.buffer[r.begin:r.end], 0) > 0
}

func (r *Reader) rest() (Event, error) {
	raw := r.buffer[r.begin:r.end]
	r.begin = r.end
	if r.err == io.EOF && len(raw) > 0 {
		return r.parse(raw), nil
	}
	return Event{}, r.err
}

// fill reads on, in place of what is handed out already.
func (r *Reader) fill() error {
	if r.begin > 0 {
		copy(r.buffer, r.buffer[r.begin:r.end])
		r.end -= r.begin
		r.begin = 0
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

// eventLength is the length of the event at the start of the bytes, with its blank line; 0: it has not ended. The
// first scanned bytes are known to hold no end.
func eventLength(stream []byte, scanned int) int {
	at := max(0, scanned-2)
	for {
		feed := bytes.IndexByte(stream[at:], '\n')
		if feed < 0 {
			return 0
		}
		at += feed + 1
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
			r.addData(&event, value)
		case bytes.Equal(name, idField):
			event.RawID = value
			number, err := strconv.ParseUint(string(value), 10, 64)
			event.ID, event.HasID = number, err == nil
		}
	}
	return event
}

func (r *Reader) addData(event *Event, value []byte) {
	if !event.HasData {
		event.Data, event.HasData = value, true
		return
	}
	r.data = append(r.data[:0], event.Data...)
	r.data = append(r.data, '\n')
	r.data = append(r.data, value...)
	event.Data = r.data
}
