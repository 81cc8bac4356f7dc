package chain

import (
	"emberquay/coordination/view"
)

// Peer is one end of a message. Without an ID it is whoever is at the address.
type Peer struct {
	ID      view.MemberID
	Address string
}

// Envelope is a message on its way.
type Envelope struct {
	From, To Peer
	Body     Message
}

// Message is one of the types below. All may be lost, come twice, or in another order.
type Message interface{ message() }

// Heartbeat is sent by each member to each other.
type Heartbeat struct {
	Epoch     int64
	Committed int64
	Heard     []view.MemberID // lately
}

// ViewNotice tells of a decided view without its state.
type ViewNotice struct {
	View      view.View
	Committed int64
}

// ViewRequest wants a view later than an epoch: with its state if the sender is a member of it.
type ViewRequest struct{ Epoch int64 }

// InstallView gives a decided view, and a state of it.
type InstallView struct {
	View      view.View
	State     State
	Committed int64
}

// JoinRequest asks to become a member.
type JoinRequest struct {
	Member view.Member
	Heard  []view.MemberID // of the members
}

// Prepare asks for a promise.
type Prepare struct {
	Epoch    int64
	Ballot   view.Ballot
	Sequence int64 // of the proposer, whose state is not needed again
}

// Promise seals the epoch at its sender.
type Promise struct {
	Epoch    int64
	Ballot   view.Ballot
	Accepted view.Ballot
	Value    Proposal // of Accepted
	Sequence int64    // of the sender
	State    State    // Full if nothing was accepted and the proposer's is older
}

// BallotRejected says that a later ballot was promised.
type BallotRejected struct {
	Epoch    int64
	Ballot   view.Ballot
	Promised view.Ballot
}

// Accept asks to accept a proposal.
type Accept struct {
	Epoch  int64
	Ballot view.Ballot
	Value  Proposal
}

// Accepted says that the proposal of a ballot was accepted.
type Accepted struct {
	Epoch  int64
	Ballot view.Ballot
}

// Append passes an entry down the chain.
type Append struct {
	Epoch     int64
	Entry     Entry
	Committed int64
}

// Ack tells up the chain what is committed.
type Ack struct {
	Epoch    int64
	Sequence int64
}

// ConfirmEpoch asks whether an epoch is open.
type ConfirmEpoch struct {
	Epoch int64
	Nonce int64
}

// EpochConfirmed says that the epoch was not sealed at the sender when the question came.
type EpochConfirmed struct {
	Epoch int64
	Nonce int64
}

// Propose brings a command to the head.
type Propose struct {
	ID      CommandID
	After   int64 // if the command was carried out, then by a later entry than this
	Command []byte
}

// ResultCode is what became of a call at the head or tail.
type ResultCode int

// The verdicts.
const (
	ResultOK      ResultCode = iota
	ResultRetry              // not the head, or not of the chain (any more): ask again
	ResultTooOld             // whether the command was carried out is not known any more; Sequence is the present one
	ResultRefused            // carried out without a change
)

// ProposeResult answers Propose.
type ProposeResult struct {
	ID       CommandID
	Verdict  ResultCode
	Epoch    int64
	Sequence int64
	Result   []byte
}

// Read asks one of the chain for the state.
type Read struct {
	ID   CommandID
	Have int64 // committed state that the sender has
}

// ReadResult answers Read.
type ReadResult struct {
	ID       CommandID
	Verdict  ResultCode // ResultOK or ResultRetry
	Epoch    int64
	Sequence int64
	Full     bool // false: the sender has it
	Snapshot []byte
}

// LeavingChain says that the sender is about to stop and takes no further part; it is sent in place of heartbeats.
type LeavingChain struct{ Epoch int64 }

func (LeavingChain) message()   {}
func (Heartbeat) message()      {}
func (ViewNotice) message()     {}
func (ViewRequest) message()    {}
func (InstallView) message()    {}
func (JoinRequest) message()    {}
func (Prepare) message()        {}
func (Promise) message()        {}
func (BallotRejected) message() {}
func (Accept) message()         {}
func (Accepted) message()       {}
func (Append) message()         {}
func (Ack) message()            {}
func (ConfirmEpoch) message()   {}
func (EpochConfirmed) message() {}
func (Propose) message()        {}
func (ProposeResult) message()  {}
func (Read) message()           {}
func (ReadResult) message()     {}
