package ledger

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// The form of before: one file of records, each with its length and checksum, its text and notices as today's records
// have them. It is read once and carried over.

const (
	oldName = "ledger"
	oldNew  = "ledger.new" // one that was not finished counts for nothing
	oldHead = 8
)

// replayOld takes from the front what is whole. Behind it may stand a record that the process's death cut short, of torn
// bytes, which was promised to no one. Anything else there is bad: records may be lost in it, and texts that are held by
// then may have run since.
func (s *state) replayOld(raw []byte) (torn int64, bad string) {
	at := 0
	for at < len(raw) {
		payload, size := unframeOld(raw[at:])
		if size == 0 || !s.apply(payload[0], payload[1:]) {
			break
		}
		at += size
	}
	rest := raw[at:]
	if cutShortOld(rest) {
		return int64(len(rest)), ""
	}
	s.doubt()
	return 0, fmt.Sprintf("%d bytes from byte %d on are no records", len(rest), at)
}

// unframeOld takes a record from the front; size 0 if none is whole there.
func unframeOld(raw []byte) (payload []byte, size int) {
	if len(raw) < oldHead {
		return nil, 0
	}
	n, sum := binary.LittleEndian.Uint32(raw), binary.LittleEndian.Uint32(raw[4:])
	if n == 0 || n > mostRecord || int64(len(raw)) < oldHead+int64(n) {
		return nil, 0
	}
	payload = raw[oldHead : oldHead+n]
	if crc32.ChecksumIEEE(payload) != sum {
		return nil, 0
	}
	return payload, oldHead + int(n)
}

// cutShortOld says whether what stands behind the last whole record is the begin of one more, or zeros that a write left
// which never came. A length that was changed may seem to go beyond the end, so nothing whole may stand further on.
func cutShortOld(rest []byte) bool {
	if len(bytes.Trim(rest, "\x00")) == 0 || len(rest) < oldHead {
		return true
	}
	n := binary.LittleEndian.Uint32(rest)
	if n == 0 || n > mostRecord || oldHead+int64(n) <= int64(len(rest)) {
		return false
	}
	if len(rest) > oldHead && !knownKind(rest[oldHead]) {
		return false
	}
	return !wholeBehindOld(rest)
}

// wholeBehindOld looks for a whole record behind the first byte, at a bounded number of places that may be one's begin.
func wholeBehindOld(rest []byte) bool {
	looks := 0
	for at := 1; at+oldHead < len(rest) && looks < mostResyncs; at++ {
		if !knownKind(rest[at+oldHead]) {
			continue
		}
		looks++
		if _, size := unframeOld(rest[at:]); size > 0 {
			return true
		}
	}
	return false
}
