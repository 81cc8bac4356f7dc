package storewire

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// ErrMalformedList is returned for a packed list whose length is not a multiple of the element size.
var ErrMalformedList = eris.New("storewire: malformed list")

const keyBytes = 8

// AppendKey appends the key of a turn to a packed list.
func AppendKey(dst []byte, key uint64) []byte { return binary.BigEndian.AppendUint64(dst, key) }

// DecodeKeys decodes a packed list of keys. It fails with ErrMalformedList.
func DecodeKeys(data []byte) ([]uint64, error) {
	if len(data)%keyBytes != 0 {
		return nil, ErrMalformedList
	}
	keys := make([]uint64, 0, len(data)/keyBytes)
	for offset := 0; offset < len(data); offset += keyBytes {
		keys = append(keys, binary.BigEndian.Uint64(data[offset:]))
	}
	return keys, nil
}

// ListedTurn is an element of ListAnswer.Turns.
type ListedTurn struct {
	Key            uint64
	PlacedAtSender bool // placement assigns the turn to the sender of the request
}

const listedBytes = keyBytes + 1

// AppendListedTurn appends a turn to a packed list.
func AppendListedTurn(dst []byte, turn ListedTurn) []byte {
	dst = binary.BigEndian.AppendUint64(dst, turn.Key)
	if turn.PlacedAtSender {
		return append(dst, 1)
	}
	return append(dst, 0)
}

// DecodeListedTurns decodes a packed list of turns. It fails with ErrMalformedList.
func DecodeListedTurns(data []byte) ([]ListedTurn, error) {
	if len(data)%listedBytes != 0 {
		return nil, ErrMalformedList
	}
	list := make([]ListedTurn, 0, len(data)/listedBytes)
	for offset := 0; offset < len(data); offset += listedBytes {
		list = append(list, ListedTurn{Key: binary.BigEndian.Uint64(data[offset:]), PlacedAtSender: data[offset+keyBytes] != 0})
	}
	return list, nil
}
