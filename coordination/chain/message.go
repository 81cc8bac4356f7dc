package chain

import (
	"emberquay/coordination/view"
)

// Peer is the sender or receiver of a message. Without an ID it denotes whichever node has the address.
type Peer struct {
	ID      view.MemberID
	Address string
}

// Envelope is a message with its sender and receiver.
type Envelope struct {
	From, To Peer
	Body     Message
}

// Message is one of the types below. Messages may be lost, duplicated and reordered.
type Message interface{ message() }

// Heartbeat is sent by each member to every other member.
type Heartbeat struct {
	Epoch     int64
	Committed int64
	Heard     []view.MemberID // recently, by the sender
}

// ViewNotice announces a decided view, without its state.
type ViewNotice struct {
	View      view.View
	Committed int64
}

// ViewRequest asks for a view later than Epoch. A sender that is a member of it also gets its state.
type ViewRequest struct{ Epoch int64 }

// InstallView transfers a decided view and its state.
type InstallView struct {
	View      view.View
	State     State
	Committed int64
}

// JoinRequest asks to become a member.
type JoinRequest struct {
	Member view.Member
	Heard  []view.MemberID // members that the sender hears
}

// Prepare asks for a promise (Paxos phase 1a).
type Prepare struct {
	Epoch    int64
	Ballot   view.Ballot
	Sequence int64 // of the proposer's state, which need not be sent to it again
}

// Promise answers Prepare (Paxos phase 1b). It seals the epoch at its sender.
type Promise struct {
	Epoch    int64
	Ballot   view.Ballot
	Accepted view.Ballot
	Value    Proposal // value accepted in ballot Accepted
	Sequence int64    // of the sender's state
	State    State    // Full if no value was accepted and the proposer's state is older
}

// BallotRejected answers Prepare and Accept if a later ballot was promised.
type BallotRejected struct {
	Epoch    int64
	Ballot   view.Ballot
	Promised view.Ballot
}

// Accept asks to accept a proposal (Paxos phase 2a).
type Accept struct {
	Epoch  int64
	Ballot view.Ballot
	Value  Proposal
}

// Accepted confirms that the proposal of a ballot was accepted (Paxos phase 2b).
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

// Ack passes the committed sequence up the chain.
type Ack struct {
	Epoch    int64
	Sequence int64
}

// ConfirmEpoch asks whether the receiver has not sealed an epoch.
type ConfirmEpoch struct {
	Epoch int64
	Nonce int64
}

// EpochConfirmed confirms that the sender had not sealed the epoch when it received ConfirmEpoch.
type EpochConfirmed struct {
	Epoch int64
	Nonce int64
}

// Propose submits a command to the head.
type Propose struct {
	ID      CommandID
	After   int64 // if the command has been applied, its entry has a higher sequence
	Command []byte
}

// ResultCode is the outcome of a call at the head or tail.
type ResultCode int

// The result codes.
const (
	ResultOK      ResultCode = iota
	ResultRetry              // not applied: the receiver is not the head, or is not or no longer in the chain
	ResultTooOld             // it is no longer known whether the command was applied; Sequence is the current one
	ResultRefused            // the state machine refused the command: it changed nothing
)

// ProposeResult answers Propose.
type ProposeResult struct {
	ID       CommandID
	Verdict  ResultCode
	Epoch    int64
	Sequence int64
	Result   []byte
}

// Read requests the state from a member of the chain.
type Read struct {
	ID   CommandID
	Have int64 // sequence of the committed state that the sender already has
}

// ReadResult answers Read.
type ReadResult struct {
	ID       CommandID
	Verdict  ResultCode // ResultOK or ResultRetry
	Epoch    int64
	Sequence int64
	Full     bool // false: the requester already has this state
	Snapshot []byte
}

// LeavingChain is sent in place of heartbeats by a member that is about to stop and should be left out of the chain.
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
