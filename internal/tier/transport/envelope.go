package transport

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
)

// MaxFrameBytes bounds one frame in bytes: a configuration of 4 MiB, escaped, with room to spare.
const MaxFrameBytes = 16 << 20

// preamble opens a connection: two letters, the version of the protocol, a byte kept for later.
var preamble = [4]byte{'E', 'Q', 1, 0}

// kind says what an envelope is.
type kind int

const (
	kindRequest kind = iota // wants an answer under its id
	kindOneWay              // wants none
	kindResponse
	kindError // of the request of that id; the payload is its reason
)

// envelope is what a frame holds.
type envelope struct {
	Kind          int    `avro:"kind"`
	ID            int64  `avro:"id"`
	Method        string `avro:"method"`
	TimeoutMillis int64  `avro:"time_millis"` // left for the call when it was sent
	Payload       []byte `avro:"payload"`
}

var envelopeCodec = MustCodec[envelope](`{"type":"record","name":"Envelope","fields":[
	{"name":"kind","type":"int"},
	{"name":"id","type":"long"},
	{"name":"method","type":"string"},
	{"name":"time_millis","type":"long"},
	{"name":"payload","type":"bytes"}]}`)

// encodeFrame gives the bytes of one frame.
func encodeFrame(e envelope) ([]byte, error) {
	body, err := envelopeCodec.Encode(e)
	if err != nil {
		return nil, err
	}
	if len(body) > MaxFrameBytes {
		return nil, eris.Errorf("a message of %d bytes is over the bound of %d", len(body), MaxFrameBytes)
	}
	frame := make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	return append(frame, body...), nil
}

// readFrame reads one envelope.
func readFrame(r *bufio.Reader) (envelope, error) {
	var length [4]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return envelope{}, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > MaxFrameBytes {
		return envelope{}, eris.Errorf("a frame of %d bytes is over the bound of %d", size, MaxFrameBytes)
	}
	body, err := readBody(r, int(size))
	if err != nil {
		return envelope{}, err
	}
	return envelopeCodec.Decode(body)
}

// bodyChunkBytes bounds what is allocated ahead of the bytes: a length alone must not cost a whole frame of memory.
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
