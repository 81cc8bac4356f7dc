package ledger

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// The legacy format: one file of records, each with length and checksum and the same payload as the current format
// for texts and notices. It is read once and migrated.

const (
	legacyName        = "ledger"
	legacyTempName    = "ledger.new" // unfinished; ignored
	legacyHeaderBytes = 8
)

// replayLegacy applies the complete records at the front. They may be followed by torn bytes of a record that the end of
// the process truncated; its write was never acknowledged. Anything else is damage: records may be lost, and the texts
// held so far may have run since.
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

// parseLegacyFrame parses the record at the front; size 0 if there is no complete one.
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

// isTornLegacyTail reports whether the bytes after the last complete record are the start of another one, or zeros of a
// write that was not completed. A corrupt length may point past the end of the file, so no complete record may
// follow.
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

// hasLegacyFrameAfter searches for a complete record after the first byte, at a limited number of possible starts.
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
