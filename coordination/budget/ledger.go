// Package budget limits the tokens that the turns of a program use together, by reservations stored at a quorum of
// stores. It does no I/O: a Ledger holds the entries that one store knows of one program, an Attempt decides on one turn
// from the reports of the stores:
//
//	// at each store
//	outcome := ledger.Reserve(key, maxTokens) // on disk before the report is sent
//	report := ledger.Report(key, whole)
//	// at the proxy
//	attempt := budget.NewAttempt(budgetTokens, members, quorum)
//	attempt.AddReport(member, report)         // as reports arrive
//	switch attempt.Decide() { case budget.Granted: ... }
//
// Invariant: the tokens of all granted turns together stay below the budget plus the largest reservation among them.
// Proof: a turn is granted on reports that either came from all members, or were requested after a quorum had stored its
// reservation. Of all granted turns, take the one whose reservation reached a quorum last: its reports list all the
// others, each with the tokens it used or may use, and their sum was below the budget. Two rounds are needed when not all
// members answer: of three concurrent turns, each may see only one of the others in a single round of quorums.
package budget

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"emberquay/coordination/hashing"
)

// TurnKey identifies a turn within its program: a hash of the turn's id.
type TurnKey uint64

// TurnKeyOf hashes the id of a turn.
func TurnKeyOf(id string) TurnKey { return TurnKey(xxhash.Sum64String(id)) }

// Entry is the reservation of a turn, or its settlement.
type Entry struct {
	Turn   TurnKey
	Tokens int64 // tokens reserved while it is open, tokens used once it is settled
	Open   bool
}

// MaxEntries bounds the entries of one program, withdrawn turns included. It is far above the number of turns that a
// program starts in its lifetime, and takes 100 KB of memory.
const MaxEntries = 4096

// maxUnabridgedEntries is the number of entries up to which a report lists all of them, about 1 KB.
const maxUnabridgedEntries = 64

// Outcome is the result of a reservation at one store.
type Outcome int

// Possible outcomes.
const (
	Opened      Outcome = iota // the reservation is new
	AlreadyOpen                // the turn already has an open reservation
	Closed                     // the turn was settled or withdrawn; it cannot be opened again
	LedgerFull                 // the program already has MaxEntries entries
)

// Ledger holds the entries that one store knows of one program. The zero value is empty.
type Ledger struct {
	entries       map[TurnKey]entryState
	settledTokens int64
	settledDigest uint64 // digest of the settled entries
	entriesDigest uint64 // digest of all entries
}

// entryState is an entry without its key: its tokens, or their ones' complement while the entry is open.
type entryState int64

func entryStateOf(e Entry) entryState {
	if e.Open {
		return ^entryState(e.Tokens)
	}
	return entryState(e.Tokens)
}

func (s entryState) entry(k TurnKey) Entry {
	if s < 0 {
		return Entry{Turn: k, Tokens: int64(^s), Open: true}
	}
	return Entry{Turn: k, Tokens: int64(s)}
}

// Len returns the number of entries.
func (l *Ledger) Len() int { return len(l.entries) }

// SettledTokens returns the tokens used by settled turns.
func (l *Ledger) SettledTokens() int64 { return l.settledTokens }

// Digest returns a digest of all entries.
func (l *Ledger) Digest() uint64 { return l.entriesDigest }

// Reserve opens a reservation of at most maxTokens for a turn.
func (l *Ledger) Reserve(turn TurnKey, maxTokens int64) Outcome {
	outcome := l.CheckReserve(turn)
	if outcome == Opened {
		l.put(Entry{Turn: turn, Tokens: max(0, maxTokens), Open: true})
	}
	return outcome
}

// CheckReserve returns what Reserve would return, without changing the ledger: AlreadyOpen or Closed for a turn that has
// an entry, otherwise Opened, or LedgerFull if there is no room.
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

// WouldChange reports whether Merge would change the ledger.
func (l *Ledger) WouldChange(e Entry) bool {
	s, ok := l.entries[e.Turn]
	if !ok {
		// Dropping an open entry, or one that used tokens, could let the program exceed its budget.
		return len(l.entries) < MaxEntries || e.Open || e.Tokens > 0
	}
	return newer(s.entry(e.Turn), e)
}

// Merge adds an entry of another replica and reports whether the ledger changed. A settled entry replaces an open one; of
// two settled or two open entries the one with more tokens wins. Beyond MaxEntries only withdrawals of unknown turns are
// ignored.
func (l *Ledger) Merge(e Entry) bool {
	e.Tokens = max(0, e.Tokens)
	if !l.WouldChange(e) {
		return false
	}
	if s, ok := l.entries[e.Turn]; ok {
		l.remove(s.entry(e.Turn))
	}
	l.put(e)
	return true
}

// newer reports whether e supersedes the known entry of the same turn.
func newer(known, e Entry) bool {
	if known.Open != e.Open {
		return known.Open
	}
	return e.Tokens > known.Tokens
}

func (l *Ledger) put(e Entry) {
	if l.entries == nil {
		l.entries = map[TurnKey]entryState{}
	}
	l.entries[e.Turn] = entryStateOf(e)
	l.entriesDigest += entryDigest(e)
	if !e.Open {
		l.settledTokens += e.Tokens
		l.settledDigest += entryDigest(e)
	}
}

func (l *Ledger) remove(e Entry) {
	delete(l.entries, e.Turn)
	l.entriesDigest -= entryDigest(e)
	if !e.Open {
		l.settledTokens -= e.Tokens
		l.settledDigest -= entryDigest(e)
	}
}

func entryDigest(e Entry) uint64 {
	return hashing.Pair(uint64(e.Turn), uint64(entryStateOf(e)))
}

// Entries appends all entries to dst, in no particular order.
func (l *Ledger) Entries(dst []Entry) []Entry {
	for k, s := range l.entries {
		dst = append(dst, s.entry(k))
	}
	return dst
}

// Report is what a store answers to a reservation of a turn: the other turns of the program.
type Report struct {
	TurnClosed    bool   // the turn itself is already settled
	SettledTokens int64  // tokens used by the other settled turns
	Digest        uint64 // digest of the other settled entries
	Whole         bool   // Entries includes settled entries, not only open ones
	Entries       []Entry
}

// Report returns a report on all turns except the given one. Lists of more than maxUnabridgedEntries omit settled entries
// unless whole is set.
func (l *Ledger) Report(turn TurnKey, whole bool) Report {
	r := Report{SettledTokens: l.settledTokens, Digest: l.settledDigest, Whole: whole || len(l.entries) <= maxUnabridgedEntries}
	ownState, ok := l.entries[turn]
	if ok && ownState >= 0 {
		e := ownState.entry(turn)
		r.TurnClosed = true
		r.SettledTokens -= e.Tokens
		r.Digest -= entryDigest(e)
	}
	for k, s := range l.entries {
		if k != turn && (r.Whole || s < 0) {
			r.Entries = append(r.Entries, s.entry(k))
		}
	}
	return r
}

// ErrMalformedEntries is returned for bytes that are not encoded entries.
var ErrMalformedEntries = eris.New("budget: malformed entries")

// EncodeEntries appends the encoded entries to dst, about 10 bytes each.
func EncodeEntries(dst []byte, entries []Entry) []byte {
	for _, e := range entries {
		dst = binary.BigEndian.AppendUint64(dst, uint64(e.Turn))
		dst = binary.AppendVarint(dst, int64(entryStateOf(e)))
	}
	return dst
}

// DecodeEntries decodes the result of EncodeEntries. It fails with ErrMalformedEntries.
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
		entries = append(entries, entryState(s).entry(k))
		data = data[8+n:]
	}
	return entries, nil
}
