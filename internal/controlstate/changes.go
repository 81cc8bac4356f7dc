package controlstate

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/rotisserie/eris"
)

const (
	// digestBytes is enough that no two changes of a deployment have the same digest by chance.
	digestBytes = 16
	// changeBytes is the size of one coded change: its digest and its version, the most significant byte first.
	changeBytes = digestBytes + 8
)

// digest tells changes apart by their kind, base and body.
type digest [digestBytes]byte

func digestOf(c Command) digest {
	h := sha256.New()
	var head [16]byte
	binary.BigEndian.PutUint64(head[:], uint64(c.Kind))
	binary.BigEndian.PutUint64(head[8:], c.Base)
	h.Write(head[:])
	h.Write(c.Body)
	return digest(h.Sum(nil)[:digestBytes])
}

type change struct {
	id      digest
	version uint64
}

// changes are the last changes of some kind, each with a version, in the order in which they came.
type changes struct {
	most     int
	order    []change
	versions map[digest]uint64
}

func newChanges(most int) changes {
	return changes{most: most, versions: map[digest]uint64{}}
}

func (c *changes) find(id digest) (version uint64, known bool) {
	version, known = c.versions[id]
	return version, known
}

// add keeps a change that is not known yet; the oldest gives way.
func (c *changes) add(id digest, version uint64) {
	if len(c.order) == c.most {
		delete(c.versions, c.order[0].id)
		c.order = c.order[1:]
	}
	c.order = append(c.order, change{id: id, version: version})
	c.versions[id] = version
}

// encode gives all changes, one after the other.
func (c *changes) encode() []byte {
	raw := make([]byte, 0, len(c.order)*changeBytes)
	for _, one := range c.order {
		raw = append(raw, one.id[:]...)
		raw = binary.BigEndian.AppendUint64(raw, one.version)
	}
	return raw
}

func decodeChanges(raw []byte, most int) (changes, error) {
	c := newChanges(most)
	if len(raw)%changeBytes != 0 || len(raw) > most*changeBytes {
		return c, eris.Errorf("%d bytes are not changes of %d each, %d at most", len(raw), changeBytes, most)
	}
	for at := 0; at < len(raw); at += changeBytes {
		id := digest(raw[at : at+digestBytes])
		if _, twice := c.find(id); twice {
			return c, eris.Errorf("the change at byte %d stands there twice", at)
		}
		c.add(id, binary.BigEndian.Uint64(raw[at+digestBytes:]))
	}
	return c, nil
}
