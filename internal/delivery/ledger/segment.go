package ledger

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// A segment is a file with a header and records. The sequence numbers of records are consecutive across segments, so
// that a missing record is detected. After a failed write a new segment is started, and its first record reuses the
// number of the failed one. Only sync marks have no sequence number.
//
//	header: "emberseg" version(2) number(8) first record(8) synced up to(8) power loss safe(1) checksum(4)
//	record: magic(1) kind(1) length(4) number(8) checksum(4) payload
//
// Numbers are little-endian; checksums are CRC-32C, that of a record over all of it except the checksum.
const (
	segmentMagic        = "emberseg"
	segmentVersion      = 1
	segmentHeaderBytes  = 8 + 2 + 8 + 8 + 8 + 1 + 4
	frameMagic          = 0xE9
	frameHeaderBytes    = 1 + 1 + 4 + 8 + 4
	maxPayloadBytes     = 1 << 20
	maxSegmentFileBytes = 64 << 20 // read at once
	maxResyncProbes     = 4096     // positions tried as the start of a record after an incomplete one
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func segmentName(number uint64) string { return fmt.Sprintf("seg-%010d", number) }

// parseSegmentName parses the segment number in a file name.
func parseSegmentName(name string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, "seg-")
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, ok && err == nil && number > 0 && segmentName(number) == name
}

// segmentHeader is the content of a segment's header.
type segmentHeader struct {
	firstSeq      uint64 // sequence number of its first record
	powerLossSafe bool   // its records are synced before they are acknowledged
	syncedSeq     uint64 // every record up to this number was synced when the segment was created
}

func encodeSegmentHeader(number, firstSeq uint64, powerLossSafe bool, syncedSeq uint64) []byte {
	b := append(make([]byte, 0, segmentHeaderBytes), segmentMagic...)
	b = binary.LittleEndian.AppendUint16(b, segmentVersion)
	b = binary.LittleEndian.AppendUint64(b, number)
	b = binary.LittleEndian.AppendUint64(b, firstSeq)
	b = binary.LittleEndian.AppendUint64(b, syncedSeq)
	if powerLossSafe {
		b = append(b, 1)
	} else {
		b = append(b, 0)
	}
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// headerError describes why a segment header cannot be read.
type headerError string

func (e headerError) Error() string { return string(e) }

func parseSegmentHeader(raw []byte, number uint64) (h segmentHeader, err error) {
	switch {
	case len(raw) < segmentHeaderBytes:
		return h, headerError("header is truncated")
	case string(raw[:8]) != segmentMagic:
		return h, headerError("not a segment file")
	case crc32.Checksum(raw[:segmentHeaderBytes-4], castagnoli) != binary.LittleEndian.Uint32(raw[segmentHeaderBytes-4:]):
		return h, headerError("header checksum mismatch")
	}
	if v := binary.LittleEndian.Uint16(raw[8:]); v != segmentVersion {
		return h, headerError(fmt.Sprintf("unsupported version %d; only %d is supported", v, segmentVersion))
	}
	if n := binary.LittleEndian.Uint64(raw[10:]); n != number {
		return h, headerError(fmt.Sprintf("header has segment number %d", n))
	}
	h.firstSeq, h.syncedSeq, h.powerLossSafe = binary.LittleEndian.Uint64(raw[18:]), binary.LittleEndian.Uint64(raw[26:]), raw[34] == 1
	return h, nil
}

// appendFrame appends an encoded record with its sequence number.
func appendFrame(dst []byte, r record, seq uint64) []byte {
	start := len(dst)
	dst = append(dst, frameMagic, r.kind)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(r.payload)))
	dst = binary.LittleEndian.AppendUint64(dst, seq)
	sum := crc32.Checksum(dst[start:], castagnoli)
	sum = crc32.Update(sum, castagnoli, r.payload)
	dst = binary.LittleEndian.AppendUint32(dst, sum)
	return append(dst, r.payload...)
}

// parseFrame parses the record at the front; size 0 if there is no complete one.
func parseFrame(raw []byte) (r record, seq uint64, size int) {
	if len(raw) < frameHeaderBytes || raw[0] != frameMagic {
		return r, 0, 0
	}
	length := int(binary.LittleEndian.Uint32(raw[2:]))
	if length > maxPayloadBytes || frameHeaderBytes+length > len(raw) {
		return r, 0, 0
	}
	sum := crc32.Checksum(raw[:frameHeaderBytes-4], castagnoli)
	sum = crc32.Update(sum, castagnoli, raw[frameHeaderBytes:frameHeaderBytes+length])
	if sum != binary.LittleEndian.Uint32(raw[frameHeaderBytes-4:]) {
		return r, 0, 0
	}
	return record{raw[1], raw[frameHeaderBytes : frameHeaderBytes+length]}, binary.LittleEndian.Uint64(raw[6:]), frameHeaderBytes + length
}

// scanRecords calls each for every complete record of a segment; after an incomplete one it searches for the next
// complete one. It returns the number of bytes after the last complete record.
func scanRecords(raw []byte, each func(r record, seq uint64, size int)) (tail int) {
	end, probes := 0, 0
	for at := 0; at < len(raw); {
		r, seq, size := parseFrame(raw[at:])
		if size == 0 {
			if raw[at] == frameMagic {
				if probes++; probes > maxResyncProbes {
					break
				}
			}
			at++
			continue
		}
		each(r, seq, size)
		at += size
		end = at
	}
	return len(raw) - end
}
