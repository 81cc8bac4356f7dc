package storewire_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/storewire"
)

// The tests here guard against records that are lost, hidden or declared missing when stores fail, return, are retired, are
// replaced or lose their disks in any order: a model of the views and of who holds what, without messages or time. The
// control state and the quorums are the real ones; the model's stores follow the rules in the package comment.

// modelFault is a fault that a test puts into the model to show that it is seen.
type modelFault int

const (
	noFault modelFault = iota
	// removeUnsettled removes a failed store although the others have not copied what it held.
	removeUnsettled
	// removeSeveral removes any number of stores that are down, one after the other, while the quorums count only the rest.
	removeSeveral
	// answerUnderOldView lets a store answer as complete although it does not know the view of the request.
	answerUnderOldView
)

// record is an acknowledged turn or reservation.
type record int

// modelStore is a store with its disk.
type modelStore struct {
	member    controlstate.StoreMember
	up        bool
	gone      bool // it will never come back
	view      storewire.View
	complete  bool
	unsettled bool
	holds     map[record]bool
}

// model is a cluster of stores.
type model struct {
	random       *rand.Rand
	fault        modelFault
	state        *controlstate.State
	stores       []*modelStore
	nextID       int
	nextRecord   record
	turns        []record
	reservations []record
	history      []string
}

func newModel(seed uint64, tolerance, count int, fault modelFault) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), fault: fault, state: controlstate.New()}
	for range count {
		m.addStore(fmt.Sprint("node-", m.nextID), tolerance, true)
	}
	for _, s := range m.stores {
		s.complete = true
		s.learnView(m.view())
	}
	return m
}

func (m *model) view() storewire.View { return storewire.ViewOf(m.state.Stores()) }

func (m *model) apply(c controlstate.Command) bool {
	raw, changed := m.state.Apply(controlstate.EncodeCommand(c))
	result, err := controlstate.DecodeResult(raw)
	return err == nil && changed && result.Status == controlstate.StatusOK
}

// addStore registers a store with an empty disk on a node.
func (m *model) addStore(node string, tolerance int, bootstrap bool) *modelStore {
	m.nextID++
	id := fmt.Sprint("disk-", m.nextID)
	s := &modelStore{up: true, holds: map[record]bool{}}
	s.member = controlstate.StoreMember{ID: id, Node: node, Address: id}
	m.stores = append(m.stores, s)
	m.apply(controlstate.Command{Kind: controlstate.RegisterStore, Store: s.member, Tolerance: tolerance, Bootstrap: bootstrap})
	return s
}

func (m *model) storeOf(id string) *modelStore {
	index := slices.IndexFunc(m.stores, func(s *modelStore) bool { return s.member.ID == id })
	return m.stores[index]
}

func (s *modelStore) learnView(view storewire.View) {
	if view.Epoch <= s.view.Epoch {
		return
	}
	s.unsettled = s.unsettled || view.ActiveMemberLeft(&s.view)
	s.view = view
}

// answersUnder reports whether the store's answers count for a request of a view.
func (m *model) answersUnder(s *modelStore, view *storewire.View) bool {
	knowsView := s.view.Epoch >= view.Epoch || m.fault == answerUnderOldView
	return s.up && s.view.IndexOf(s.member.ID) >= 0 && s.complete && knowsView
}

// members returns the stores of the view that satisfy a condition, in random order.
func (m *model) members(view *storewire.View, condition func(*modelStore, storewire.Member) bool) []*modelStore {
	var found []*modelStore
	for _, member := range view.Members {
		if s := m.storeOf(member.ID); condition(s, member) {
			found = append(found, s)
		}
	}
	m.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found
}

// commitTurn stores a turn at one more active store than may be lost, under the newest view.
func (m *model) commitTurn() {
	view := m.view()
	active := m.members(&view, func(s *modelStore, member storewire.Member) bool { return s.up && !member.Retiring })
	if len(active) < view.Copies() {
		return
	}
	turn := m.newRecord()
	for _, s := range active[:view.Copies()] {
		s.learnView(view) // the fence: it serves nothing of older views from now on
		s.holds[turn] = true
	}
	m.turns = append(m.turns, turn)
}

func (m *model) newRecord() record {
	m.nextRecord++
	return m.nextRecord
}

// reserve stores a reservation at a quorum, and returns what is wrong if the quorum misses an earlier one.
func (m *model) reserve() error {
	view := m.view()
	settled := m.members(&view, func(s *modelStore, member storewire.Member) bool {
		return !member.Retiring && m.answersUnder(s, &view) && !s.unsettled
	})
	if view.ActiveCount() < view.Copies() || len(settled) < view.Quorum() {
		return nil
	}
	quorum := settled[:view.Quorum()]
	for _, earlier := range m.reservations {
		if !slices.ContainsFunc(quorum, func(s *modelStore) bool { return s.holds[earlier] }) {
			return fmt.Errorf("a quorum of epoch %d misses reservation %d", view.Epoch, earlier)
		}
	}
	reservation := m.newRecord()
	for _, s := range quorum {
		s.holds[reservation] = true
	}
	m.reservations = append(m.reservations, reservation)
	return nil
}

// catchUp lets a store compare itself with as many others as answer.
func (m *model) catchUp(s *modelStore) {
	index := s.view.IndexOf(s.member.ID)
	if !s.up || index < 0 {
		return
	}
	s.complete = s.complete || !s.view.Members[index].Replaced
	quorum := s.view.CatchUpQuorum()
	if s.complete {
		quorum = s.view.SettleQuorum()
	}
	if s.complete && !s.unsettled {
		return
	}
	view := s.view
	others := m.members(&view, func(o *modelStore, _ storewire.Member) bool { return o != s && m.answersUnder(o, &view) })
	if len(others) < quorum {
		return
	}
	for _, other := range others[:max(quorum, m.random.IntN(len(others)+1))] {
		for held := range other.holds {
			s.holds[held] = true
		}
	}
	s.complete, s.unsettled = true, false
}

// lostDisks counts the machines that count as lost with their disks: those gone for good and those that have not caught up.
func (m *model) lostDisks() int {
	view := m.view()
	return len(m.members(&view, func(s *modelStore, _ storewire.Member) bool { return s.gone || !s.complete }))
}

// loseDisk takes the disk of a member, if one more may be lost now. The machine returns with an empty one, or is replaced.
func (m *model) loseDisk(s *modelStore, tolerance int, replaced bool) {
	view := m.view()
	if view.IndexOf(s.member.ID) < 0 || s.gone || m.lostDisks() >= tolerance {
		return
	}
	s.up, s.gone, s.holds = false, true, map[record]bool{}
	if replaced {
		m.addStore(fmt.Sprint("node-", m.nextID), tolerance, false)
		return
	}
	m.addStore(s.member.Node, tolerance, false)
}

// checkMissing returns an error if so many members that don't hold a turn answer that it counts as missing.
func (m *model) checkMissing() error {
	view := m.view()
	for _, turn := range m.turns {
		unknown := m.members(&view, func(s *modelStore, _ storewire.Member) bool {
			return m.answersUnder(s, &view) && !s.unsettled && !s.holds[turn]
		})
		known := m.members(&view, func(s *modelStore, _ storewire.Member) bool { return s.up && s.holds[turn] })
		if len(known) == 0 && len(unknown) >= view.NotFoundQuorum() {
			return fmt.Errorf("turn %d counts as missing in epoch %d", turn, view.Epoch)
		}
	}
	return nil
}

// checkLost returns an error if no disk holds a turn any more.
func (m *model) checkLost() error {
	for _, turn := range m.turns {
		if !slices.ContainsFunc(m.stores, func(s *modelStore) bool { return !s.gone && s.holds[turn] }) {
			return fmt.Errorf("turn %d is lost", turn)
		}
	}
	return nil
}

// monitor marks, restores and removes members as the control planes do.
func (m *model) monitor() {
	view := m.view()
	for _, member := range m.state.FailedStores() {
		if m.storeOf(member.ID).up {
			m.apply(controlstate.Command{Kind: controlstate.RestoreStore, StoreID: member.ID})
		}
	}
	for _, member := range view.Members {
		if m.storeOf(member.ID).up {
			continue
		}
		if m.fault == removeSeveral && view.ActiveCount() > view.Tolerance+1 {
			m.removeWithoutCheck(member)
			view = m.view()
			continue
		}
		m.apply(controlstate.Command{Kind: controlstate.FailStore, StoreID: member.ID, Base: uint64(view.Epoch), HasBase: true})
	}
	m.removeFailed()
}

// removeWithoutCheck removes a store though it is active: by a retirement that is declared complete at once.
func (m *model) removeWithoutCheck(member storewire.Member) {
	m.apply(controlstate.Command{Kind: controlstate.RetireStore, Node: member.Node})
	m.apply(controlstate.Command{Kind: controlstate.RetireCompleted, Node: member.Node, StoreID: member.ID})
}

func (m *model) removeFailed() {
	view := m.view()
	pending := m.members(&view, func(s *modelStore, member storewire.Member) bool {
		return !member.Retiring && !(m.answersUnder(s, &view) && !s.unsettled)
	})
	if len(pending) > 0 && m.fault != removeUnsettled {
		return
	}
	for _, member := range m.state.FailedStores() {
		if !m.storeOf(member.ID).up {
			m.apply(controlstate.Command{Kind: controlstate.RemoveStore, StoreID: member.ID, Base: uint64(view.Epoch), HasBase: true})
		}
	}
}

// retire begins the retirement of a member, or ends it once the active members hold all that it holds.
func (m *model) retire(s *modelStore) {
	if m.state.Retirement(s.member.Node) != controlstate.RetirementRunning {
		m.apply(controlstate.Command{Kind: controlstate.RetireStore, Node: s.member.Node})
		return
	}
	view := m.view()
	if !m.answersUnder(s, &view) {
		return
	}
	active := m.members(&view, func(_ *modelStore, member storewire.Member) bool { return !member.Retiring })
	for _, other := range active {
		if !other.up {
			return
		}
		other.learnView(view)
		for held := range s.holds {
			other.holds[held] = true
		}
	}
	m.apply(controlstate.Command{Kind: controlstate.RetireCompleted, Node: s.member.Node, StoreID: s.member.ID})
}

// comeBack starts a store that was down, with its disk. One that was removed meanwhile registers again.
func (m *model) comeBack(s *modelStore, tolerance int) {
	s.up = true
	view := m.view()
	if view.IndexOf(s.member.ID) < 0 {
		m.apply(controlstate.Command{Kind: controlstate.RegisterStore, Store: s.member, Tolerance: tolerance})
	}
}

// step does one thing that may happen at any time.
func (m *model) step(tolerance int) error {
	s := m.stores[m.random.IntN(len(m.stores))]
	kind := m.random.IntN(14)
	m.history = append(m.history, fmt.Sprint(kind, " ", s.member.ID))
	switch {
	case kind <= 1:
		m.commitTurn()
	case kind <= 3:
		return m.reserve()
	case kind <= 6:
		s.learnView(m.view())
		m.catchUp(s)
	case kind <= 8:
		m.monitor()
	case kind == 9:
		s.up = false
	case kind == 10 && !s.gone:
		m.comeBack(s, tolerance)
	case kind == 11:
		m.loseDisk(s, tolerance, true)
	case kind == 12:
		m.loseDisk(s, tolerance, false)
	case kind == 13 && !s.gone:
		m.retire(s)
	}
	return nil
}

// run takes steps until something is wrong.
func (m *model) run(steps, tolerance int) error {
	for range steps {
		err := m.step(tolerance)
		if err == nil {
			err = m.checkLost()
		}
		if err == nil {
			err = m.checkMissing()
		}
		if err != nil {
			return fmt.Errorf("%w after %v", err, m.history)
		}
	}
	return nil
}

// runModels runs many seeds for each size and returns the first error.
func runModels(seeds uint64, fault modelFault) error {
	const steps = 60
	for tolerance := range 3 {
		for count := max(3, tolerance+1); count <= 6; count++ {
			for seed := range seeds {
				if err := newModel(seed, tolerance, count, fault).run(steps, tolerance); err != nil {
					return fmt.Errorf("%d stores, tolerance %d, seed %d: %w", count, tolerance, seed, err)
				}
			}
		}
	}
	return nil
}

func TestNoRecordIsLostHiddenOrDeclaredMissingInAnyOrderOfLosses(t *testing.T) {
	if err := runModels(1500, noFault); err != nil {
		t.Fatal(err)
	}
}

// Guards against a model that sees nothing: each of the faults must show.
func TestTheModelSeesStoresThatAreRemovedTooEarly(t *testing.T) {
	for _, fault := range []modelFault{removeUnsettled, removeSeveral, answerUnderOldView} {
		if err := runModels(1500, fault); err == nil {
			t.Errorf("fault %d was not seen", fault)
		}
	}
}
