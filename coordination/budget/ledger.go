// Package budget decides how many tokens the turns of a program may use together, by reservations that a quorum of
// stores keeps. It is pure: Ledger is what one store knows of one program, Attempt decides on one turn from the stores'
// reports:
//
//	// at each store
//	outcome := ledger.Reserve(key, most)      // on the disk before the report leaves
//	report := ledger.Report(key, whole)
//	// at the proxy
//	attempt := budget.NewAttempt(budgetTokens, members, quorum)
//	attempt.Report(member, report)            // as reports come
//	switch attempt.Next() { case budget.Granted: ... case budget.Recheck: ... }
//
// Invariant: the tokens of all granted turns together stay below the budget plus the most of one of them. It rests on
// this: a turn is granted on reports that either came from all members, or were asked for after a quorum had kept its
// reservation. Of all granted turns take the one whose reservation was the last to reach a quorum: its reports name all
// the others, each with what it used or may use, and their sum was below the budget. Two rounds are needed where not all
// answer: of three turns that race, each may see only one of the others in a single round of quorums.
package budget

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"emberquay/coordination/hashing"
)

// TurnKey names a turn within its program: a hash of its id.
type TurnKey uint64

// TurnKeyOf hashes the id of a turn.
func TurnKeyOf(id string) TurnKey { return TurnKey(xxhash.Sum64String(id)) }

// Entry is what is known of a turn.
type Entry struct {
	Turn   TurnKey
	Tokens int64 // at most, while it is open; else what it used
	Open   bool
}

// MaxEntries bounds the turns of one program, those withdrawn included: far above what programs start before they are
// over, and 100 KB of memory.
const MaxEntries = 4096

// wholeEntries is how many entries a report lists in any case, about 1 KB.
const wholeEntries = 64

// Outcome says what became of a reservation at a store.
type Outcome int

// The outcomes.
const (
	Opened      Outcome = iota // it is new
	AlreadyOpen                // it was open before
	Closed                     // the turn was settled or withdrawn: it is never opened again
	LedgerFull                 // the program has MaxEntries already
)

// Ledger is what one store knows of one program. The zero value is empty.
type Ledger struct {
	entries map[TurnKey]state
	settled int64
	sum     uint64 // digest of the settled entries
	all     uint64 // digest of all entries
}

// state is an entry without its key: tokens, or the ones' complement of them while it is open.
type state int64

func stateOf(e Entry) state {
	if e.Open {
		return ^state(e.Tokens)
	}
	return state(e.Tokens)
}

func (s state) entry(k TurnKey) Entry {
	if s < 0 {
		return Entry{Turn: k, Tokens: int64(^s), Open: true}
	}
	return Entry{Turn: k, Tokens: int64(s)}
}

// Len counts the entries.
func (l *Ledger) Len() int { return len(l.entries) }

// SettledTokens is what the settled turns used.
func (l *Ledger) SettledTokens() int64 { return l.settled }

// Digest stands for all entries.
func (l *Ledger) Digest() uint64 { return l.all }

// Reserve opens a reservation of at most so many tokens.
func (l *Ledger) Reserve(turn TurnKey, most int64) Outcome {
	outcome := l.CheckReserve(turn)
	if outcome == Opened {
		l.put(Entry{Turn: turn, Tokens: max(0, most), Open: true})
	}
	return outcome
}

// CheckReserve gives Known or Closed for a turn that has an entry, else Crowded or, if there is room, Opened: what Reserve would
// come to.
func (l *Ledger) CheckReserve(turn TurnKey) Outcome {
	s, ok := l.entries[turn]
	switch {
	case ok && s < 0:
		return AlreadyOpen
	case ok:
		return Closed
	case len(l.entries) >= MaxEntries:
		return LedgerFull
	}
	return Opened
}

// WouldChange says whether Merge would change anything.
func (l *Ledger) WouldChange(e Entry) bool {
	s, ok := l.entries[e.Turn]
	if !ok {
		// An open one must never be lost, or the budget could be passed; nor one that used tokens.
		return len(l.entries) < MaxEntries || e.Open || e.Tokens > 0
	}
	return newer(s.entry(e.Turn), e)
}

// Merge takes in what another holder knows, and says whether it was news. A settled entry replaces an open one; of two
// settled ones the greater stays. Beyond MaxEntries only withdrawals of turns that are not known are left out.
func (l *Ledger) Merge(e Entry) bool {
	e.Tokens = max(0, e.Tokens)
	if !l.WouldChange(e) {
		return false
	}
	if s, ok := l.entries[e.Turn]; ok {
		l.drop(s.entry(e.Turn))
	}
	l.put(e)
	return true
}

// newer says whether e says more than what is known of the same turn.
func newer(known, e Entry) bool {
	if known.Open != e.Open {
		return known.Open
	}
	return e.Tokens > known.Tokens
}

func (l *Ledger) put(e Entry) {
	if l.entries == nil {
		l.entries = map[TurnKey]state{}
	}
	l.entries[e.Turn] = stateOf(e)
	l.all += digest(e)
	if !e.Open {
		l.settled += e.Tokens
		l.sum += digest(e)
	}
}

func (l *Ledger) drop(e Entry) {
	delete(l.entries, e.Turn)
	l.all -= digest(e)
	if !e.Open {
		l.settled -= e.Tokens
		l.sum -= digest(e)
	}
}

func digest(e Entry) uint64 {
	return hashing.Pair(uint64(e.Turn), uint64(stateOf(e)))
}

// Entries appends all entries, in no order.
func (l *Ledger) Entries(to []Entry) []Entry {
	for k, s := range l.entries {
		to = append(to, s.entry(k))
	}
	return to
}

// Report is what a store tells of a program to the one that wants a turn.
type Report struct {
	TurnClosed    bool   // the turn itself was settled before
	SettledTokens int64  // what the others used that are settled
	Digest        uint64 // of the settled entries
	Whole         bool   // Entries holds the settled ones too, not only those that are open
	Entries       []Entry
}

// Report tells of all turns but the one that asks. Long lists leave the settled entries out, unless whole is wanted.
func (l *Ledger) Report(turn TurnKey, whole bool) Report {
	r := Report{SettledTokens: l.settled, Digest: l.sum, Whole: whole || len(l.entries) <= wholeEntries}
	own, ok := l.entries[turn]
	if ok && own >= 0 {
		e := own.entry(turn)
		r.TurnClosed = true
		r.SettledTokens -= e.Tokens
		r.Digest -= digest(e)
	}
	for k, s := range l.entries {
		if k != turn && (r.Whole || s < 0) {
			r.Entries = append(r.Entries, s.entry(k))
		}
	}
	return r
}

// ErrMalformedEntries: bytes that hold no entries.
var ErrMalformedEntries = eris.New("budget: malformed entries")

// EncodeEntries appends entries as bytes, about 10 each.
func EncodeEntries(to []byte, entries []Entry) []byte {
	for _, e := range entries {
		to = binary.BigEndian.AppendUint64(to, uint64(e.Turn))
		to = binary.AppendVarint(to, int64(stateOf(e)))
	}
	return to
}

// DecodeEntries reads them. Error: ErrEntries.
func DecodeEntries(data []byte) ([]Entry, error) {
	entries := make([]Entry, 0, len(data)/10)
	for len(data) > 0 {
		if len(data) < 9 {
			return nil, ErrMalformedEntries
		}
		k := TurnKey(binary.BigEndian.Uint64(data))
		s, n := binary.Varint(data[8:])
		if n <= 0 {
			return nil, ErrMalformedEntries
		}
		entries = append(entries, state(s).entry(k))
		data = data[8+n:]
	}
	return entries, nil
}
