package store

import (
	"context"
	"time"

	"emberquay/internal/tier/storewire"
)

// empty brings all that is held to the other stores, and says whether it all is on their disks. Reads are served
// meanwhile; nothing new is placed here.
func (s *Store) empty(ctx context.Context, d duty) bool {
	for member := range d.view.Members {
		if member == d.self || d.view.Members[member].Retiring {
			continue
		}
		s.pushStrays(ctx, d, member, 0)
		s.tellPrograms(ctx, d, member)
	}
	emptied := false
	err := s.do(ctx, func(t *table) bool {
		emptied = t.meta.View.Epoch == d.view.Epoch && t.emptied()
		return false
	})
	if err != nil || !emptied {
		return false
	}
	s.reportRetired(d.view.Epoch)
	return true
}

// tellPrograms brings all programs to a member, once under a view: stores that are retiring take no reservations, so
// none is added.
func (s *Store) tellPrograms(ctx context.Context, d duty, member int) {
	var list []storewire.ProgramDigest
	told := true
	id := d.view.Members[member].ID
	err := s.do(ctx, func(t *table) bool {
		if told = t.meta.View.Epoch != d.view.Epoch || t.programsTold[id]; told {
			return false
		}
		for name, p := range t.programs {
			list = append(list, storewire.ProgramDigest{Name: name, Digest: int64(p.ledger.Digest())})
		}
		return false
	})
	if err != nil || told || !s.pushPrograms(ctx, d, member, list) {
		return
	}
	_ = s.do(ctx, func(t *table) bool { // an error means that they are told once more
		if t.meta.View.Epoch == d.view.Epoch {
			t.programsTold[id] = true
		}
		return false
	})
}

// emptied says whether all that is held is on the disks of others: each turn at as many as a new one, each program at
// all that stay.
func (t *table) emptied() bool {
	view := &t.meta.View
	if !t.retiring() || !t.meta.Complete || view.Active() < view.Copies() {
		return false
	}
	for _, m := range view.Members {
		if !m.Retiring && !t.programsTold[m.ID] {
			return false
		}
	}
	for _, x := range t.turns {
		for rank := range view.Copies() {
			if x.confirmed&rankBit(rank) == 0 {
				return false
			}
		}
	}
	return true
}

// reportRetired calls Options.OnRetired, from time to time.
func (s *Store) reportRetired(epoch int64) {
	now := s.now()
	if s.reported.epoch == epoch && now-s.reported.at < retiredPause {
		return
	}
	s.reported = retiredReport{epoch: epoch, at: now}
	if s.options.OnRetired != nil {
		s.options.OnRetired()
	}
}

// retiredReport is the last call of Options.OnRetired.
type retiredReport struct {
	epoch int64
	at    time.Duration
}
