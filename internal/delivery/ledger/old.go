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
	legacyName        = "ledger"
	legacyTempName    = "ledger.new" // one that was not finished counts for nothing
	legacyHeaderBytes = 8
)

// replayLegacy takes from the front what is whole. Behind it may stand a record that the process's death cut short, of torn
// bytes, which was promised to no one. Anything else there is bad: records may be lost in it, and texts that are held by
// then may have run since.
func (s *state) replayLegacy(raw []byte) (torn int64, bad string) {
	at := 0
	for at < len(raw) {
		payload, size := parseLegacyFrame(raw[at:])
		if size == 0 || !s.apply(payload[0], payload[1:]) {
			break
		}
		at += size
	}
	rest := raw[at:]
	if isTornLegacyTail(rest) {
		return int64(len(rest)), ""
	}
	s.assumeAllMayHaveRun()
	return 0, fmt.Sprintf("%d bytes from byte %d on are no records", len(rest), at)
}

// parseLegacyFrame takes a record from the front; size 0 if none is whole there.
func parseLegacyFrame(raw []byte) (payload []byte, size int) {
	if len(raw) < legacyHeaderBytes {
		return nil, 0
	}
	length, sum := binary.LittleEndian.Uint32(raw), binary.LittleEndian.Uint32(raw[4:])
	if length == 0 || length > maxPayloadBytes || int64(len(raw)) < legacyHeaderBytes+int64(length) {
		return nil, 0
	}
	payload = raw[legacyHeaderBytes : legacyHeaderBytes+length]
	if crc32.ChecksumIEEE(payload) != sum {
		return nil, 0
	}
	return payload, legacyHeaderBytes + int(length)
}

// isTornLegacyTail says whether what stands behind the last whole record is the begin of one more, or zeros that a write left
// which never came. A length that was changed may seem to go beyond the end, so nothing whole may stand further on.
func isTornLegacyTail(rest []byte) bool {
	if len(bytes.Trim(rest, "\x00")) == 0 || len(rest) < legacyHeaderBytes {
		return true
	}
	length := binary.LittleEndian.Uint32(rest)
	if length == 0 || length > maxPayloadBytes || legacyHeaderBytes+int64(length) <= int64(len(rest)) {
		return false
	}
	if len(rest) > legacyHeaderBytes && !isKnownKind(rest[legacyHeaderBytes]) {
		return false
	}
	return !hasLegacyFrameAfter(rest)
}

// hasLegacyFrameAfter looks for a whole record behind the first byte, at a bounded number of places that may be one's begin.
func hasLegacyFrameAfter(rest []byte) bool {
	probes := 0
	for at := 1; at+legacyHeaderBytes < len(rest) && probes < maxResyncProbes; at++ {
		if !isKnownKind(rest[at+legacyHeaderBytes]) {
			continue
		}
		probes++
		if _, size := parseLegacyFrame(rest[at:]); size > 0 {
			return true
		}
	}
	return false
}
