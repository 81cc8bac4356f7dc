package sim

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"emberquay/internal/tier/controlstate"
)

// linearLimit bounds the search for an order of a history; what is not decided by then counts as kept.
const linearLimit = 5 * time.Second

// registerCall and registerAnswer are the operations on the configuration, a register with versions.
type registerCall struct {
	read          bool
	base, version uint64
}

type registerAnswer struct {
	status  int // 0: open
	version uint64
}

// register says what a configuration register may answer. Its state is the version in force.
var register = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		version, call, answer := state.(uint64), input.(registerCall), output.(registerAnswer)
		switch {
		case call.read:
			return answer.version == version, version
		case answer.status == controlstate.StatusOK:
			return call.base == version, call.version
		case answer.status == controlstate.StatusPreconditionFailed:
			return call.base != version, version
		}
		return true, version // refused for itself
	},
	Equal: func(a, b any) bool { return a == b },
}

// linear checks the operators' history. A change without a clear answer may be carried out at any time after it was sent,
// or never: only one that is in force is taken into the history, with an end that never comes.
func (w *world) linear() {
	var history []porcupine.Operation
	for client, c := range w.operators.orders {
		if c.invalid {
			continue // it changes nothing, and may be refused for its base or for itself
		}
		answer := registerAnswer{status: c.status}
		ended := int64(c.ended)
		if c.status == 0 {
			if w.judge.forced[c.version] != string(c.body) {
				continue
			}
			answer.status, ended = controlstate.StatusOK, math.MaxInt64
		}
		history = append(history, porcupine.Operation{ClientId: client, Input: registerCall{base: c.base, version: c.version}, Call: int64(c.sent), Output: answer, Return: ended})
	}
	for at, c := range w.operators.reads {
		history = append(history, porcupine.Operation{ClientId: len(w.operators.orders) + at, Input: registerCall{read: true}, Call: int64(c.sent),
			Output: registerAnswer{version: c.version}, Return: int64(c.ended)})
	}
	if porcupine.CheckOperationsTimeout(register, history, linearLimit) == porcupine.Illegal {
		w.judge.breach(ConfigRule, "no order of the operators' %d calls explains their answers", len(history))
	}
}
