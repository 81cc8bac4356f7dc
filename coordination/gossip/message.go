package gossip

// Version is a key and the stamp of its value, without the value.
type Version struct {
	Key   string
	Stamp Stamp
}

// Message is what peers send each other. Its parts are independent; most messages have one.
type Message struct {
	// Push brings entries: news, or what was asked for.
	Push []Entry
	// Offer names entries that the sender has and that are large or many; who lacks one asks for it.
	Offer []Version
	// Want asks for the entries of keys.
	Want []string
	// Compare opens a comparison. The answer is Equal or Sums.
	Compare *Digest
	// Equal answers Compare: the tables are equal.
	Equal bool
	// BucketSums answers Compare: the sums of all buckets of the answering table.
	BucketSums []uint32
	// Summary answers Sums: the versions in the buckets that differ.
	Summary *Summary
	// Delta answers Summary.
	Delta *Delta
}

// Digest is the sum of a whole table.
type Digest struct {
	Root uint64
}

// Summary lists the versions of whole buckets.
type Summary struct {
	Buckets  []int
	Versions []Version
	// Whole asks for large values too, also where pushes may still bring them.
	Whole bool
	// Partial tells that more buckets differ than the message could hold.
	Partial bool
}

// Delta is the difference to a summary: what its sender lacks, and the keys of what the answering one lacks.
type Delta struct {
	Entries []Entry
	Want    []string
	// Offer names large entries that pushes may still bring.
	Offer []Version
	// Partial tells that more differs than this message or the summary could hold.
	Partial bool
}

// IsZero tells whether a message has no part.
func (m Message) IsZero() bool {
	return len(m.Push) == 0 && len(m.Offer) == 0 && len(m.Want) == 0 && m.Compare == nil && !m.Equal &&
		m.BucketSums == nil && m.Summary == nil && m.Delta == nil
}

// Outgoing is a message and the id of the peer that it goes to.
type Outgoing struct {
	To      string
	Message Message
}

// Effects is what a step asks of the caller, in order.
type Effects struct {
	Messages []Outgoing
	// Changed are entries that are new here.
	Changed []Entry
	// Expired are the keys whose entries have come to the end of their lives.
	Expired []string
	// Compared are the peers all of whose entries are now here too, as of the comparison.
	Compared []string
}
