package store

import (
	"context"
	"time"

	"emberquay/internal/tier/storewire"
)

// handOff brings all that is held to the other stores, and says whether it all is on their disks. Reads are served
// meanwhile; nothing new is placed here.
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

// pushAllPrograms brings all programs to a member, once under a view: stores that are retiring take no reservations, so
// none is added.
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
	_ = s.do(ctx, func(t *table) bool { // an error means that they are told once more
		if t.meta.View.Epoch == round.view.Epoch {
			t.hasAllPrograms[id] = true
		}
		return false
	})
}

// handedOff says whether all that is held is on the disks of others: each turn at as many as a new one, each program at
// all that stay.
func (t *table) handedOff() bool {
	view := &t.meta.View
	if !t.retiring() || !t.meta.Complete || view.Active() < view.Copies() {
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

// notifyRetired calls Options.OnRetired, from time to time.
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

// retiredCall is the last call of Options.OnRetired.
type retiredCall struct {
	epoch int64
	at    time.Duration
}
