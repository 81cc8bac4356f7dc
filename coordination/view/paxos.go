package view

// Ballot orders the attempts to decide one epoch. The zero Ballot is before all.
type Ballot struct {
	Round    int64
	Proposer MemberID
}

// Less says whether a ballot is before another.
func (b Ballot) Less(other Ballot) bool {
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	return b.Proposer < other.Proposer
}

// Acceptor is one member's vote on what follows its epoch. It has to be on the disk before it is told to anyone.
type Acceptor[V any] struct {
	Promised Ballot
	Accepted Ballot // zero: nothing accepted
	Value    V      // of Accepted
}

// Sealed says that a promise was given: the member takes no more writes of its epoch.
func (a *Acceptor[V]) Sealed() bool { return a.Promised != Ballot{} }

// Prepare promises to take nothing of an earlier ballot; false: a later one has been promised. The same ballot is
// promised again.
func (a *Acceptor[V]) Prepare(b Ballot) bool {
	if b.Less(a.Promised) {
		return false
	}
	a.Promised = b
	return true
}

// Accept takes a value; false: a later ballot has been promised.
func (a *Acceptor[V]) Accept(b Ballot, value V) bool {
	if b.Less(a.Promised) {
		return false
	}
	a.Promised, a.Accepted, a.Value = b, b, value
	return true
}

// Proposer is one attempt to have a value decided.
type Proposer[V any] struct {
	Ballot   Ballot
	majority int
	promised map[MemberID]bool
	accepted map[MemberID]bool
	newest   Ballot // the latest ballot of which a promise told a value
	value    V
	begun    bool
}

// NewProposer begins an attempt under a ballot that was never used before.
func NewProposer[V any](b Ballot, majority int) *Proposer[V] {
	return &Proposer[V]{Ballot: b, majority: majority, promised: map[MemberID]bool{}, accepted: map[MemberID]bool{}}
}

// RecordPromise notes a member's promise and what it had accepted before. It is true once, when a majority has promised.
func (p *Proposer[V]) RecordPromise(from MemberID, accepted Ballot, value V) bool {
	if p.begun || p.promised[from] {
		return false
	}
	p.promised[from] = true
	if p.newest.Less(accepted) {
		p.newest, p.value = accepted, value
	}
	return len(p.promised) == p.majority
}

// HasPromised says whether a member's promise has come.
func (p *Proposer[V]) HasPromised(id MemberID) bool { return p.promised[id] }

// HasAccepted says whether a member has accepted the value.
func (p *Proposer[V]) HasAccepted(id MemberID) bool { return p.accepted[id] }

// RequiredValue is the value that the promises demand, if any: it may have been decided already.
func (p *Proposer[V]) RequiredValue() (V, bool) {
	return p.value, p.newest != Ballot{}
}

// Propose fixes the value of this ballot; called once, after a majority has promised.
func (p *Proposer[V]) Propose(value V) {
	p.value, p.begun = value, true
}

// HasProposed says whether the value is fixed.
func (p *Proposer[V]) HasProposed() bool { return p.begun }

// Value is what was fixed by Begin.
func (p *Proposer[V]) Value() V { return p.value }

// RecordAccepted notes that a member has accepted. It is true once, when the value is decided.
func (p *Proposer[V]) RecordAccepted(from MemberID) bool {
	if !p.begun || p.accepted[from] {
		return false
	}
	p.accepted[from] = true
	return len(p.accepted) == p.majority
}
