package store

import (
	"context"
	"slices"
	"time"

	"emberquay/coordination/merkle"
	"emberquay/coordination/placement"
	"emberquay/internal/tier/storewire"
)

const (
	// urgentInterval lies between the first two rounds of a store that is incomplete or being emptied; it doubles up to
	// the usual one, since what those wait for may be down for long.
	urgentInterval = 50 * time.Millisecond
	// peerLimit bounds a call to another store.
	peerLimit = time.Second
	// roundLimit bounds a whole round.
	roundLimit = 5 * time.Second
	// settleTime is how old a turn has to be, and for how long a program has to be idle, before it is offered: what is
	// on its way to the other store anyway is not brought twice.
	settleTime = time.Second
	// offerPage bounds the keys of one offer, 32 KB.
	offerPage = 4096
	// offerPrograms bounds its programs.
	offerPrograms = 512
	// retiredPause lies between two calls of Options.OnRetired.
	retiredPause = 2 * time.Second
)

// repair runs rounds until the store is closed.
func (s *Store) repair() {
	defer s.done.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	urgent := urgentInterval
	for next := 0; ; next++ {
		select {
		case <-timer.C:
		case <-s.kick:
			urgent = urgentInterval
		case <-s.ctx.Done():
			return
		}
		if s.round(next) {
			timer.Reset(urgent)
			urgent = min(2*urgent, s.options.RepairInterval)
			continue
		}
		timer.Reset(s.options.RepairInterval)
		urgent = urgentInterval
	}
}

// duty is what a round has to do.
type duty struct {
	view      storewire.View
	self      int
	complete  bool
	unsettled bool
	retiring  bool
}

// round does one round of repair with the store whose turn it is, and says whether the next one is urgent.
func (s *Store) round(turn int) (urgent bool) {
	ctx, cancel := context.WithTimeout(s.ctx, roundLimit)
	defer cancel()
	var d duty
	err := s.do(ctx, func(t *table) bool {
		t.tidy()
		d = duty{
			view:      t.meta.View,
			self:      t.self,
			complete:  t.meta.Complete,
			unsettled: t.meta.Unsettled,
			retiring:  t.retiring(),
		}
		return true // settlements get to the disk at last
	})
	if err != nil || d.self < 0 {
		return false
	}
	switch {
	case !d.complete || d.unsettled:
		return !s.catchUp(ctx, d)
	case d.retiring:
		return !s.empty(ctx, d)
	}
	if peer, ok := d.peer(turn); ok {
		s.compare(ctx, d, peer)
	}
	return false
}

// peer gives the member whose turn it is.
func (d *duty) peer(turn int) (int, bool) {
	others := len(d.view.Members) - 1
	if others < 1 {
		return 0, false
	}
	return (d.self + 1 + turn%others) % len(d.view.Members), true
}

func (d *duty) header(member int) storewire.Header {
	return storewire.Header{Epoch: d.view.Epoch, Store: d.view.Members[member].ID}
}

// heed takes from a reply what it says of the view, and tells whether the rest of the answer counts.
func (s *Store) heed(r storewire.Reply) bool {
	if r.View.Epoch > 0 {
		s.adopt(r.View)
	}
	return r.Standing == storewire.Served
}

// compare finds out where a member differs, and pushes what it lacks.
func (s *Store) compare(ctx context.Context, d duty, member int) {
	var q storewire.CompareRequest
	var mine, programs []uint64
	current := false
	err := s.do(ctx, func(t *table) bool {
		if current = t.meta.View.Epoch == d.view.Epoch; !current {
			return false
		}
		mine, programs = t.pairs[member].Leaves(), t.programTree.Leaves()
		q = storewire.CompareRequest{
			Header:   d.header(member),
			Sender:   t.meta.ID,
			Turns:    int64(t.pairs[member].Root()),
			Programs: int64(t.programTree.Root()),
		}
		return false
	})
	if err != nil || !current {
		return
	}
	callContext, cancel := context.WithTimeout(ctx, peerLimit)
	defer cancel()
	a, err := s.caller.Compare(callContext, d.view.Members[member].Address, q)
	if err != nil || !s.heed(a.Reply) {
		return
	}
	if len(a.Turns) > 0 {
		s.pushTurns(ctx, d, member, s.keysIn(ctx, d, member, merkle.DifferingRanges(mine, unsigned(a.Turns))))
	}
	if len(a.Programs) > 0 {
		s.pushPrograms(ctx, d, member, s.programsIn(ctx, merkle.DifferingRanges(programs, unsigned(a.Programs))))
	}
	s.pushStrays(ctx, d, member, settleTime)
}

// keysIn gives the turns of some ranges that belong at a member too.
func (s *Store) keysIn(ctx context.Context, d duty, member int, ranges []int) []uint64 {
	var keys []uint64
	err := s.do(ctx, func(t *table) bool {
		if t.meta.View.Epoch != d.view.Epoch {
			return false
		}
		for key, x := range t.turns {
			if !slices.Contains(ranges, merkle.RangeOf(key)) || t.now()-x.arrived < settleTime {
				continue
			}
			if places := t.placesOf(x); slices.Contains(places, member) && slices.Contains(places, t.self) {
				keys = append(keys, key)
			}
		}
		return false
	})
	if err != nil {
		return nil
	}
	return keys
}

// programsIn gives the programs of some ranges that have been idle for a while.
func (s *Store) programsIn(ctx context.Context, ranges []int) []storewire.ProgramDigest {
	var list []storewire.ProgramDigest
	err := s.do(ctx, func(t *table) bool {
		for name, p := range t.programs {
			idle := t.now() - p.touched
			if idle < settleTime || idle > programLife-programFade {
				continue
			}
			if slices.Contains(ranges, merkle.RangeOf(placement.KeyOf(name))) {
				list = append(list, storewire.ProgramDigest{Name: name, Digest: int64(p.ledger.Digest())})
			}
		}
		return false
	})
	if err != nil {
		return nil
	}
	return list
}

// pushTurns brings to a member the turns that it lacks, and says whether it holds all of them on its disk then.
func (s *Store) pushTurns(ctx context.Context, d duty, member int, keys []uint64) bool {
	for page := range slices.Chunk(keys, offerPage) {
		var packed []byte
		for _, key := range page {
			packed = storewire.AppendKey(packed, key)
		}
		a, ok := s.offer(ctx, d, member, storewire.OfferRequest{Turns: packed})
		if !ok {
			return false
		}
		wanted := make([]uint64, 0, len(a.Turns))
		for _, at := range a.Turns {
			if at >= 0 && at < len(page) {
				wanted = append(wanted, page[at])
			}
		}
		if !s.pushKeys(ctx, d, member, wanted) {
			return false
		}
	}
	return true
}

// pushKeys brings turns to a member, in messages of bounded size.
func (s *Store) pushKeys(ctx context.Context, d duty, member int, keys []uint64) bool {
	for len(keys) > 0 {
		var found []located
		looked := 0
		err := s.do(ctx, func(t *table) bool {
			found, looked = t.locate(keys)
			return false
		})
		if err != nil {
			return false
		}
		parcels, err := s.parcels(found)
		if err != nil {
			return false // a record was moved meanwhile, or the disk fails: the next round tries anew
		}
		if !s.push(ctx, d, member, storewire.PushRequest{Parcels: parcels}) {
			return false
		}
		keys = keys[looked:]
	}
	return true
}

// pushPrograms brings to a member the programs of which it knows something else, and says whether it knows all that
// was known here when the list was made.
func (s *Store) pushPrograms(ctx context.Context, d duty, member int, list []storewire.ProgramDigest) bool {
	for page := range slices.Chunk(list, offerPrograms) {
		a, ok := s.offer(ctx, d, member, storewire.OfferRequest{Programs: page})
		if !ok {
			return false
		}
		for _, at := range a.Programs {
			if at < 0 || at >= len(page) {
				continue
			}
			if !s.pushProgram(ctx, d, member, page[at].Name) {
				return false
			}
		}
	}
	return true
}

func (s *Store) pushProgram(ctx context.Context, d duty, member int, name string) bool {
	var programs []storewire.Program
	err := s.do(ctx, func(t *table) bool {
		if p := t.programs[name]; p != nil {
			programs = append(programs, t.wire(p))
		}
		return false
	})
	return err == nil && s.push(ctx, d, member, storewire.PushRequest{Programs: programs})
}

func (s *Store) offer(ctx context.Context, d duty, member int, q storewire.OfferRequest) (storewire.OfferAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerLimit)
	defer cancel()
	q.Header = d.header(member)
	a, err := s.caller.Offer(ctx, d.view.Members[member].Address, q)
	return a, err == nil && s.heed(a.Reply)
}

func (s *Store) push(ctx context.Context, d duty, member int, q storewire.PushRequest) bool {
	if len(q.Parcels) == 0 && len(q.Programs) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, peerLimit)
	defer cancel()
	q.Header = d.header(member)
	a, err := s.caller.Push(ctx, d.view.Members[member].Address, q)
	return err == nil && s.heed(a.Reply)
}

// pushStrays brings to a member the turns that belong at it and not here, and notes that it has them.
func (s *Store) pushStrays(ctx context.Context, d duty, member int, age time.Duration) {
	var keys []uint64
	err := s.do(ctx, func(t *table) bool {
		if t.meta.View.Epoch != d.view.Epoch {
			return false
		}
		for key, x := range t.strays {
			rank := slices.Index(t.placesOf(x), member)
			if rank >= 0 && x.confirmed&rankBit(rank) == 0 && t.now()-x.arrived >= age {
				keys = append(keys, key)
			}
		}
		return false
	})
	if err != nil || len(keys) == 0 || !s.pushTurns(ctx, d, member, keys) {
		return
	}
	_ = s.do(ctx, func(t *table) bool { // an error means that they are brought once more
		if t.meta.View.Epoch != d.view.Epoch {
			return false
		}
		for _, key := range keys {
			x := t.strays[key]
			if x == nil {
				continue
			}
			if rank := slices.Index(t.placesOf(x), member); rank >= 0 {
				x.confirmed |= rankBit(rank)
			}
		}
		return false
	})
}

// rankBit is 0 beyond the eighth place: such a turn is never confirmed everywhere.
func rankBit(rank int) uint8 { return 1 << rank }
