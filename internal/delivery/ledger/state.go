package ledger

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"

	"emberquay/control"
)

// Text is a text as it was taken on, and how far it has come.
type Text struct {
	ID             string       `json:"id"`
	Product        string       `json:"product"`
	Destination    int64        `json:"dest"`
	IdempotencyKey string       `json:"mark,omitempty"`  // by which a repeat is known, as it came
	Key            string       `json:"key,omitempty"`   // texts of one key go in order, where their product asks for it
	Brand          string       `json:"brand,omitempty"` // whose it is, where brands have shares
	Retry          bool         `json:"retry,omitempty"`
	Returned       bool         `json:"returned,omitempty"`
	AcceptedAt     control.Time `json:"at,omitempty"` // 0: not known
	ValidUntil     control.Time `json:"until"`
	Body           []byte       `json:"-"`

	Attempts     int          `json:"submits,omitempty"`
	FirstRunAt   control.Time `json:"ran,omitempty"` // when the first submit that may have run was sent
	FirstRunZone string       `json:"zone,omitempty"`

	Seq               uint64 `json:"order,omitempty"` // of arrival
	FirstRunTentative bool   `json:"out,omitempty"`   // RanSince holds the submit that is out; it goes if that one never ran
}

// Notice is the end of a text that the platform has yet to hear of.
type Notice struct {
	ID         string       `json:"id"`
	Nack       bool         `json:"nack,omitempty"`
	RetryAfter control.Time `json:"delay,omitempty"` // advice with a nack
	Key        string       `json:"key,omitempty"`   // of the text
	Seq        uint64       `json:"order,omitempty"`
}

// The kinds of record.
const (
	kindAccepted         = 'T'
	kindAttempt          = 'S'
	kindNotRun           = 'N'
	kindEnded            = 'E'
	kindEndedOwingNotice = 'U' // ended, and a notice is owed
	kindSyncMark         = 'M' // all up to a number is on the disk
)

// isKnownKind says whether records of a kind are ever written.
func isKnownKind(kind byte) bool {
	switch kind {
	case kindAccepted, kindAttempt, kindNotRun, kindEnded, kindEndedOwingNotice, kindSyncMark:
		return true
	}
	return false
}

type attemptRecord struct {
	ID     string       `json:"id"`
	Number int          `json:"n,omitempty"` // how many there are with it: it may be written twice
	At     control.Time `json:"at"`
	Zone   string       `json:"zone,omitempty"`
}

type idRecord struct {
	ID string `json:"id"`
}

// state is what is live: it is made by records, one after the other, and gives records that make it anew. It does no
// I/O.
type state struct {
	texts      map[string]*Text
	notices    map[string]*Notice
	lastSeq    uint64
	lastID     string          // the id in the last record
	unknownIDs map[string]bool // named by a record, and not there: perhaps a lost text; bounded
}

// maxUnknownIDs bounds the ids that are remembered for the log.
const maxUnknownIDs = 64

func newState() *state {
	return &state{texts: map[string]*Text{}, notices: map[string]*Notice{}, unknownIDs: map[string]bool{}}
}

// apply does what a record says; false if it makes no sense.
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

// addUnknown notes an id that a record names and no text has.
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

// clearTentativeRun: the submit that was out never ran.
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

// assumeAllMayHaveRun: records were lost, and nobody knows what of. A text that is held may have been submitted in them, at the
// earliest when it was taken; or it may have ended. So it counts as one that may have run.
func (s *state) assumeAllMayHaveRun() {
	for _, t := range s.texts {
		t.Attempts++
		if t.FirstRunAt == 0 || t.FirstRunTentative {
			t.FirstRunAt, t.FirstRunTentative = max(1, t.AcceptedAt), false
		}
	}
}

// latestTime is the latest instant that anything of what is held tells of.
func (s *state) latestTime() (at control.Time) {
	for _, t := range s.texts {
		at = max(at, t.AcceptedAt, t.FirstRunAt)
	}
	return at
}

// adjustForClockStep: the clock was put back since, by so much at least. How long ago anything was cannot be known any more: the
// time in which a repeat is known counts as over, and validity periods end sooner by what is known.
func (s *state) adjustForClockStep(step control.Time) {
	for _, t := range s.texts {
		t.ValidUntil -= step
		t.AcceptedAt = 0
		if t.FirstRunAt > 0 {
			t.FirstRunAt = 1
		}
	}
}

// unfinished gives the texts that have no end yet, in the order they were taken, and the notices that are due.
func (s *state) unfinished() ([]*Text, []*Notice) {
	return slices.SortedFunc(maps.Values(s.texts), func(a, b *Text) int { return int(int64(a.Seq - b.Seq)) }),
		slices.SortedFunc(maps.Values(s.notices), func(a, b *Notice) int { return int(int64(a.Seq - b.Seq)) })
}

// recordOf gives the record that makes what is live of an id again; false if nothing is.
func (s *state) recordOf(id string) (record, bool) {
	if t := s.texts[id]; t != nil {
		return t.toRecord(), true
	}
	if n := s.notices[id]; n != nil {
		return jsonRecord(kindEndedOwingNotice, n), true
	}
	return record{}, false
}

// record is one, without its number and checksum.
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

// mustMarshal cannot fail: what is written has only plain fields.
func mustMarshal(value any) []byte {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return b
}

// parseID reads the id of what is written in a record.
func parseID(meta []byte) string {
	var n idRecord
	if json.Unmarshal(meta, &n) != nil {
		return ""
	}
	return n.ID
}
