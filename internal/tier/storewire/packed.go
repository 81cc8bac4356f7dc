package storewire

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// ErrMalformedList: a list whose length does not fit its elements.
var ErrMalformedList = eris.New("storewire: malformed list")

const keyBytes = 8

// AppendKey packs the key of a turn.
func AppendKey(to []byte, key uint64) []byte { return binary.BigEndian.AppendUint64(to, key) }

// DecodeKeys unpacks keys. Error: ErrPacked.
func DecodeKeys(data []byte) ([]uint64, error) {
	if len(data)%keyBytes != 0 {
		return nil, ErrMalformedList
	}
	keys := make([]uint64, 0, len(data)/keyBytes)
	for at := 0; at < len(data); at += keyBytes {
		keys = append(keys, binary.BigEndian.Uint64(data[at:]))
	}
	return keys, nil
}

// ListedTurn is a turn in a ListAnswer.
type ListedTurn struct {
	Key            uint64
	PlacedAtSender bool // it belongs at the store that asked
}

const listedBytes = keyBytes + 1

// AppendListedTurn packs one.
func AppendListedTurn(to []byte, l ListedTurn) []byte {
	to = binary.BigEndian.AppendUint64(to, l.Key)
	if l.PlacedAtSender {
		return append(to, 1)
	}
	return append(to, 0)
}

// DecodeListedTurns unpacks a list. Error: ErrPacked.
func DecodeListedTurns(data []byte) ([]ListedTurn, error) {
	if len(data)%listedBytes != 0 {
		return nil, ErrMalformedList
	}
	list := make([]ListedTurn, 0, len(data)/listedBytes)
	for at := 0; at < len(data); at += listedBytes {
		list = append(list, ListedTurn{Key: binary.BigEndian.Uint64(data[at:]), PlacedAtSender: data[at+keyBytes] != 0})
	}
	return list, nil
}
