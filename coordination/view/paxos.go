package view

// Ballot orders the attempts to decide one epoch. The zero Ballot precedes all others.
type Ballot struct {
	Round    int64
	Proposer MemberID
}

// Less reports whether b precedes other.
func (b Ballot) Less(other Ballot) bool {
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	return b.Proposer < other.Proposer
}

// Acceptor is the Paxos acceptor state of one member for the view that follows its epoch. It must be on disk before it
// is sent to anyone.
type Acceptor[V any] struct {
	Promised Ballot
	Accepted Ballot // zero: no value accepted
	Value    V      // accepted in ballot Accepted
}

// Sealed reports whether the member has made a promise; from then on it takes no more entries of its epoch.
func (a *Acceptor[V]) Sealed() bool { return a.Promised != Ballot{} }

// Prepare promises to ignore ballots earlier than b. It returns false if a later ballot has been promised; preparing the
// same ballot again succeeds.
func (a *Acceptor[V]) Prepare(b Ballot) bool {
	if b.Less(a.Promised) {
		return false
	}
	a.Promised = b
	return true
}

// Accept accepts a value; it returns false if a later ballot has been promised.
func (a *Acceptor[V]) Accept(b Ballot, value V) bool {
	if b.Less(a.Promised) {
		return false
	}
	a.Promised, a.Accepted, a.Value = b, b, value
	return true
}

// Proposer runs one ballot.
type Proposer[V any] struct {
	Ballot          Ballot
	majority        int
	promised        map[MemberID]bool
	accepted        map[MemberID]bool
	highestAccepted Ballot // highest accepted ballot among the promises; value belongs to it
	value           V
	proposed        bool
}

// NewProposer starts a ballot that must never have been used before.
func NewProposer[V any](b Ballot, majority int) *Proposer[V] {
	return &Proposer[V]{Ballot: b, majority: majority, promised: map[MemberID]bool{}, accepted: map[MemberID]bool{}}
}

// RecordPromise records a member's promise and the value it had accepted before. It returns true once, when a majority has
// promised.
func (p *Proposer[V]) RecordPromise(from MemberID, accepted Ballot, value V) bool {
	if p.proposed || p.promised[from] {
		return false
	}
	p.promised[from] = true
	if p.highestAccepted.Less(accepted) {
		p.highestAccepted, p.value = accepted, value
	}
	return len(p.promised) == p.majority
}

// HasPromised reports whether a member's promise was recorded.
func (p *Proposer[V]) HasPromised(id MemberID) bool { return p.promised[id] }

// HasAccepted reports whether a member has accepted the value.
func (p *Proposer[V]) HasAccepted(id MemberID) bool { return p.accepted[id] }

// RequiredValue returns the value that the promises require to be proposed, if any, since it may already be decided.
func (p *Proposer[V]) RequiredValue() (V, bool) {
	return p.value, p.highestAccepted != Ballot{}
}

// Propose sets the value of this ballot. It is called once, after a majority has promised.
func (p *Proposer[V]) Propose(value V) {
	p.value, p.proposed = value, true
}

// HasProposed reports whether the value of this ballot is set.
func (p *Proposer[V]) HasProposed() bool { return p.proposed }

// Value returns the value set by Propose.
func (p *Proposer[V]) Value() V { return p.value }

// RecordAccepted records that a member has accepted the value. It returns true once, when the value is decided.
func (p *Proposer[V]) RecordAccepted(from MemberID) bool {
	if !p.proposed || p.accepted[from] {
		return false
	}
	p.accepted[from] = true
	return len(p.accepted) == p.majority
}
