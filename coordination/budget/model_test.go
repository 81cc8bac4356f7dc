package budget_test

import (
	"maps"
	"slices"

	"pgregory.net/rapid"

	"emberquay/coordination/budget"
)

// The model simulates stores that crash and lose their disks, proxies that reserve, settle and crash, and a network that
// delays, duplicates and loses messages. Its stores follow the rules of the real ones: fencing by view epoch, no answers
// while incomplete, and catching up from other stores.

// modelStore is a store with a disk. Its memory may be newer than its disk.
type modelStore struct {
	disk          int // id of the disk, replaced when the disk is lost
	memory        map[budget.TurnKey]budget.Entry
	durable       map[budget.TurnKey]budget.Entry
	fence         int
	complete      bool
	comparedWith  map[int]bool // by disk: the stores it has caught up from
	unsentAnswers []modelMessage
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
	s.setMemory(l)
}

func (s *modelStore) setMemory(l *budget.Ledger) {
	s.memory = map[budget.TurnKey]budget.Entry{}
	for _, e := range l.Entries(nil) {
		s.memory[e.Turn] = e
	}
}

// sync writes the memory to the disk and sends the answers that waited for it.
func (s *modelStore) sync(m *model) {
	s.durable = maps.Clone(s.memory)
	m.messages = append(m.messages, s.unsentAnswers...)
	s.unsentAnswers = nil
}

// modelView is the list of current disks, by store.
type modelView struct {
	epoch int
	disks []int
}

type modelKind int

const (
	reserveRequest modelKind = iota
	recheckRequest
	settleRequest
	reportAnswer
)

type modelMessage struct {
	kind      modelKind
	viewEpoch int
	disk      int // the addressed disk
	store     int
	turn      budget.TurnKey
	tokens    int64 // reserved tokens, used tokens in a settleRequest, -1 in an answer if the reservation was not stored
	round     int
	whole     bool
	report    budget.Report
}

// modelTurn is a turn with its proxy's attempt.
type modelTurn struct {
	key        budget.TurnKey
	maxTokens  int64
	view       modelView
	attempt    *budget.Attempt
	round      int
	decision   budget.Decision
	finished   bool  // settled, withdrawn, or its proxy crashed
	usedTokens int64 // set once finished
}

type model struct {
	t         *rapid.T
	tolerance int
	budget    int64
	stores    []*modelStore
	view      modelView
	turns     []*modelTurn
	messages  []modelMessage
	lastDisk  int
}

func newModel(t *rapid.T, stores, tolerance int) *model {
	m := &model{t: t, tolerance: tolerance, budget: rapid.Int64Range(4, 8).Draw(t, "budget")}
	m.view.epoch = 1
	for range stores {
		m.lastDisk++
		m.stores = append(m.stores, &modelStore{disk: m.lastDisk, fence: 1, complete: true, memory: map[budget.TurnKey]budget.Entry{}})
		m.view.disks = append(m.view.disks, m.lastDisk)
	}
	return m
}

func (m *model) quorum() int {
	n := len(m.stores)
	return max(n-m.tolerance, n/2+1)
}

func (m *model) send(t *modelTurn, kind modelKind, whole bool) {
	for store, disk := range t.view.disks {
		m.messages = append(m.messages, modelMessage{kind: kind, viewEpoch: t.view.epoch, disk: disk, store: store,
			turn: t.key, tokens: t.maxTokens, round: t.round, whole: whole})
	}
}

func (m *model) startTurn() {
	t := &modelTurn{key: budget.TurnKey(len(m.turns) + 1), maxTokens: rapid.Int64Range(3, 8).Draw(m.t, "most")}
	m.turns = append(m.turns, t)
	m.startAttempt(t)
}

// startAttempt starts an attempt under the newest view.
func (m *model) startAttempt(t *modelTurn) {
	t.view = modelView{epoch: m.view.epoch, disks: slices.Clone(m.view.disks)}
	t.attempt = budget.NewAttempt(m.budget, len(m.stores), m.quorum())
	t.round += 10 // answers to earlier rounds are ignored
	m.send(t, reserveRequest, false)
}

// deliver handles one message at its recipient.
func (m *model) deliver(x modelMessage) {
	if x.kind == reportAnswer {
		m.receiveReport(x)
		return
	}
	s := m.stores[x.store]
	if s.disk != x.disk || x.viewEpoch < s.fence {
		return
	}
	s.fence = x.viewEpoch
	answer := modelMessage{kind: reportAnswer, store: x.store, turn: x.turn, round: x.round}
	switch x.kind {
	case settleRequest:
		s.merge(budget.Entry{Turn: x.turn, Tokens: x.tokens})
		return
	case reserveRequest:
		l := s.ledger()
		if l.SettledTokens() < m.budget {
			l.Reserve(x.turn, x.tokens)
			s.setMemory(l)
		} else if _, known := s.memory[x.turn]; !known {
			answer.tokens = -1 // not stored
		}
	}
	answer.report = s.ledger().Report(x.turn, x.whole || rapid.Bool().Draw(m.t, "whole"))
	if !s.complete {
		return
	}
	if answer.tokens < 0 && !answer.report.TurnClosed && answer.report.SettledTokens < m.budget {
		return
	}
	if x.kind == recheckRequest {
		m.messages = append(m.messages, answer)
		return
	}
	s.unsentAnswers = append(s.unsentAnswers, answer)
}

// receiveReport handles a report at the proxy.
func (m *model) receiveReport(x modelMessage) {
	t := m.turns[x.turn-1]
	if t.finished || t.decision != budget.Pending || x.round != t.round {
		return
	}
	t.attempt.AddReport(x.store, x.report)
	t.decision = t.attempt.Decide()
	switch t.decision {
	case budget.Pending:
		if t.attempt.NeedsWholeLists() {
			m.recheck(t)
		}
	case budget.Granted:
		m.checkInvariant()
	default:
		m.finish(t, 0)
	}
}

func (m *model) recheck(t *modelTurn) {
	whole := t.attempt.StartSecondRound()
	t.round++
	m.send(t, recheckRequest, whole)
}

// finish settles a turn at the tokens it used.
func (m *model) finish(t *modelTurn, usedTokens int64) {
	t.finished = true
	t.usedTokens = usedTokens
	maxTokens := t.maxTokens
	t.maxTokens = usedTokens
	m.send(t, settleRequest, false)
	t.maxTokens = maxTokens
}

// checkInvariant fails unless the granted turns, each at its used or reserved tokens, together stay below the budget plus
// the largest reservation of one of them.
func (m *model) checkInvariant() {
	total, largest := int64(0), int64(0)
	for _, t := range m.turns {
		if t.decision != budget.Granted {
			continue
		}
		largest = max(largest, t.maxTokens)
		if t.finished {
			total += t.usedTokens
		} else {
			total += t.maxTokens
		}
	}
	if total >= m.budget+largest {
		m.t.Fatalf("granted turns use %d tokens of a budget of %d; the largest reservation is %d", total, m.budget, largest)
	}
}

// loseDisk replaces the disk of a store by an empty one, if another loss is tolerated.
func (m *model) loseDisk(s *modelStore) {
	incomplete := 0
	for _, other := range m.stores {
		if !other.complete {
			incomplete++
		}
	}
	if incomplete >= m.tolerance || !s.complete {
		return
	}
	m.lastDisk++
	*s = modelStore{disk: m.lastDisk, comparedWith: map[int]bool{}, memory: map[budget.TurnKey]budget.Entry{}}
	m.view.epoch++
	m.view.disks = slices.Clone(m.view.disks)
	m.view.disks[slices.Index(m.stores, s)] = s.disk
}

// catchUp copies the entries of another store to an incomplete one.
func (m *model) catchUp(s, other *modelStore) {
	if s.complete || !other.complete || s == other {
		return
	}
	other.fence = max(other.fence, m.view.epoch)
	s.fence = max(s.fence, m.view.epoch)
	for _, e := range other.memory {
		s.merge(e)
	}
	s.comparedWith[other.disk] = true
	others := len(m.stores) - 1
	needed := min(others, max(len(m.stores)-m.tolerance, len(m.stores)-m.quorum()+1))
	if len(s.comparedWith) >= needed {
		s.complete = true
		s.sync(m)
	}
}

func (m *model) randomStep() {
	store := m.stores[rapid.IntRange(0, len(m.stores)-1).Draw(m.t, "store")]
	switch rapid.IntRange(0, 25).Draw(m.t, "event") {
	case 0, 1:
		if len(m.turns) < 8 {
			m.startTurn()
		}
	case 2:
		m.loseDisk(store)
	case 3:
		store.memory = maps.Clone(store.durable) // the store crashes
		if store.memory == nil {
			store.memory = map[budget.TurnKey]budget.Entry{}
		}
		store.unsentAnswers = nil
	case 4:
		m.catchUp(store, m.stores[rapid.IntRange(0, len(m.stores)-1).Draw(m.t, "other")])
	case 5, 6, 7:
		store.sync(m)
	case 8, 9, 10, 11:
		m.randomProxyStep()
	case 12, 13, 14, 15, 16, 17, 18, 19:
		m.randomExchange(store)
	default:
		m.deliverRandom()
	}
}

// randomProxyStep performs a random action of the proxy of a turn.
func (m *model) randomProxyStep() {
	if len(m.turns) == 0 {
		return
	}
	t := m.turns[rapid.IntRange(0, len(m.turns)-1).Draw(m.t, "turn")]
	if t.finished {
		return
	}
	if t.decision == budget.Granted {
		m.finish(t, rapid.Int64Range(0, t.maxTokens).Draw(m.t, "used"))
		return
	}
	switch rapid.IntRange(0, 3).Draw(m.t, "proxy") {
	case 0, 1:
		if t.attempt.HasQuorum() && t.round%10 == 0 {
			m.recheck(t)
		}
	case 2:
		if t.view.epoch < m.view.epoch {
			m.startAttempt(t)
		}
	case 3:
		m.finish(t, 0) // the proxy gives up
	}
}

// randomExchange delivers all messages between a random turn and a store.
func (m *model) randomExchange(s *modelStore) {
	if len(m.turns) == 0 {
		return
	}
	m.exchange(m.turns[rapid.IntRange(0, len(m.turns)-1).Draw(m.t, "turn")], s)
}

func (m *model) exchange(t *modelTurn, s *modelStore) {
	store := slices.Index(m.stores, s)
	for range 2 { // the requests, then the answers
		matches := func(x modelMessage) bool { return x.turn == t.key && x.store == store }
		inFlight := slices.Clone(m.messages)
		m.messages = slices.DeleteFunc(m.messages, matches)
		for _, x := range inFlight {
			if matches(x) {
				m.deliver(x)
			}
		}
		s.sync(m)
	}
}

// deliverRandom delivers a random message, or duplicates or loses it.
func (m *model) deliverRandom() {
	if len(m.messages) == 0 {
		return
	}
	index := rapid.IntRange(0, len(m.messages)-1).Draw(m.t, "message")
	x := m.messages[index]
	fate := rapid.IntRange(0, 9).Draw(m.t, "fate")
	if fate > 0 {
		m.messages = slices.Delete(m.messages, index, index+1)
	}
	if fate < 9 {
		m.deliver(x)
	}
}
