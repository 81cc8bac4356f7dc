// Package controlstate implements the state machine that the control planes replicate: the operator's configuration, the
// accepted and refused changes of it, the store view, and the retirements of store machines.
//
//	state := controlstate.New()
//	raw, changed := state.Apply(controlstate.EncodeCommand(controlstate.Command{
//		Kind: controlstate.ReplaceConfiguration, Base: 0, HasBase: true, Body: body,
//	}))
//	result, err := controlstate.DecodeResult(raw)
//
// A State is deterministic: the same commands in the same order give the same results and the same snapshot on every
// replica. It does no I/O, reads no clock and is not safe for concurrent use.
//
// Invariants:
//   - The configuration version and the epoch of the store view only increase.
//   - At most one change is ever accepted on a base version.
//   - A repeated change that was accepted is acknowledged again while it is among the last maxAccepted, and gets
//     StatusUnknown after that, but is never refused.
//   - A change that was refused never comes into force.
package controlstate

import "emberquay/internal/tier/routing"

const (
	// MaxConfigurationBytes is the maximum size of a configuration and of the body of a ModifyConfiguration command. Half
	// of a replica's journal has to hold a checkpoint with three of this size (one each in a view and in a vote, and the newest
	// command), and a message between replicas has to hold one. Anything larger is refused on arrival.
	MaxConfigurationBytes = 4 << 20
	// maxAccepted is the maximum number of accepted changes that are kept: three days of changes, though the operator
	// retries a change for seconds only. Older changes are neither acknowledged nor refused.
	maxAccepted = 8192
	// formerMaxAccepted is the maxAccepted of earlier releases: a state that they wrote with this many accepted changes
	// may have dropped older ones.
	formerMaxAccepted = 4096
	// maxRefused is the maximum number of refused changes that are kept, see State.refused. While that many are kept, a
	// further one gets StatusUnknown.
	maxRefused = 1024
	// maxMembers is the maximum number of members of the store view.
	maxMembers = 1024
	// maxRetirements is the maximum number of retirements that are kept. The oldest completed ones are dropped first.
	maxRetirements = 1024
)

// State is the replicated control state.
type State struct {
	version uint64 // of the configuration; 0 where there is none yet
	body    []byte
	// parsed is the configuration as read from body; nil where it has not been needed yet.
	parsed *routing.Snapshot

	accepted acceptedChanges
	// refused holds the refused changes whose base version is above the current one. A delayed duplicate of such a change
	// would be accepted once its base is reached, although its caller was told that it was refused.
	refused refusedChanges

	stores      StoreView
	retirements []Retirement
}

// New returns the state before the first command.
func New() *State { return &State{} }

// Configuration returns the configuration in force; version 0 means that there is none yet. The caller must not modify
// the body.
func (s *State) Configuration() (version uint64, body []byte) { return s.version, s.body }

// ChangeCounts returns the number of accepted and of refused changes that are kept.
func (s *State) ChangeCounts() (accepted, refused int) {
	return len(s.accepted.changes), len(s.refused.changes)
}

// Apply executes an encoded command and returns its encoded Result. changed reports whether the state differs from the
// one before; a refusal may change it too. A command that cannot be decoded is refused with StatusBadRequest.
func (s *State) Apply(command []byte) (result []byte, changed bool) {
	c, err := DecodeCommand(command)
	if err != nil {
		return encodeResult(s.refuse(StatusBadRequest, err.Error())), false
	}
	r, changed := s.apply(c)
	return encodeResult(r), changed
}

func (s *State) apply(c Command) (Result, bool) {
	switch c.Kind {
	case ReplaceConfiguration, ModifyConfiguration:
		return s.changeConfiguration(c)
	case RegisterStore:
		return s.registerStore(c)
	case RetireStore:
		return s.retireStore(c)
	case RetireCompleted:
		return s.completeRetirement(c)
	case RemoveStore:
		return s.removeStore(c)
	case FailStore:
		return s.failStore(c)
	case RestoreStore:
		return s.restoreStore(c)
	}
	return s.refuse(StatusBadRequest, c.Kind.String()+" is not known"), false
}
