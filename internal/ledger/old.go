package ledger

import (
	"encoding/binary"
	"hash/crc32"
)

// The form of before: one file of records, each with its length and checksum, its text and notices as today's records
// have them. It is read once and carried over.

const (
	oldName = "ledger"
	oldNew  = "ledger.new" // one that was not finished counts for nothing
	oldHead = 8
)

// replayOld takes from the front what is whole.
func (s *state) replayOld(raw []byte) {
	for len(raw) >= oldHead {
		n, sum := binary.LittleEndian.Uint32(raw), binary.LittleEndian.Uint32(raw[4:])
		if n == 0 || n > mostRecord || int64(len(raw)) < oldHead+int64(n) {
			return
		}
		payload := raw[oldHead : oldHead+n]
		if crc32.ChecksumIEEE(payload) != sum || !s.apply(payload[0], payload[1:]) {
			return
		}
		raw = raw[oldHead+n:]
	}
}
