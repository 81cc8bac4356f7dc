package gossip

import (
	"strings"
	"time"
)

// Kind says how the entries whose keys begin with a prefix are kept. The longest prefix decides; an entry of
// no kind is dropped.
type Kind struct {
	Prefix string
	// Ephemeral entries are pushed only: no digest holds them, and a lost one stays lost.
	Ephemeral bool
	// Limit bounds the entries of the kind; new keys beyond it are dropped.
	Limit int
	// Lifetime tells how long an entry is kept after it came here; 0 keeps it for ever. It is asked once, when
	// the entry comes. In the second half of its life an entry is in no digest, so that peers that drop it at
	// different moments don't give it back to each other. Nil keeps all for ever.
	Lifetime func(Entry) time.Duration
	// Validate refuses an entry that may not be taken from a peer. Nil takes all.
	Validate func(Entry) error
}

// kindState is a kind and how many entries of it there are.
type kindState struct {
	Kind
	count  int // visible entries
	hidden int // dropped entries whose stamps are still defended
}

func (k *kindState) lifetime(e Entry) time.Duration {
	if k.Lifetime == nil {
		return 0
	}
	return k.Lifetime(e)
}

func (k *kindState) accepts(e Entry) bool { return k.Validate == nil || k.Validate(e) == nil }

// kindOf finds the kind with the longest prefix of key, or nil.
func kindOf(kinds []*kindState, key string) *kindState {
	var best *kindState
	for _, k := range kinds {
		if strings.HasPrefix(key, k.Prefix) && (best == nil || len(k.Prefix) > len(best.Prefix)) {
			best = k
		}
	}
	return best
}
