package transport

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
)

// MaxFrameBytes is the size limit of a frame: it fits a configuration of 4 MiB, escaped, with room to spare.
const MaxFrameBytes = 16 << 20

// preamble starts a connection: two magic letters, the version of the protocol and a reserved byte.
var preamble = [4]byte{'E', 'Q', 1, 0}

// kind is the type of the message in an envelope.
type kind int

const (
	kindRequest kind = iota // expects a response with its id
	kindOneWay              // expects no response
	kindResponse
	kindError // the request with that id failed; the payload is the error's text
)

// envelope is the content of a frame.
type envelope struct {
	Kind          int    `avro:"kind"`
	ID            int64  `avro:"id"`
	Method        string `avro:"method"`
	TimeoutMillis int64  `avro:"time_millis"` // time left for the call when it was sent; 0: no deadline
	Payload       []byte `avro:"payload"`
}

var envelopeCodec = MustCodec[envelope](`{"type":"record","name":"Envelope","fields":[
	{"name":"kind","type":"int"},
	{"name":"id","type":"long"},
	{"name":"method","type":"string"},
	{"name":"time_millis","type":"long"},
	{"name":"payload","type":"bytes"}]}`)

// encodeFrame returns the bytes of a frame.
func encodeFrame(e envelope) ([]byte, error) {
	body, err := envelopeCodec.Encode(e)
	if err != nil {
		return nil, err
	}
	if len(body) > MaxFrameBytes {
		return nil, eris.Errorf("message of %d bytes exceeds the frame limit of %d bytes", len(body), MaxFrameBytes)
	}
	frame := make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	return append(frame, body...), nil
}

// readFrame reads a frame and decodes its envelope.
func readFrame(r *bufio.Reader) (envelope, error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return envelope{}, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return envelope{}, eris.Errorf("frame of %d bytes exceeds the limit of %d bytes", size, MaxFrameBytes)
	}
	body, err := readBody(r, int(size))
	if err != nil {
		return envelope{}, err
	}
	return envelopeCodec.Decode(body)
}

// bodyChunkBytes limits what is allocated before the bytes arrive: an announced length alone must not cost the memory of
// a whole frame.
const bodyChunkBytes = 64 << 10

func readBody(r *bufio.Reader, size int) ([]byte, error) {
	body := make([]byte, 0, min(size, bodyChunkBytes))
	for len(body) < size {
		chunk := min(size-len(body), bodyChunkBytes)
		offset := len(body)
		body = append(body, make([]byte, chunk)...)
		if _, err := io.ReadFull(r, body[offset:]); err != nil {
			return nil, err
		}
	}
	return body, nil
}
