package chain

import (
	"emberquay/coordination/view"
)

// StateMachine is what is replicated. It is deterministic. A command that changes nothing is a refusal (or a question); a
// command refused in one state has to be refused in all that follow it, as a change on top of a version that only rises
// is: a command may arrive twice.
type StateMachine interface {
	// Apply carries out a command. Without a change the state is as before.
	Apply(command []byte) (result []byte, changed bool)
	// Snapshot gives the whole state; the bytes are not changed later.
	Snapshot() []byte
	// Restore takes the whole state.
	Restore(snapshot []byte) error
}

// CommandID names a command for good: the process that proposed it, and its number there.
type CommandID struct {
	Process int64
	Number  int64
}

// Entry is one change on its way down the chain.
type Entry struct {
	Sequence int64
	ID       CommandID
	Command  []byte
}

// Outcome is what a change came to. The latest are part of the state, so a command that is sent again is known.
type Outcome struct {
	ID       CommandID
	Sequence int64
	Result   []byte
}

// maxRecent bounds the outcomes that are kept: more than a member may lag behind between two heartbeats, as a command
// that was sent twice from further behind has an open fate.
const maxRecent = 256

// State is the state after an entry of an epoch. Without Full only its place is told: the receiver has it.
type State struct {
	Epoch    int64
	Sequence int64
	Full     bool
	Snapshot []byte
	Recent   []Outcome
}

// Proposal is what the members of one epoch decide on: the next view and the state that it begins with.
type Proposal struct {
	View  view.View
	State State
}
