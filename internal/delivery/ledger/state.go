package ledger

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"

	"emberquay/control"
)

// Text is an accepted text with its progress.
type Text struct {
	ID             string       `json:"id"`
	Product        string       `json:"product"`
	Destination    int64        `json:"dest"`
	IdempotencyKey string       `json:"mark,omitempty"`  // identifies repeated requests; as received
	Key            string       `json:"key,omitempty"`   // texts with the same key are delivered in order if their product requires it
	Brand          string       `json:"brand,omitempty"` // owner, if brands have quotas
	Retry          bool         `json:"retry,omitempty"`
	Returned       bool         `json:"returned,omitempty"`
	AcceptedAt     control.Time `json:"at,omitempty"` // 0: unknown
	ValidUntil     control.Time `json:"until"`
	Body           []byte       `json:"-"`

	Attempts     int          `json:"submits,omitempty"`
	FirstRunAt   control.Time `json:"ran,omitempty"` // when the first attempt that may have run was sent; 0: none
	FirstRunZone string       `json:"zone,omitempty"`

	Seq               uint64 `json:"order,omitempty"` // order of acceptance
	FirstRunTentative bool   `json:"out,omitempty"`   // FirstRunAt is that of the attempt in flight, and is cleared if that one did not run
}

// Notice reports the end of a text to the platform; it is kept until it is delivered.
type Notice struct {
	ID         string       `json:"id"`
	Nack       bool         `json:"nack,omitempty"`
	RetryAfter control.Time `json:"delay,omitempty"` // advice with a nack
	Key        string       `json:"key,omitempty"`   // of the text
	Seq        uint64       `json:"order,omitempty"`
}

// The record kinds.
const (
	kindAccepted         = 'T'
	kindAttempt          = 'S'
	kindNotRun           = 'N'
	kindEnded            = 'E'
	kindEndedOwingNotice = 'U' // ended, and a notice is owed
	kindSyncMark         = 'M' // every record up to a sequence number is on disk
)

// isKnownKind reports whether records of a kind are ever written.
func isKnownKind(kind byte) bool {
	switch kind {
	case kindAccepted, kindAttempt, kindNotRun, kindEnded, kindEndedOwingNotice, kindSyncMark:
		return true
	}
	return false
}

type attemptRecord struct {
	ID     string       `json:"id"`
	Number int          `json:"n,omitempty"` // of attempts including this one, as the record may be written twice
	At     control.Time `json:"at"`
	Zone   string       `json:"zone,omitempty"`
}

type idRecord struct {
	ID string `json:"id"`
}

// state is the live state, built by applying records in order; recordOf returns records that rebuild it. It does no I/O.
type state struct {
	texts      map[string]*Text
	notices    map[string]*Notice
	lastSeq    uint64
	lastID     string          // id in the last record
	unknownIDs map[string]bool // ids of records without a text: perhaps lost texts; limited
}

// maxUnknownIDs limits the unknown ids that are kept for the log.
const maxUnknownIDs = 64

func newState() *state {
	return &state{texts: map[string]*Text{}, notices: map[string]*Notice{}, unknownIDs: map[string]bool{}}
}

// apply applies a record; false if it is invalid.
func (s *state) apply(kind byte, payload []byte) bool {
	switch kind {
	case kindAccepted:
		k, n := binary.Uvarint(payload)
		if n <= 0 || k > uint64(len(payload)-n) {
			return false
		}
		t := &Text{}
		if json.Unmarshal(payload[n:n+int(k)], t) != nil || t.ID == "" {
			return false
		}
		t.Body = slices.Clone(payload[n+int(k):])
		s.lastID = t.ID
		s.addText(t)
	case kindAttempt:
		var r attemptRecord
		if json.Unmarshal(payload, &r) != nil {
			return false
		}
		if t := s.texts[r.ID]; t != nil {
			t.startAttempt(cmp.Or(r.Number, t.Attempts+1), r.At, r.Zone)
		} else {
			s.addUnknown(r.ID)
		}
	case kindEndedOwingNotice:
		n := &Notice{}
		if json.Unmarshal(payload, n) != nil || n.ID == "" {
			return false
		}
		s.lastID = n.ID
		s.remove(n.ID)
		s.addNotice(n)
	case kindNotRun, kindEnded:
		var id idRecord
		if json.Unmarshal(payload, &id) != nil {
			return false
		}
		s.lastID = id.ID
		t := s.texts[id.ID]
		switch {
		case kind == kindEnded:
			s.remove(id.ID)
			delete(s.unknownIDs, id.ID)
		case t != nil:
			t.clearTentativeRun()
		}
	case kindSyncMark:
	default:
		return false
	}
	return true
}

// addUnknown stores an id that a record names and that no text has.
func (s *state) addUnknown(id string) {
	if len(s.unknownIDs) < maxUnknownIDs {
		s.unknownIDs[id] = true
	}
}

func (t *Text) startAttempt(number int, at control.Time, zone string) {
	t.Attempts = max(t.Attempts, number)
	if t.FirstRunAt == 0 {
		t.FirstRunAt, t.FirstRunZone, t.FirstRunTentative = at, zone, true
	}
}

// clearTentativeRun records that the attempt in flight did not run.
func (t *Text) clearTentativeRun() {
	if t.FirstRunTentative {
		t.FirstRunAt, t.FirstRunZone, t.FirstRunTentative = 0, "", false
	}
}

func (s *state) addText(t *Text) {
	if t.Seq == 0 {
		t.Seq = s.lastSeq + 1
	}
	s.lastSeq = max(s.lastSeq, t.Seq)
	s.texts[t.ID] = t
	delete(s.notices, t.ID)
	delete(s.unknownIDs, t.ID)
}

func (s *state) addNotice(n *Notice) {
	if n.Seq == 0 {
		n.Seq = s.lastSeq + 1
	}
	s.lastSeq = max(s.lastSeq, n.Seq)
	s.notices[n.ID] = n
	delete(s.unknownIDs, n.ID)
}

func (s *state) remove(id string) {
	delete(s.texts, id)
	delete(s.notices, id)
}

// assumeAllMayHaveRun handles lost records. They may have recorded an attempt of any held text, at the earliest when it
// was accepted, or its end; so each counts as possibly run.
func (s *state) assumeAllMayHaveRun() {
	for _, t := range s.texts {
		t.Attempts++
		if t.FirstRunAt == 0 || t.FirstRunTentative {
			t.FirstRunAt, t.FirstRunTentative = max(1, t.AcceptedAt), false
		}
	}
}

// latestTime returns the latest time in the recorded state.
func (s *state) latestTime() (at control.Time) {
	for _, t := range s.texts {
		at = max(at, t.AcceptedAt, t.FirstRunAt)
	}
	return at
}

// adjustForClockStep handles a clock that was set back by at least step since the last record. The age of anything is
// no longer known: the time in which repeats are detected counts as over, and validity periods are shortened by step.
func (s *state) adjustForClockStep(step control.Time) {
	for _, t := range s.texts {
		t.ValidUntil -= step
		t.AcceptedAt = 0
		if t.FirstRunAt > 0 {
			t.FirstRunAt = 1
		}
	}
}

// unfinished returns the texts that have not ended, in order of acceptance, and the undelivered notices.
func (s *state) unfinished() ([]*Text, []*Notice) {
	return slices.SortedFunc(maps.Values(s.texts), func(a, b *Text) int { return int(int64(a.Seq - b.Seq)) }),
		slices.SortedFunc(maps.Values(s.notices), func(a, b *Notice) int { return int(int64(a.Seq - b.Seq)) })
}

// recordOf returns the record that rebuilds the live state of an id; false if it has none.
func (s *state) recordOf(id string) (record, bool) {
	if t := s.texts[id]; t != nil {
		return t.toRecord(), true
	}
	if n := s.notices[id]; n != nil {
		return jsonRecord(kindEndedOwingNotice, n), true
	}
	return record{}, false
}

// record is a record without its sequence number and checksum.
type record struct {
	kind    byte
	payload []byte
}

func (r record) size() int64 { return frameHeaderBytes + int64(len(r.payload)) }

func (t *Text) toRecord() record {
	meta := mustMarshal(t)
	payload := binary.AppendUvarint(make([]byte, 0, len(meta)+len(t.Body)+4), uint64(len(meta)))
	return record{kindAccepted, append(append(payload, meta...), t.Body...)}
}

func jsonRecord(kind byte, value any) record { return record{kind, mustMarshal(value)} }

// mustMarshal encodes a value; it cannot fail, as all values have plain fields only.
func mustMarshal(value any) []byte {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return b
}

// parseID returns the id in an encoded record.
func parseID(meta []byte) string {
	var n idRecord
	if json.Unmarshal(meta, &n) != nil {
		return ""
	}
	return n.ID
}
