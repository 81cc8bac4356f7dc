package controlstate

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

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

// change is one that was asked for: its digest, and the version that it brought (accepted) or builds on (refused).
type change struct {
	id      digest
	version uint64
}

// acceptedChanges are the newest changes that were taken, by rising versions, maxAccepted at most. Each builds on the version
// of the one before it, the first of all on 0, so at most one was ever taken on a base.
type acceptedChanges struct {
	order []change
}

// standing is what is known of a change by its base.
type standing int

const (
	notTaken  standing = iota // for certain: another one was taken on its base, or none
	wasTaken                  // its version is known
	forgotten                 // it builds on a version of which nothing is remembered any more
)

// find says whether a change that builds on a base was taken.
func (c *acceptedChanges) find(id digest, base uint64) (version uint64, s standing) {
	if len(c.order) == 0 {
		return 0, notTaken
	}
	if base < c.order[0].version {
		return c.findOldest(id, base)
	}
	at, found := slices.BinarySearchFunc(c.order, base, func(one change, base uint64) int { return cmp.Compare(one.version, base) })
	next := at + 1 // the change that was taken on base
	if !found || next == len(c.order) || c.order[next].id != id {
		return 0, notTaken
	}
	return c.order[next].version, wasTaken
}

// findOldest looks for a change below all versions that are remembered: it may be the oldest that is, or one before.
func (c *acceptedChanges) findOldest(id digest, base uint64) (version uint64, s standing) {
	switch {
	case c.order[0].id == id:
		return c.order[0].version, wasTaken
	case len(c.order) < formerMaxAccepted:
		return 0, notTaken // none has been dropped
	}
	return 0, forgotten
}

// add keeps a change that was taken just now; the oldest gives way.
func (c *acceptedChanges) add(id digest, version uint64) {
	if len(c.order) == maxAccepted {
		c.order = c.order[1:]
	}
	c.order = append(c.order, change{id: id, version: version})
}

// refusedChanges are changes that were refused because they build on a version that is not reached yet, in the order in which
// they came, maxRefused at most. None is dropped before its version is passed: until then it could still come into force.
type refusedChanges struct {
	order []change
}

func (c *refusedChanges) has(id digest) bool {
	return slices.ContainsFunc(c.order, func(one change) bool { return one.id == id })
}

// add keeps a change; false: there is no room, so it must not be refused.
func (c *refusedChanges) add(id digest, base uint64) bool {
	if len(c.order) >= maxRefused {
		return false
	}
	c.order = append(c.order, change{id: id, version: base})
	return true
}

// pass drops what builds on versions below the one now in force.
func (c *refusedChanges) pass(version uint64) {
	kept := make([]change, 0, len(c.order))
	for _, one := range c.order {
		if one.version >= version {
			kept = append(kept, one)
		}
	}
	c.order = kept
}

// encodeChanges gives all changes, one after the other.
func encodeChanges(changes []change) []byte {
	raw := make([]byte, 0, len(changes)*changeBytes)
	for _, one := range changes {
		raw = append(raw, one.id[:]...)
		raw = binary.BigEndian.AppendUint64(raw, one.version)
	}
	return raw
}

func decodeChanges(raw []byte, most int) ([]change, error) {
	if len(raw)%changeBytes != 0 || len(raw) > most*changeBytes {
		return nil, eris.Errorf("%d bytes are not changes of %d each, %d at most", len(raw), changeBytes, most)
	}
	changes := make([]change, 0, len(raw)/changeBytes)
	for at := 0; at < len(raw); at += changeBytes {
		changes = append(changes, change{
			id:      digest(raw[at : at+digestBytes]),
			version: binary.BigEndian.Uint64(raw[at+digestBytes:]),
		})
	}
	return changes, nil
}

// decodeAccepted reads changes whose versions have to rise up to the one in force.
func decodeAccepted(raw []byte, inForce uint64) (acceptedChanges, error) {
	changes, err := decodeChanges(raw, maxAccepted)
	if err != nil {
		return acceptedChanges{}, err
	}
	for at, one := range changes {
		if at > 0 && one.version <= changes[at-1].version {
			return acceptedChanges{}, eris.Errorf("version %d stands behind %d", one.version, changes[at-1].version)
		}
	}
	if len(changes) > 0 && changes[len(changes)-1].version != inForce {
		return acceptedChanges{}, eris.Errorf("the newest brought version %d, and %d is in force", changes[len(changes)-1].version, inForce)
	}
	return acceptedChanges{order: changes}, nil
}

// decodeRefused reads changes of which each stands there once.
func decodeRefused(raw []byte) (refusedChanges, error) {
	changes, err := decodeChanges(raw, maxRefused)
	if err != nil {
		return refusedChanges{}, err
	}
	seen := make(map[digest]bool, len(changes))
	for at, one := range changes {
		if seen[one.id] {
			return refusedChanges{}, eris.Errorf("the change at byte %d stands there twice", at*changeBytes)
		}
		seen[one.id] = true
	}
	return refusedChanges{order: changes}, nil
}
