package storewire

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// ErrPacked: a list whose length does not fit its elements.
var ErrPacked = eris.New("storewire: malformed list")

const keyBytes = 8

// AppendKey packs the key of a turn.
func AppendKey(to []byte, key uint64) []byte { return binary.BigEndian.AppendUint64(to, key) }

// Keys unpacks keys. Error: ErrPacked.
func Keys(data []byte) ([]uint64, error) {
	if len(data)%keyBytes != 0 {
		return nil, ErrPacked
	}
	keys := make([]uint64, 0, len(data)/keyBytes)
	for at := 0; at < len(data); at += keyBytes {
		keys = append(keys, binary.BigEndian.Uint64(data[at:]))
	}
	return keys, nil
}

// Listed is a turn in a ListAnswer.
type Listed struct {
	Key    uint64
	Placed bool // it belongs at the store that asked
}

const listedBytes = keyBytes + 1

// AppendListed packs one.
func AppendListed(to []byte, l Listed) []byte {
	to = binary.BigEndian.AppendUint64(to, l.Key)
	if l.Placed {
		return append(to, 1)
	}
	return append(to, 0)
}

// ListedTurns unpacks a list. Error: ErrPacked.
func ListedTurns(data []byte) ([]Listed, error) {
	if len(data)%listedBytes != 0 {
		return nil, ErrPacked
	}
	list := make([]Listed, 0, len(data)/listedBytes)
	for at := 0; at < len(data); at += listedBytes {
		list = append(list, Listed{Key: binary.BigEndian.Uint64(data[at:]), Placed: data[at+keyBytes] != 0})
	}
	return list, nil
}
