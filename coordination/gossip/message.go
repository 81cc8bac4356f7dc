package gossip

// Version is a key and its stamp, without the value.
type Version struct {
	Key   string
	Stamp Stamp
}

// Message is a message between peers. Its fields are independent; most messages set only one.
type Message struct {
	// Push holds entries: new ones, or the answer to Want.
	Push []Entry
	// Offer lists entries that are too large or too many to push; a receiver that lacks one requests it by Want.
	Offer []Version
	// Want requests the entries of these keys.
	Want []string
	// Compare starts a comparison of tables. The answer is Equal or BucketSums.
	Compare *Digest
	// Equal answers Compare when the tables are equal.
	Equal bool
	// BucketSums answers Compare when the tables differ: the folded sums of all buckets of the responder.
	BucketSums []uint32
	// Summary answers BucketSums: the versions in the buckets that differ.
	Summary *Summary
	// Delta answers Summary.
	Delta *Delta
}

// Digest is the digest of a whole table.
type Digest struct {
	Root uint64
}

// Summary lists the versions of whole buckets.
type Summary struct {
	Buckets  []int
	Versions []Version
	// Whole requests large values even if pushes are likely to bring them.
	Whole bool
	// Partial reports that more buckets differ than fit into the message.
	Partial bool
}

// Delta is the difference to a summary: the entries that the sender of the summary lacks, and the keys of those
// that the responder lacks.
type Delta struct {
	Entries []Entry
	Want    []string
	// Offer lists large entries that pushes are likely to bring.
	Offer []Version
	// Partial reports that more entries differ than fit into this message or the summary.
	Partial bool
}

// IsZero reports whether no field of a message is set.
func (m Message) IsZero() bool {
	return len(m.Push) == 0 && len(m.Offer) == 0 && len(m.Want) == 0 && m.Compare == nil && !m.Equal &&
		m.BucketSums == nil && m.Summary == nil && m.Delta == nil
}

// Outgoing is a message with the id of its recipient.
type Outgoing struct {
	To      string
	Message Message
}

// Effects are the results of calls that the caller has to carry out, in order.
type Effects struct {
	Messages []Outgoing
	// Changed holds the entries that are new at this node.
	Changed []Entry
	// Expired holds the keys whose entries have reached the end of their lifetimes.
	Expired []string
	// Compared holds the peers with which a comparison is complete: this node now has all the entries that they
	// had at the time of the comparison.
	Compared []string
}
