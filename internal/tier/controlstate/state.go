// Package controlstate is the state that the control planes replicate: the operator's configuration, the changes that
// were taken, the view of the stores, and the store machines that were retired.
//
//	state := controlstate.New()
//	raw, changed := state.Apply(controlstate.EncodeCommand(controlstate.Command{
//		Kind: controlstate.ReplaceConfiguration, Base: 0, HasBase: true, Body: body,
//	}))
//	result, err := controlstate.DecodeResult(raw)
//
// A State is deterministic: the same commands in the same order give the same results and the same snapshot on every
// replica. It does no I/O and reads no clock; whoever owns it calls it from one goroutine at a time.
//
// Invariants: the version of the configuration and the epoch of the view only rise; at most one change is ever taken on a
// base; a change that was taken is acknowledged again as long as it is among the last maxAccepted, and gets no clear answer
// (StatusUnknown) after that, but is never refused; a change that was refused never comes into force.
package controlstate

const (
	// MaxConfigurationBytes bounds a configuration that is taken, and a change of it by items. A replica's journal has to
	// hold four states of this size at a time (a vote and a view with one each, and a checkpoint of both) in half of its
	// room, and a message between replicas one of them: what is larger is refused when the order comes.
	MaxConfigurationBytes = 4 << 20
	// maxAccepted bounds the changes that are known to have been taken: three days of changes, though the operator repeats
	// one for seconds only. What is older is neither acknowledged nor refused.
	maxAccepted = 8192
	// formerMaxAccepted is how many earlier releases kept: a state of theirs with as many may have dropped some.
	formerMaxAccepted = 4096
	// maxRefused bounds the refused changes that are kept, see State.refused. Where there are as many, a further one gets no
	// clear answer.
	maxRefused = 1024
	// maxMembers bounds the view of the stores.
	maxMembers = 1024
	// maxRetirements bounds the retired machines that are known. The oldest that are completed are forgotten first.
	maxRetirements = 1024
)

// State is the replicated state.
type State struct {
	version uint64 // of the configuration; 0 where there is none yet
	body    []byte

	accepted acceptedChanges
	// refused are changes that built on a version above the current one. Once that version is reached they would be
	// taken if they came again, as a call that was long on its way may; but their caller was told that they are not.
	refused refusedChanges

	stores      StoreView
	retirements []Retirement
}

// New gives the state before the first command.
func New() *State { return &State{} }

// Configuration gives the configuration in force. The body must not be changed. Version 0 says that there is none yet.
func (s *State) Configuration() (version uint64, body []byte) { return s.version, s.body }

// ChangeCounts counts the changes that are known to have been taken, and the refused ones that are kept.
func (s *State) ChangeCounts() (accepted, refused int) {
	return len(s.accepted.order), len(s.refused.order)
}

// Apply carries out a command and gives its coded Result. changed says that the state is another one than before; a
// refusal may change it too. What cannot be decoded is refused.
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
		return s.configure(c)
	case RegisterStore:
		return s.register(c)
	case RetireStore:
		return s.retire(c)
	case RetireCompleted:
		return s.complete(c)
	case RemoveStore:
		return s.remove(c)
	}
	return s.refuse(StatusBadRequest, c.Kind.String()+" is not known"), false
}
