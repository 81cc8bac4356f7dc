package journal

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is length, generation, checksum and the record; a frame with an empty record marks the start of a generation.
// A segment header is magic number, sequence, end of the preceding segment, oldest live segment, generation and checksum.
const (
	frameHeaderBytes   = 12
	segmentHeaderBytes = 40
	// segmentMagic identifies a segment file and the version of its layout.
	segmentMagic = 0x31676e6972716d65
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum also covers the location of a record, so that bytes at another location or of another lap do not match.
func checksum(p Position, generation uint32, record []byte) uint32 {
	var location [20]byte
	binary.LittleEndian.PutUint64(location[0:], p.Segment)
	binary.LittleEndian.PutUint32(location[8:], p.Offset)
	binary.LittleEndian.PutUint32(location[12:], p.Length)
	binary.LittleEndian.PutUint32(location[16:], generation)
	return crc32.Update(crc32.Checksum(location[:], castagnoli), castagnoli, record)
}

func appendFrame(to []byte, p Position, generation uint32, record []byte) []byte {
	to = binary.LittleEndian.AppendUint32(to, p.Length)
	to = binary.LittleEndian.AppendUint32(to, generation)
	to = binary.LittleEndian.AppendUint32(to, checksum(p, generation, record))
	return append(to, record...)
}

// frameHeader precedes a record.
type frameHeader struct {
	length     uint32
	generation uint32
	checksum   uint32
}

func parseFrameHeader(b []byte) frameHeader {
	return frameHeader{
		length:     binary.LittleEndian.Uint32(b[0:]),
		generation: binary.LittleEndian.Uint32(b[4:]),
		checksum:   binary.LittleEndian.Uint32(b[8:]),
	}
}

func appendSegmentHeader(to []byte, s *segment, generation uint32) []byte {
	start := len(to)
	to = binary.LittleEndian.AppendUint64(to, segmentMagic)
	to = binary.LittleEndian.AppendUint64(to, s.sequence)
	to = binary.LittleEndian.AppendUint64(to, uint64(s.previousEnd))
	to = binary.LittleEndian.AppendUint64(to, s.oldestSequence)
	to = binary.LittleEndian.AppendUint32(to, generation)
	return binary.LittleEndian.AppendUint32(to, crc32.Checksum(to[start:], castagnoli))
}

// segmentHeader is the decoded header of a segment.
type segmentHeader struct {
	sequence       uint64
	previousEnd    int64
	oldestSequence uint64
	generation     uint32
}

// parseSegmentHeader returns false if b is not a valid header.
func parseSegmentHeader(b []byte) (segmentHeader, bool) {
	storedChecksum := binary.LittleEndian.Uint32(b[segmentHeaderBytes-4:])
	if binary.LittleEndian.Uint64(b) != segmentMagic || storedChecksum != crc32.Checksum(b[:segmentHeaderBytes-4], castagnoli) {
		return segmentHeader{}, false
	}
	return segmentHeader{
		sequence:       binary.LittleEndian.Uint64(b[8:]),
		previousEnd:    int64(binary.LittleEndian.Uint64(b[16:])),
		oldestSequence: binary.LittleEndian.Uint64(b[24:]),
		generation:     binary.LittleEndian.Uint32(b[32:]),
	}, true
}
