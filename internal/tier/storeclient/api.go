// Package storeclient is how a proxy keeps turns and spends budgets at the stores:
//
//	client := storeclient.New(storeclient.Options{Caller: storewire.NewCaller(calls), Zone: zone})
//	defer client.Close()
//	client.SetView(view)                       // controlstate.StoreView, at each change
//	history, verdict := client.History(ctx, previous)
//	verdict = client.Reserve(ctx, storeclient.Reservation{Program: program, Turn: id, Budget: budget, Most: most})
//	client.Settle(program, id, used)           // after Granted, always
//	err := client.Commit(ctx, storeclient.Turn{ID: id, Root: history.Root, Previous: previous, ...}) // nil: it is durable
//
// Turns of a conversation that this proxy carried or read stay in a bounded cache. All methods may be called by any
// number of goroutines.
package storeclient

import (
	"time"
)

// Verdict is what the stores together say.
type Verdict int

// The verdicts. The zero value is none of them.
const (
	_ Verdict = iota
	// Granted: the turn may run; Settle has to follow it.
	Granted
	// Exhausted: what earlier turns have used reaches the budget; the turn must not run, and the reservation is gone.
	Exhausted
	// Undecided: too few stores answered, or turns that still run decide. The turn must not run, and the reservation
	// is gone; another one, under another id, may be granted soon.
	Undecided
	// Found: the whole conversation is in the History.
	Found
	// Missing: there is certainly no such turn.
	Missing
	// Unavailable: the turn may exist, but can't be had now.
	Unavailable
)

// String names a verdict.
func (v Verdict) String() string {
	names := [...]string{"none", "granted", "spent", "undecided", "found", "missing", "unsure"}
	if v < 0 || int(v) >= len(names) {
		return "unknown"
	}
	return names[v]
}

// Reservation is the part of a program's budget that one turn may use at most.
type Reservation struct {
	Program      string
	Turn         string // unique: a turn that was settled or withdrawn is never granted again
	BudgetTokens int64  // tokens, of all turns of the program together
	MaxTokens    int64  // tokens that this turn may generate
}

// History is a conversation up to a turn.
type History struct {
	Root string // id of its first turn
	Body []byte // each turn's input and output, from the oldest; not to be changed
}

// Turn is a turn that has ended. It is not changed once it was committed.
type Turn struct {
	ID        string
	Root      string // id of the conversation's first turn; empty: this one
	Previous  string // empty at the start of a conversation
	Program   string
	Input     []byte
	Output    []byte        // the data of each event, with a line feed after it
	Tokens    int64         // generated
	Retention time.Duration // for which it is kept with its chain, from its end
}
