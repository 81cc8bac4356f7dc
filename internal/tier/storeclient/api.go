// Package storeclient stores a proxy's turns and reserves token budgets at the stores:
//
//	client := storeclient.New(storeclient.Options{Caller: storewire.NewCaller(calls), Zone: zone})
//	defer client.Close()
//	client.SetView(view)                       // controlstate.StoreView, on each change
//	history, verdict := client.History(ctx, previous)
//	verdict = client.Reserve(ctx, storeclient.Reservation{Program: program, Turn: id, BudgetTokens: b, MaxTokens: m})
//	client.Settle(program, id, usedTokens)     // always after Granted
//	err := client.Commit(ctx, storeclient.Turn{ID: id, Root: history.Root, Previous: previous, ...}) // nil once durable
//
// A bounded cache holds the turns that this proxy committed or read. All methods are safe for concurrent use.
package storeclient

import (
	"time"
)

// Verdict is the combined result of the stores' answers to a reservation or a history lookup.
type Verdict int

// Possible verdicts. The zero value is none of them.
const (
	_ Verdict = iota
	// Granted: the turn may run; the caller must call Settle afterwards.
	Granted
	// Exhausted: the settled turns use up the budget. The turn must not run, and the reservation is withdrawn.
	Exhausted
	// Undecided: too few stores answered, or the result depends on turns that are still running. The turn must not run,
	// and the reservation is withdrawn; a new reservation with another turn id may be granted soon.
	Undecided
	// Found: the History holds the whole conversation.
	Found
	// Missing: the turn certainly does not exist.
	Missing
	// Unavailable: the turn may exist, but cannot be read now.
	Unavailable
)

// String returns the verdict's name, which differs from that of the constant for Exhausted and Unavailable.
func (v Verdict) String() string {
	names := [...]string{"none", "granted", "spent", "undecided", "found", "missing", "unsure"}
	if v < 0 || int(v) >= len(names) {
		return "unknown"
	}
	return names[v]
}

// Reservation requests tokens of a program's budget for one turn.
type Reservation struct {
	Program      string
	Turn         string // unique id: a settled or withdrawn turn is never granted again
	BudgetTokens int64  // of all turns of the program together
	MaxTokens    int64  // that this turn may generate
}

// History is a conversation up to and including a turn.
type History struct {
	Root string // id of the first turn
	Body []byte // input and output of each turn, oldest first; must not be modified
}

// Turn is a turn that has ended. It must not be modified after Commit.
type Turn struct {
	ID        string
	Root      string // id of the conversation's first turn; may be empty for the first turn itself
	Previous  string // id of the preceding turn; empty for the first turn
	Program   string
	Input     []byte
	Output    []byte        // the data of each event, followed by a line feed
	Tokens    int64         // number of generated tokens
	Retention time.Duration // how long the stores hold the turn and its predecessors after its end
}
