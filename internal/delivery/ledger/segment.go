package ledger

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// A segment is a file: a head, then records. Numbers of records go up by one, over all segments, so that a lost one
// shows. What a write that failed left behind is followed by another segment, whose first record has the number of the
// one that failed. Only the marks of how far the log is synced have none.
//
//	head:   "emberseg" version(2) number(8) first record(8) synced up to(8) whether it is synced(1) checksum(4)
//	record: magic(1) kind(1) length(4) number(8) checksum(4) payload
//
// Numbers are little-endian; checksums are CRC-32C, a record's over all of it but the checksum itself.
const (
	segMagic    = "emberseg"
	segVersion  = 1
	segHead     = 8 + 2 + 8 + 8 + 8 + 1 + 4
	frameMagic  = 0xE9
	frameHead   = 1 + 1 + 4 + 8 + 4
	mostRecord  = 1 << 20
	mostSegment = 64 << 20 // read at once
	mostResyncs = 4096     // places looked at as a record's begin, behind one that is not whole
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func segName(no uint64) string { return fmt.Sprintf("seg-%010d", no) }

// segNumber reads a segment's number from its file's name.
func segNumber(name string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, "seg-")
	no, err := strconv.ParseUint(digits, 10, 64)
	return no, ok && err == nil && no > 0 && segName(no) == name
}

// head is what a segment says of itself.
type head struct {
	first    uint64 // number of its first record
	power    bool   // what is promised of it was synced
	promised uint64 // all up to here was, when it began
}

func segmentHead(no, first uint64, power bool, promised uint64) []byte {
	b := append(make([]byte, 0, segHead), segMagic...)
	b = binary.LittleEndian.AppendUint16(b, segVersion)
	b = binary.LittleEndian.AppendUint64(b, no)
	b = binary.LittleEndian.AppendUint64(b, first)
	b = binary.LittleEndian.AppendUint64(b, promised)
	if power {
		b = append(b, 1)
	} else {
		b = append(b, 0)
	}
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// errHead says why a segment cannot be read.
type errHead string

func (e errHead) Error() string { return string(e) }

func readHead(raw []byte, no uint64) (h head, err error) {
	switch {
	case len(raw) < segHead:
		return h, errHead("the head is cut short")
	case string(raw[:8]) != segMagic:
		return h, errHead("this is no segment")
	case crc32.Checksum(raw[:segHead-4], castagnoli) != binary.LittleEndian.Uint32(raw[segHead-4:]):
		return h, errHead("the head's checksum is wrong")
	}
	if v := binary.LittleEndian.Uint16(raw[8:]); v != segVersion {
		return h, errHead(fmt.Sprintf("version %d is not known, only %d", v, segVersion))
	}
	if n := binary.LittleEndian.Uint64(raw[10:]); n != no {
		return h, errHead(fmt.Sprintf("it says that it is number %d", n))
	}
	h.first, h.promised, h.power = binary.LittleEndian.Uint64(raw[18:]), binary.LittleEndian.Uint64(raw[26:]), raw[34] == 1
	return h, nil
}

// frame writes a record with its number.
func frame(to []byte, r record, no uint64) []byte {
	at := len(to)
	to = append(to, frameMagic, r.kind)
	to = binary.LittleEndian.AppendUint32(to, uint32(len(r.payload)))
	to = binary.LittleEndian.AppendUint64(to, no)
	sum := crc32.Checksum(to[at:], castagnoli)
	sum = crc32.Update(sum, castagnoli, r.payload)
	to = binary.LittleEndian.AppendUint32(to, sum)
	return append(to, r.payload...)
}

// unframe takes a record from the front; size 0 if none is whole there.
func unframe(raw []byte) (r record, no uint64, size int) {
	if len(raw) < frameHead || raw[0] != frameMagic {
		return r, 0, 0
	}
	n := int(binary.LittleEndian.Uint32(raw[2:]))
	if n > mostRecord || frameHead+n > len(raw) {
		return r, 0, 0
	}
	sum := crc32.Checksum(raw[:frameHead-4], castagnoli)
	sum = crc32.Update(sum, castagnoli, raw[frameHead:frameHead+n])
	if sum != binary.LittleEndian.Uint32(raw[frameHead-4:]) {
		return r, 0, 0
	}
	return record{raw[1], raw[frameHead : frameHead+n]}, binary.LittleEndian.Uint64(raw[6:]), frameHead + n
}

// scan goes through the records of a segment: each that is whole, with its number; where one is not, the next whole one
// behind it is looked for. It gives how many bytes at the end hold none.
func scan(raw []byte, each func(r record, no uint64, size int)) (tail int) {
	end, looks := 0, 0
	for at := 0; at < len(raw); {
		r, no, size := unframe(raw[at:])
		if size == 0 {
			if raw[at] == frameMagic {
				if looks++; looks > mostResyncs {
					break
				}
			}
			at++
			continue
		}
		each(r, no, size)
		at += size
		end = at
	}
	return len(raw) - end
}
