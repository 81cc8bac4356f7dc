package journal

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is length, generation, checksum and the record; a frame without a record marks the start of a generation.
// A header is a magic number, sequence, end of the segment before, oldest segment, generation and checksum.
const (
	frameBytes  = 12
	headerBytes = 40
	// headerMagic tells a segment from any other file, and its layout from later ones.
	headerMagic = 0x31676e6972716d65
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum covers where a record is, so that bytes found elsewhere or of another lap are not taken for it.
func checksum(p Position, generation uint32, record []byte) uint32 {
	var place [20]byte
	binary.LittleEndian.PutUint64(place[0:], p.Segment)
	binary.LittleEndian.PutUint32(place[8:], p.Offset)
	binary.LittleEndian.PutUint32(place[12:], p.Length)
	binary.LittleEndian.PutUint32(place[16:], generation)
	return crc32.Update(crc32.Checksum(place[:], castagnoli), castagnoli, record)
}

func appendFrame(to []byte, p Position, generation uint32, record []byte) []byte {
	to = binary.LittleEndian.AppendUint32(to, p.Length)
	to = binary.LittleEndian.AppendUint32(to, generation)
	to = binary.LittleEndian.AppendUint32(to, checksum(p, generation, record))
	return append(to, record...)
}

// frame is the part before a record.
type frame struct {
	length     uint32
	generation uint32
	checksum   uint32
}

func parseFrame(b []byte) frame {
	return frame{
		length:     binary.LittleEndian.Uint32(b[0:]),
		generation: binary.LittleEndian.Uint32(b[4:]),
		checksum:   binary.LittleEndian.Uint32(b[8:]),
	}
}

func appendHeader(to []byte, s *segment, generation uint32) []byte {
	start := len(to)
	to = binary.LittleEndian.AppendUint64(to, headerMagic)
	to = binary.LittleEndian.AppendUint64(to, s.sequence)
	to = binary.LittleEndian.AppendUint64(to, uint64(s.previous))
	to = binary.LittleEndian.AppendUint64(to, s.oldest)
	to = binary.LittleEndian.AppendUint32(to, generation)
	return binary.LittleEndian.AppendUint32(to, crc32.Checksum(to[start:], castagnoli))
}

// header is what a segment's first bytes say.
type header struct {
	sequence   uint64
	previous   int64
	oldest     uint64
	generation uint32
}

// parseHeader gives false for bytes that are no whole header.
func parseHeader(b []byte) (header, bool) {
	sum := binary.LittleEndian.Uint32(b[headerBytes-4:])
	if binary.LittleEndian.Uint64(b) != headerMagic || sum != crc32.Checksum(b[:headerBytes-4], castagnoli) {
		return header{}, false
	}
	return header{
		sequence:   binary.LittleEndian.Uint64(b[8:]),
		previous:   int64(binary.LittleEndian.Uint64(b[16:])),
		oldest:     binary.LittleEndian.Uint64(b[24:]),
		generation: binary.LittleEndian.Uint32(b[32:]),
	}, true
}
