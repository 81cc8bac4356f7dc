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
	// minUrgentInterval is the time between the first two rounds of an incomplete or retiring store. It doubles up to the
	// usual interval, since the stores that it waits for may be down for long.
	minUrgentInterval = 50 * time.Millisecond
	// peerTimeout bounds a call to another store.
	peerTimeout = time.Second
	// roundTimeout bounds a repair round.
	roundTimeout = 5 * time.Second
	// minOfferAge is the age of a turn, and the idle time of a program, from which on it is offered to another store: a
	// record still in flight to that store is not sent twice.
	minOfferAge = time.Second
	// maxOfferKeys bounds the turn keys of one offer to 32 KB.
	maxOfferKeys = 4096
	// maxOfferPrograms bounds the programs of one offer.
	maxOfferPrograms = 512
	// retiredCallInterval is the least time between two calls of Options.OnRetired.
	retiredCallInterval = 2 * time.Second
)

// runRepair runs repair rounds until the store is closed.
func (s *Store) runRepair() {
	defer s.running.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	urgentInterval := minUrgentInterval
	for roundNumber := 0; ; roundNumber++ {
		select {
		case <-timer.C:
		case <-s.wakeRepair:
			urgentInterval = minUrgentInterval
		case <-s.ctx.Done():
			return
		}
		if s.repairRound(roundNumber) {
			timer.Reset(urgentInterval)
			urgentInterval = min(2*urgentInterval, s.options.RepairInterval)
			continue
		}
		timer.Reset(s.options.RepairInterval)
		urgentInterval = minUrgentInterval
	}
}

// roundInput is the state of the store at the start of a repair round.
type roundInput struct {
	view      storewire.View
	self      int
	complete  bool
	unsettled bool
	retiring  bool
}

// repairRound runs one repair round, with the members in rotation, and reports whether the next one is urgent.
func (s *Store) repairRound(roundNumber int) (urgent bool) {
	ctx, cancel := context.WithTimeout(s.ctx, roundTimeout)
	defer cancel()
	var round roundInput
	err := s.do(ctx, func(t *table) bool {
		t.expireAndReclaim()
		round = roundInput{
			view:      t.meta.View,
			self:      t.self,
			complete:  t.meta.Complete,
			unsettled: t.meta.Unsettled,
			retiring:  t.retiring(),
		}
		return true // syncs settlements, which Settle does not wait for
	})
	if err != nil || round.self < 0 {
		return false
	}
	if (!round.complete || round.unsettled) && !s.catchUp(ctx, round) {
		return true
	}
	if round.retiring {
		return !s.handOff(ctx, round)
	}
	if peer, ok := round.peer(roundNumber); ok {
		s.compareWith(ctx, round, peer)
	}
	return false
}

// peer returns the member to compare with in this round; the members take turns.
func (r *roundInput) peer(roundNumber int) (int, bool) {
	others := len(r.view.Members) - 1
	if others < 1 {
		return 0, false
	}
	return (r.self + 1 + roundNumber%others) % len(r.view.Members), true
}

func (r *roundInput) header(member int) storewire.Header {
	return storewire.Header{Epoch: r.view.Epoch, StoreID: r.view.Members[member].ID}
}

// acceptReply applies the view of a reply, if it has one, and reports whether the request was served.
func (s *Store) acceptReply(reply storewire.Reply) bool {
	if reply.View.Epoch > 0 {
		s.applyView(reply.View)
	}
	return reply.Status == storewire.Served
}

// compareWith compares digests with a member and pushes the records that it lacks.
func (s *Store) compareWith(ctx context.Context, round roundInput, member int) {
	var request storewire.CompareRequest
	var turnLeaves, programLeaves []uint64
	current := false
	err := s.do(ctx, func(t *table) bool {
		if current = t.meta.View.Epoch == round.view.Epoch; !current {
			return false
		}
		turnLeaves, programLeaves = t.sharedTurnTrees[member].Leaves(), t.programTree.Leaves()
		request = storewire.CompareRequest{
			Header:         round.header(member),
			Sender:         t.meta.ID,
			TurnsDigest:    int64(t.sharedTurnTrees[member].Root()),
			ProgramsDigest: int64(t.programTree.Root()),
		}
		return false
	})
	if err != nil || !current {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answer, err := s.caller.Compare(callCtx, round.view.Members[member].Address, request)
	if err != nil || !s.acceptReply(answer.Reply) {
		return
	}
	if len(answer.TurnDigests) > 0 {
		s.pushTurns(ctx, round, member,
			s.sharedKeysIn(ctx, round, member, merkle.DifferingRanges(turnLeaves, toUnsigned(answer.TurnDigests))))
	}
	if len(answer.ProgramDigests) > 0 {
		s.pushPrograms(ctx, round, member, s.programsIn(ctx, merkle.DifferingRanges(programLeaves, toUnsigned(answer.ProgramDigests))))
	}
	s.pushMisplaced(ctx, round, member, minOfferAge)
}

// sharedKeysIn returns the keys in some ranges of the turns that belong both here and at a member.
func (s *Store) sharedKeysIn(ctx context.Context, round roundInput, member int, ranges []int) []uint64 {
	var keys []uint64
	err := s.do(ctx, func(t *table) bool {
		if t.meta.View.Epoch != round.view.Epoch {
			return false
		}
		for key, turn := range t.turns {
			if !slices.Contains(ranges, merkle.RangeOf(key)) || t.now()-turn.receivedAt < minOfferAge {
				continue
			}
			if places := t.placesOf(turn); slices.Contains(places, member) && slices.Contains(places, t.self) {
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

// programsIn returns the programs in some ranges that have been idle for a while and do not expire soon.
func (s *Store) programsIn(ctx context.Context, ranges []int) []storewire.ProgramDigest {
	var programs []storewire.ProgramDigest
	err := s.do(ctx, func(t *table) bool {
		for name, p := range t.programs {
			idle := t.now() - p.lastActivity
			if idle < minOfferAge || idle > programRetention-programOfferMargin {
				continue
			}
			if slices.Contains(ranges, merkle.RangeOf(placement.KeyOf(name))) {
				programs = append(programs, storewire.ProgramDigest{Name: name, Digest: int64(p.ledger.Digest())})
			}
		}
		return false
	})
	if err != nil {
		return nil
	}
	return programs
}

// pushTurns offers turns to a member, sends those that it lacks, and reports whether it now has all of them on its
// disk.
func (s *Store) pushTurns(ctx context.Context, round roundInput, member int, keys []uint64) bool {
	for page := range slices.Chunk(keys, maxOfferKeys) {
		var packedKeys []byte
		for _, key := range page {
			packedKeys = storewire.AppendKey(packedKeys, key)
		}
		answer, ok := s.callOffer(ctx, round, member, storewire.OfferRequest{TurnKeys: packedKeys})
		if !ok {
			return false
		}
		missing := make([]uint64, 0, len(answer.WantedTurns))
		for _, i := range answer.WantedTurns {
			if i >= 0 && i < len(page) {
				missing = append(missing, page[i])
			}
		}
		if !s.sendTurns(ctx, round, member, missing) {
			return false
		}
	}
	return true
}

// sendTurns sends turns to a member, in messages of bounded size.
func (s *Store) sendTurns(ctx context.Context, round roundInput, member int, keys []uint64) bool {
	for len(keys) > 0 {
		var locations []turnLocation
		processed := 0
		err := s.do(ctx, func(t *table) bool {
			locations, processed = t.locateTurns(keys)
			return false
		})
		if err != nil {
			return false
		}
		copies, err := s.readTurnCopies(locations)
		if err != nil {
			return false // a record was moved meanwhile or the disk failed: the next round retries
		}
		if !s.callPush(ctx, round, member, storewire.PushRequest{Turns: copies}) {
			return false
		}
		keys = keys[processed:]
	}
	return true
}

// pushPrograms sends to a member the programs of which its digest differs, and reports whether it now has all that was
// known here when the list was made.
func (s *Store) pushPrograms(ctx context.Context, round roundInput, member int, programs []storewire.ProgramDigest) bool {
	for page := range slices.Chunk(programs, maxOfferPrograms) {
		answer, ok := s.callOffer(ctx, round, member, storewire.OfferRequest{Programs: page})
		if !ok {
			return false
		}
		for _, i := range answer.WantedPrograms {
			if i < 0 || i >= len(page) {
				continue
			}
			if !s.sendProgram(ctx, round, member, page[i].Name) {
				return false
			}
		}
	}
	return true
}

func (s *Store) sendProgram(ctx context.Context, round roundInput, member int, name string) bool {
	var programs []storewire.Program
	err := s.do(ctx, func(t *table) bool {
		if p := t.programs[name]; p != nil {
			programs = append(programs, t.toWire(p))
		}
		return false
	})
	return err == nil && s.callPush(ctx, round, member, storewire.PushRequest{Programs: programs})
}

func (s *Store) callOffer(ctx context.Context, round roundInput, member int,
	request storewire.OfferRequest) (storewire.OfferAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request.Header = round.header(member)
	answer, err := s.caller.Offer(ctx, round.view.Members[member].Address, request)
	return answer, err == nil && s.acceptReply(answer.Reply)
}

func (s *Store) callPush(ctx context.Context, round roundInput, member int, request storewire.PushRequest) bool {
	if len(request.Turns) == 0 && len(request.Programs) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request.Header = round.header(member)
	answer, err := s.caller.Push(ctx, round.view.Members[member].Address, request)
	return err == nil && s.acceptReply(answer.Reply)
}

// pushMisplaced sends to a member the turns that belong there and not here, and records that it has them.
func (s *Store) pushMisplaced(ctx context.Context, round roundInput, member int, minAge time.Duration) {
	var keys []uint64
	err := s.do(ctx, func(t *table) bool {
		if t.meta.View.Epoch != round.view.Epoch {
			return false
		}
		for key, turn := range t.misplacedTurns {
			rank := slices.Index(t.placesOf(turn), member)
			if rank >= 0 && turn.confirmedRanks&rankBit(rank) == 0 && t.now()-turn.receivedAt >= minAge {
				keys = append(keys, key)
			}
		}
		return false
	})
	if err != nil || len(keys) == 0 || !s.pushTurns(ctx, round, member, keys) {
		return
	}
	_ = s.do(ctx, func(t *table) bool { // after an error they are offered once more
		if t.meta.View.Epoch != round.view.Epoch {
			return false
		}
		for _, key := range keys {
			turn := t.misplacedTurns[key]
			if turn == nil {
				continue
			}
			if rank := slices.Index(t.placesOf(turn), member); rank >= 0 {
				turn.confirmedRanks |= rankBit(rank)
			}
		}
		return false
	})
}

// rankBit returns the bit of a rank in heldTurn.confirmedRanks. It is 0 from the ninth rank on: a turn with so many
// places is never confirmed everywhere.
func rankBit(rank int) uint8 { return 1 << rank }
