package gossip

import (
	"strings"
	"time"
)

// Kind is the policy for entries whose keys have a prefix. The longest matching prefix applies; an entry that
// matches no kind is rejected.
type Kind struct {
	Prefix string
	// Ephemeral entries are only pushed: they are in no digest, so a lost one is not recovered.
	Ephemeral bool
	// Limit bounds the number of entries of the kind; new keys beyond it are rejected.
	Limit int
	// Lifetime returns how long an entry is kept after its arrival at this node; 0 keeps it forever. It is called
	// once, when the entry arrives. In the second half of its lifetime an entry is in no digest, so that peers at
	// which it expires at different times don't send it back to each other. Nil keeps all entries forever.
	Lifetime func(Entry) time.Duration
	// Validate returns an error for an entry that must not be accepted from a peer. Nil accepts all.
	Validate func(Entry) error
}

// kindState is a kind with the counts of its entries.
type kindState struct {
	Kind
	visible    int // entries that have not expired
	tombstones int // expired entries whose stamps are kept
}

func (k *kindState) lifetime(e Entry) time.Duration {
	if k.Lifetime == nil {
		return 0
	}
	return k.Lifetime(e)
}

func (k *kindState) accepts(e Entry) bool { return k.Validate == nil || k.Validate(e) == nil }

// kindOf returns the kind with the longest prefix of key, or nil.
func kindOf(kinds []*kindState, key string) *kindState {
	var best *kindState
	for _, k := range kinds {
		if strings.HasPrefix(key, k.Prefix) && (best == nil || len(k.Prefix) > len(best.Prefix)) {
			best = k
		}
	}
	return best
}
