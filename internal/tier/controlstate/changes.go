package controlstate

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/rotisserie/eris"
)

const (
	// digestBytes is large enough that the digests of two changes of a deployment do not collide by chance.
	digestBytes = 16
	// changeBytes is the size of one encoded change: its digest and its version in big-endian order.
	changeBytes = digestBytes + 8
)

// digest identifies a change by its kind, base and body.
type digest [digestBytes]byte

func digestOf(c Command) digest {
	h := sha256.New()
	var header [16]byte
	binary.BigEndian.PutUint64(header[:], uint64(c.Kind))
	binary.BigEndian.PutUint64(header[8:], c.Base)
	h.Write(header[:])
	h.Write(c.Body)
	return digest(h.Sum(nil)[:digestBytes])
}

// change is a requested change of the configuration: its digest, and the version that it led to (accepted) or builds on
// (refused).
type change struct {
	id      digest
	version uint64
}

// acceptedChanges holds the newest accepted changes by ascending version, maxAccepted at most. Each change builds on the
// version of the one before it, and the first ever on 0, so at most one was accepted on a base.
type acceptedChanges struct {
	changes []change
}

// acceptance says whether a change was accepted, as far as that is known.
type acceptance int

const (
	notAccepted       acceptance = iota // another change or none was accepted on its base
	wasAccepted                         // the version that it led to is known
	acceptanceUnknown                   // the changes accepted on versions this old were dropped
)

// find reports whether a change that builds on base was accepted, and the version that it led to.
func (c *acceptedChanges) find(id digest, base uint64) (version uint64, result acceptance) {
	if len(c.changes) == 0 {
		return 0, notAccepted
	}
	if base < c.changes[0].version {
		return c.findOldest(id, base)
	}
	index, found := slices.BinarySearchFunc(c.changes, base,
		func(candidate change, base uint64) int { return cmp.Compare(candidate.version, base) })
	next := index + 1 // the change that was accepted on base
	if !found || next == len(c.changes) || c.changes[next].id != id {
		return 0, notAccepted
	}
	return c.changes[next].version, wasAccepted
}

// findOldest is find for a base below all kept versions: the change is either the oldest kept one or an older one.
func (c *acceptedChanges) findOldest(id digest, base uint64) (version uint64, result acceptance) {
	switch {
	case c.changes[0].id == id:
		return c.changes[0].version, wasAccepted
	case len(c.changes) < formerMaxAccepted:
		return 0, notAccepted // no change was dropped
	}
	return 0, acceptanceUnknown
}

// add appends a newly accepted change, and drops the oldest one if there are maxAccepted.
func (c *acceptedChanges) add(id digest, version uint64) {
	if len(c.changes) == maxAccepted {
		c.changes = c.changes[1:]
	}
	c.changes = append(c.changes, change{id: id, version: version})
}

// refusedChanges holds the changes that were refused because their base version is not reached yet, in order of arrival,
// maxRefused at most. A change is dropped only once the version in force is above its base: until then a duplicate of it
// could still come into force.
type refusedChanges struct {
	changes []change
}

func (c *refusedChanges) contains(id digest) bool {
	return slices.ContainsFunc(c.changes, func(candidate change) bool { return candidate.id == id })
}

// add records a refused change. It returns false if there is no room, in which case the change must not be refused.
func (c *refusedChanges) add(id digest, base uint64) bool {
	if len(c.changes) >= maxRefused {
		return false
	}
	c.changes = append(c.changes, change{id: id, version: base})
	return true
}

// dropBelow drops the changes whose base is below version, the one now in force.
func (c *refusedChanges) dropBelow(version uint64) {
	kept := make([]change, 0, len(c.changes))
	for _, candidate := range c.changes {
		if candidate.version >= version {
			kept = append(kept, candidate)
		}
	}
	c.changes = kept
}

// encodeChanges concatenates the encoded changes.
func encodeChanges(changes []change) []byte {
	raw := make([]byte, 0, len(changes)*changeBytes)
	for _, c := range changes {
		raw = append(raw, c.id[:]...)
		raw = binary.BigEndian.AppendUint64(raw, c.version)
	}
	return raw
}

func decodeChanges(raw []byte, maxCount int) ([]change, error) {
	if len(raw)%changeBytes != 0 || len(raw) > maxCount*changeBytes {
		return nil, eris.Errorf("%d bytes are not a list of changes of %d bytes each, %d at most", len(raw), changeBytes, maxCount)
	}
	changes := make([]change, 0, len(raw)/changeBytes)
	for offset := 0; offset < len(raw); offset += changeBytes {
		changes = append(changes, change{
			id:      digest(raw[offset : offset+digestBytes]),
			version: binary.BigEndian.Uint64(raw[offset+digestBytes:]),
		})
	}
	return changes, nil
}

// decodeAccepted decodes accepted changes. Their versions have to be strictly ascending and end at the one in force.
func decodeAccepted(raw []byte, inForce uint64) (acceptedChanges, error) {
	changes, err := decodeChanges(raw, maxAccepted)
	if err != nil {
		return acceptedChanges{}, err
	}
	for i, c := range changes {
		if i > 0 && c.version <= changes[i-1].version {
			return acceptedChanges{}, eris.Errorf("version %d follows version %d", c.version, changes[i-1].version)
		}
	}
	if len(changes) > 0 && changes[len(changes)-1].version != inForce {
		return acceptedChanges{}, eris.Errorf("newest change has version %d, but version %d is in force",
			changes[len(changes)-1].version, inForce)
	}
	return acceptedChanges{changes: changes}, nil
}

// decodeRefused decodes refused changes, and rejects duplicates.
func decodeRefused(raw []byte) (refusedChanges, error) {
	changes, err := decodeChanges(raw, maxRefused)
	if err != nil {
		return refusedChanges{}, err
	}
	seen := make(map[digest]bool, len(changes))
	for i, c := range changes {
		if seen[c.id] {
			return refusedChanges{}, eris.Errorf("duplicate change at byte %d", i*changeBytes)
		}
		seen[c.id] = true
	}
	return refusedChanges{changes: changes}, nil
}
