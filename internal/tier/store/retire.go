package store

import (
	"context"
	"time"

	"emberquay/internal/tier/storewire"
)

// handOff copies all held data to the other stores, and reports whether all of it is on their disks. Meanwhile this
// store serves reads, and no new data is placed here.
func (s *Store) handOff(ctx context.Context, round roundInput) bool {
	for member := range round.view.Members {
		if member == round.self || round.view.Members[member].Retiring {
			continue
		}
		s.pushMisplaced(ctx, round, member, 0)
		s.pushAllPrograms(ctx, round, member)
	}
	done := false
	err := s.do(ctx, func(t *table) bool {
		done = t.meta.View.Epoch == round.view.Epoch && t.handedOff()
		return false
	})
	if err != nil || !done {
		return false
	}
	s.notifyRetired(round.view.Epoch)
	return true
}

// pushAllPrograms copies all programs to a member, once per view: retiring stores accept no reservations, so none is
// added afterwards.
func (s *Store) pushAllPrograms(ctx context.Context, round roundInput, member int) {
	var programs []storewire.ProgramDigest
	done := true
	id := round.view.Members[member].ID
	err := s.do(ctx, func(t *table) bool {
		if done = t.meta.View.Epoch != round.view.Epoch || t.hasAllPrograms[id]; done {
			return false
		}
		for name, p := range t.programs {
			programs = append(programs, storewire.ProgramDigest{Name: name, Digest: int64(p.ledger.Digest())})
		}
		return false
	})
	if err != nil || done || !s.pushPrograms(ctx, round, member, programs) {
		return
	}
	_ = s.do(ctx, func(t *table) bool { // after an error they are pushed once more
		if t.meta.View.Epoch == round.view.Epoch {
			t.hasAllPrograms[id] = true
		}
		return false
	})
}

// handedOff reports whether all held data is on the disks of others: each turn on as many as a new turn, each program
// on all members that are not retiring.
func (t *table) handedOff() bool {
	view := &t.meta.View
	if !t.retiring() || !t.meta.Complete || view.ActiveCount() < view.Copies() {
		return false
	}
	for _, m := range view.Members {
		if !m.Retiring && !t.hasAllPrograms[m.ID] {
			return false
		}
	}
	for _, turn := range t.turns {
		for rank := range view.Copies() {
			if turn.confirmedRanks&rankBit(rank) == 0 {
				return false
			}
		}
	}
	return true
}

// notifyRetired calls Options.OnRetired, at most once per retiredCallInterval and view.
func (s *Store) notifyRetired(epoch int64) {
	now := s.now()
	if s.lastRetiredCall.epoch == epoch && now-s.lastRetiredCall.at < retiredCallInterval {
		return
	}
	s.lastRetiredCall = retiredCall{epoch: epoch, at: now}
	if s.options.OnRetired != nil {
		s.options.OnRetired()
	}
}

// retiredCall records a call of Options.OnRetired.
type retiredCall struct {
	epoch int64
	at    time.Duration
}
