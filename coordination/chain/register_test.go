package chain_test

import (
	"encoding/binary"
	"slices"

	"github.com/rotisserie/eris"
)

// register is a versioned register: version v holds the v-th value. A command adds a value on top of a base version.
type register struct{ values []uint64 }

func encodeCommand(base, value uint64) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, base), value)
}

// Apply returns the version after the command, and whether the command's value is the one that follows its base.
func (r *register) Apply(command []byte) ([]byte, bool) {
	base, value := binary.BigEndian.Uint64(command), binary.BigEndian.Uint64(command[8:])
	current := uint64(len(r.values))
	if base == current {
		r.values = append(r.values, value)
		return encodeOutcome(current+1, true), true
	}
	return encodeOutcome(current, base < current && r.values[base] == value), false
}

func encodeOutcome(version uint64, taken bool) []byte {
	b := binary.BigEndian.AppendUint64(nil, version)
	if taken {
		return append(b, 1)
	}
	return append(b, 0)
}

func (r *register) Snapshot() []byte {
	b := append(make([]byte, 0, 1+8*len(r.values)), 'v')
	for _, v := range r.values {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	return b
}

func (r *register) Restore(snapshot []byte) error {
	values, err := parseSnapshot(snapshot)
	r.values = values
	return err
}

func parseSnapshot(snapshot []byte) ([]uint64, error) {
	if len(snapshot)%8 != 1 || snapshot[0] != 'v' {
		return nil, eris.Errorf("invalid snapshot of %d bytes", len(snapshot))
	}
	values := make([]uint64, 0, len(snapshot)/8)
	for part := range slices.Chunk(snapshot[1:], 8) {
		values = append(values, binary.BigEndian.Uint64(part))
	}
	return values, nil
}
