package budget_test

import (
	"maps"
	"slices"

	"pgregory.net/rapid"

	"emberquay/coordination/budget"
)

// The model: stores that crash and lose their disks, proxies that reserve, settle and die, and a network that delays,
// repeats and loses messages. It follows the rules of the stores' runtime: fences, completeness, catching up.

// modelStore is a machine with a disk. Its memory runs ahead of its disk.
type modelStore struct {
	disk     int // drawn anew when the disk is lost
	memory   map[budget.TurnKey]budget.Entry
	durable  map[budget.TurnKey]budget.Entry
	fence    int
	complete bool
	compared map[int]bool // disks it has caught up with
	waiting  []modelMessage
}

func (s *modelStore) ledger() *budget.Ledger {
	var l budget.Ledger
	for _, e := range s.memory {
		l.Merge(e)
	}
	return &l
}

func (s *modelStore) merge(e budget.Entry) {
	l := s.ledger()
	l.Merge(e)
	s.take(l)
}

func (s *modelStore) take(l *budget.Ledger) {
	s.memory = map[budget.TurnKey]budget.Entry{}
	for _, e := range l.Entries(nil) {
		s.memory[e.Turn] = e
	}
}

// sync brings the memory to the disk and lets the answers go that waited for it.
func (s *modelStore) sync(m *model) {
	s.durable = maps.Clone(s.memory)
	m.messages = append(m.messages, s.waiting...)
	s.waiting = nil
}

// modelView is the list of disks in force, by machine.
type modelView struct {
	epoch int
	disks []int
}

type modelKind int

const (
	askReserve modelKind = iota
	askRecheck
	askSettle
	tellReport
)

type modelMessage struct {
	kind   modelKind
	view   int // epoch
	disk   int // that is meant
	store  int
	turn   budget.TurnKey
	most   int64 // or used
	round  int
	whole  bool
	report budget.Report
}

// modelTurn is a turn and its proxy's attempt.
type modelTurn struct {
	key     budget.TurnKey
	most    int64
	view    modelView
	attempt *budget.Attempt
	round   int
	verdict budget.Decision
	over    bool  // settled, withdrawn, or its proxy died
	used    int64 // once over
}

type model struct {
	t         *rapid.T
	tolerance int
	budget    int64
	stores    []*modelStore
	view      modelView
	turns     []*modelTurn
	messages  []modelMessage
	disks     int
}

func newModel(t *rapid.T, stores, tolerance int) *model {
	m := &model{t: t, tolerance: tolerance, budget: rapid.Int64Range(4, 8).Draw(t, "budget")}
	m.view.epoch = 1
	for range stores {
		m.disks++
		m.stores = append(m.stores, &modelStore{disk: m.disks, fence: 1, complete: true, memory: map[budget.TurnKey]budget.Entry{}})
		m.view.disks = append(m.view.disks, m.disks)
	}
	return m
}

func (m *model) quorum() int {
	n := len(m.stores)
	return max(n-m.tolerance, n/2+1)
}

func (m *model) send(t *modelTurn, kind modelKind, whole bool) {
	for store, disk := range t.view.disks {
		m.messages = append(m.messages, modelMessage{kind: kind, view: t.view.epoch, disk: disk, store: store,
			turn: t.key, most: t.most, round: t.round, whole: whole})
	}
}

func (m *model) begin() {
	t := &modelTurn{key: budget.TurnKey(len(m.turns) + 1), most: rapid.Int64Range(3, 8).Draw(m.t, "most")}
	m.turns = append(m.turns, t)
	m.restart(t)
}

// restart begins an attempt under the newest view.
func (m *model) restart(t *modelTurn) {
	t.view = modelView{epoch: m.view.epoch, disks: slices.Clone(m.view.disks)}
	t.attempt = budget.NewAttempt(m.budget, len(m.stores), m.quorum())
	t.round += 10 // answers to earlier rounds don't count
	m.send(t, askReserve, false)
}

// deliver takes one message.
func (m *model) deliver(x modelMessage) {
	if x.kind == tellReport {
		m.hear(x)
		return
	}
	s := m.stores[x.store]
	if s.disk != x.disk || x.view < s.fence {
		return
	}
	s.fence = x.view
	answer := modelMessage{kind: tellReport, store: x.store, turn: x.turn, round: x.round}
	switch x.kind {
	case askSettle:
		s.merge(budget.Entry{Turn: x.turn, Tokens: x.most})
		return
	case askReserve:
		l := s.ledger()
		if l.SettledTokens() < m.budget {
			l.Reserve(x.turn, x.most)
			s.take(l)
		} else if _, known := s.memory[x.turn]; !known {
			answer.most = -1 // not kept
		}
	}
	answer.report = s.ledger().Report(x.turn, x.whole || rapid.Bool().Draw(m.t, "whole"))
	if !s.complete {
		return
	}
	if answer.most < 0 && !answer.report.TurnClosed && answer.report.SettledTokens < m.budget {
		return
	}
	if x.kind == askRecheck {
		m.messages = append(m.messages, answer)
		return
	}
	s.waiting = append(s.waiting, answer)
}

// hear takes a report at the proxy.
func (m *model) hear(x modelMessage) {
	t := m.turns[x.turn-1]
	if t.over || t.verdict != budget.Pending || x.round != t.round {
		return
	}
	t.attempt.AddReport(x.store, x.report)
	t.verdict = t.attempt.Decide()
	switch t.verdict {
	case budget.Pending:
		if t.attempt.NeedsWholeLists() {
			m.recheck(t)
		}
	case budget.Granted:
		m.check()
	default:
		m.finish(t, 0)
	}
}

func (m *model) recheck(t *modelTurn) {
	whole := t.attempt.StartSecondRound()
	t.round++
	m.send(t, askRecheck, whole)
}

// finish settles a turn.
func (m *model) finish(t *modelTurn, used int64) {
	t.over = true
	t.used = used
	kept := t.most
	t.most = used
	m.send(t, askSettle, false)
	t.most = kept
}

// check: all that was granted, at what it used or may use yet, is below the budget and the most of one turn.
func (m *model) check() {
	sum, most := int64(0), int64(0)
	for _, t := range m.turns {
		if t.verdict != budget.Granted {
			continue
		}
		most = max(most, t.most)
		if t.over {
			sum += t.used
		} else {
			sum += t.most
		}
	}
	if sum >= m.budget+most {
		m.t.Fatalf("%d tokens of a budget of %d, the most of one turn being %d", sum, m.budget, most)
	}
}

// wipe loses a disk, if so many may be lost.
func (m *model) wipe(s *modelStore) {
	lost := 0
	for _, other := range m.stores {
		if !other.complete {
			lost++
		}
	}
	if lost >= m.tolerance || !s.complete {
		return
	}
	m.disks++
	*s = modelStore{disk: m.disks, compared: map[int]bool{}, memory: map[budget.TurnKey]budget.Entry{}}
	m.view.epoch++
	m.view.disks = slices.Clone(m.view.disks)
	m.view.disks[slices.Index(m.stores, s)] = s.disk
}

// catchUp compares an incomplete store with one other.
func (m *model) catchUp(s, other *modelStore) {
	if s.complete || !other.complete || s == other {
		return
	}
	other.fence = max(other.fence, m.view.epoch)
	s.fence = max(s.fence, m.view.epoch)
	for _, e := range other.memory {
		s.merge(e)
	}
	s.compared[other.disk] = true
	others := len(m.stores) - 1
	need := min(others, max(len(m.stores)-m.tolerance, len(m.stores)-m.quorum()+1))
	if len(s.compared) >= need {
		s.complete = true
		s.sync(m)
	}
}

func (m *model) step() {
	store := m.stores[rapid.IntRange(0, len(m.stores)-1).Draw(m.t, "store")]
	switch rapid.IntRange(0, 25).Draw(m.t, "event") {
	case 0, 1:
		if len(m.turns) < 8 {
			m.begin()
		}
	case 2:
		m.wipe(store)
	case 3:
		store.memory = maps.Clone(store.durable) // a crash
		if store.memory == nil {
			store.memory = map[budget.TurnKey]budget.Entry{}
		}
		store.waiting = nil
	case 4:
		m.catchUp(store, m.stores[rapid.IntRange(0, len(m.stores)-1).Draw(m.t, "other")])
	case 5, 6, 7:
		store.sync(m)
	case 8, 9, 10, 11:
		m.proxyStep()
	case 12, 13, 14, 15, 16, 17, 18, 19:
		m.exchange(store)
	default:
		m.deliverSome()
	}
}

// proxyStep does something at the proxy of a turn.
func (m *model) proxyStep() {
	if len(m.turns) == 0 {
		return
	}
	t := m.turns[rapid.IntRange(0, len(m.turns)-1).Draw(m.t, "turn")]
	if t.over {
		return
	}
	if t.verdict == budget.Granted {
		m.finish(t, rapid.Int64Range(0, t.most).Draw(m.t, "used"))
		return
	}
	switch rapid.IntRange(0, 3).Draw(m.t, "proxy") {
	case 0, 1:
		if t.attempt.HasQuorum() && t.round%10 == 0 {
			m.recheck(t)
		}
	case 2:
		if t.view.epoch < m.view.epoch {
			m.restart(t)
		}
	case 3:
		m.finish(t, 0) // gives up
	}
}

// exchange lets a store answer all that a turn has asked it.
func (m *model) exchange(s *modelStore) {
	if len(m.turns) == 0 {
		return
	}
	m.exchangeTurn(m.turns[rapid.IntRange(0, len(m.turns)-1).Draw(m.t, "turn")], s)
}

func (m *model) exchangeTurn(t *modelTurn, s *modelStore) {
	at := slices.Index(m.stores, s)
	for range 2 { // the calls, then the answers
		mine := func(x modelMessage) bool { return x.turn == t.key && x.store == at }
		waiting := slices.Clone(m.messages)
		m.messages = slices.DeleteFunc(m.messages, mine)
		for _, x := range waiting {
			if mine(x) {
				m.deliver(x)
			}
		}
		s.sync(m)
	}
}

// deliverSome delivers a message, which may come once more later, or loses it.
func (m *model) deliverSome() {
	if len(m.messages) == 0 {
		return
	}
	at := rapid.IntRange(0, len(m.messages)-1).Draw(m.t, "message")
	x := m.messages[at]
	fate := rapid.IntRange(0, 9).Draw(m.t, "fate")
	if fate > 0 {
		m.messages = slices.Delete(m.messages, at, at+1)
	}
	if fate < 9 {
		m.deliver(x)
	}
}
