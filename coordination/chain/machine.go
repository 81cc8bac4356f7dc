package chain

import (
	"emberquay/coordination/view"
)

// StateMachine is the replicated state machine. It must be deterministic. A command that changes nothing is a refusal or a
// query. Commands may arrive twice, so a command refused in one state has to be refused in all later states; a
// conditional update on a version that only increases has this property.
type StateMachine interface {
	// Apply executes a command. If it reports no change, the state is the same as before.
	Apply(command []byte) (result []byte, changed bool)
	// Snapshot returns the whole state; the returned bytes are never modified afterwards.
	Snapshot() []byte
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// CommandID identifies a command permanently: the process that proposed it and the number it gave the command.
type CommandID struct {
	Process int64
	Number  int64
}

// Entry is one state change of the replicated log.
type Entry struct {
	Sequence int64
	ID       CommandID
	Command  []byte
}

// Outcome is the result of an applied command. The most recent outcomes are part of the state, to detect duplicates.
type Outcome struct {
	ID       CommandID
	Sequence int64
	Result   []byte
}

// maxRecentOutcomes limits the outcomes kept. It exceeds the number of entries that a member may lag behind between two
// heartbeats; a resent command that is further behind cannot be told from an applied one, and its outcome stays unknown.
const maxRecentOutcomes = 256

// State is the state after an entry of an epoch. Without Full it only identifies a state that the receiver already has.
type State struct {
	Epoch    int64
	Sequence int64
	Full     bool
	Snapshot []byte
	Recent   []Outcome
}

// Proposal is the value decided by the members of one epoch: the next view and its initial state.
type Proposal struct {
	View  view.View
	State State
}
