package store

import (
	"context"
	"slices"

	"emberquay/internal/tier/storewire"
)

// maxPendingReceivedBytes bounds the received records that wait for a sync.
const maxPendingReceivedBytes = 2 << 20

// inventory lists the turns that another store holds.
type inventory struct {
	member int
	turns  []storewire.ListedTurn
}

// inventorySet holds what was received under one view, by member. It is kept until enough have answered, so that one
// unreachable store does not make the others send theirs again and again. Only the repair goroutine uses it.
type inventorySet struct {
	epoch    int64
	programs map[int]bool // members whose programs are stored here
	received map[int]*inventory
	failed   map[int]bool // holders whose last fetch failed: others are asked first
}

// catchUp copies missing records from the other members and reports whether this store is complete and settled now. A
// store that was added, rather than one that replaces a lost disk, is complete at once: the quorums grew with it, so
// none relies on records that it lacks. The programs come first: reservations wait for them, and turns may be many.
func (s *Store) catchUp(ctx context.Context, round roundInput) bool {
	if !round.complete && !round.view.Members[round.self].Replaced {
		if !s.markComplete(ctx) {
			return false
		}
		round.complete = true
	}
	if round.complete && !round.unsettled {
		return true
	}
	if s.inventories.epoch != round.view.Epoch {
		s.inventories = inventorySet{epoch: round.view.Epoch, programs: map[int]bool{}, received: map[int]*inventory{},
			failed: map[int]bool{}}
	}
	s.collect(ctx, round)
	if !s.inventories.complete(round.consultQuorum()) || !s.fetchMissing(ctx, round) {
		return false
	}
	s.inventories = inventorySet{}
	return s.markSettled(ctx, round)
}

// consultQuorum returns how many other members must answer this store before it is complete and settled.
func (r *roundInput) consultQuorum() int {
	if r.complete {
		return r.view.SettleQuorum()
	}
	return r.view.CatchUpQuorum()
}

// markComplete records that this store is complete: its "unknown" counts from now on.
func (s *Store) markComplete(ctx context.Context) bool {
	stored := false
	err := s.do(ctx, func(t *table) bool {
		meta := t.meta
		meta.Complete = true
		stored = t.appendMeta(meta)
		return stored
	})
	return err == nil && stored
}

// markSettled records that this store is complete and settled, unless an active member left since the round began: that
// one may have held records that are missing here.
func (s *Store) markSettled(ctx context.Context, round roundInput) bool {
	settled := false
	err := s.do(ctx, func(t *table) bool {
		if t.meta.View.ActiveMemberLeft(&round.view) {
			return false
		}
		meta := t.meta
		meta.Complete, meta.Unsettled = true, false
		settled = t.appendMeta(meta)
		return settled
	})
	return err == nil && settled
}

// memberAnswer is the result of asking another member for its programs or for its turns.
type memberAnswer struct {
	member    int
	programs  bool       // its programs are stored here
	inventory *inventory // nil: it was not asked for, or didn't come whole
}

// collect asks the members that have not yet answered under this view for their programs and their turns, in parallel. It
// returns once enough have answered or all questions have ended: the rest, of which some may be unreachable, is not waited
// for. After a failed fetch it waits for all, since others may hold the same turns. A member that answers only in part, or is
// not complete itself, doesn't count.
func (s *Store) collect(ctx context.Context, round roundInput) {
	answers := make(chan memberAnswer, 2*len(round.view.Members))
	pending := 0
	for member := range round.view.Members {
		if member == round.self {
			continue
		}
		if !s.inventories.programs[member] {
			pending++
			go func() { answers <- memberAnswer{member: member, programs: s.fetchPrograms(ctx, round, member)} }()
		}
		if s.inventories.received[member] == nil {
			pending++
			go func() { answers <- memberAnswer{member: member, inventory: s.fetchInventory(ctx, round, member)} }()
		}
	}
	for ; pending > 0 && !s.inventories.suffice(round.consultQuorum()); pending-- {
		answer := <-answers
		if answer.inventory != nil {
			s.inventories.received[answer.member] = answer.inventory
		}
		if answer.programs {
			s.inventories.programs[answer.member] = true
			if len(s.inventories.programs) == round.consultQuorum() {
				s.markProgramsSettled(ctx, round)
			}
		}
	}
}

// suffice reports whether enough members have answered and none of them has failed to send turns.
func (i *inventorySet) suffice(quorum int) bool {
	for _, failed := range i.failed {
		if failed {
			return false
		}
	}
	return i.complete(quorum)
}

// complete reports whether the programs and the inventories of enough members are here.
func (i *inventorySet) complete(quorum int) bool {
	return len(i.programs) >= quorum && len(i.received) >= quorum
}

// markProgramsSettled records that this store holds all reservations that were acknowledged before the view of the round.
func (s *Store) markProgramsSettled(ctx context.Context, round roundInput) {
	_ = s.do(ctx, func(t *table) bool { // after an error the reservations wait for the turns
		if t.meta.View.Epoch == round.view.Epoch {
			t.programsSettledEpoch = round.view.Epoch
		}
		return true // the programs must be on the disk before an answer relies on them
	})
}

// fetchInventory returns the inventory of a member, or nil if it can't be had whole.
func (s *Store) fetchInventory(ctx context.Context, round roundInput, member int) *inventory {
	inv := &inventory{member: member}
	request := storewire.ListRequest{Header: round.header(member), Sender: s.id, FromStart: true}
	for {
		answer, err := s.callList(ctx, round, member, request)
		if err != nil || !s.acceptReply(answer.Reply) || !answer.Reply.Complete {
			return nil
		}
		page, err := storewire.DecodeListedTurns(answer.Turns)
		if err != nil || len(page) == 0 && answer.More {
			return nil
		}
		inv.turns = append(inv.turns, page...)
		if !answer.More {
			return inv
		}
		request.FromStart, request.AfterKey = false, int64(page[len(page)-1].Key)
	}
}

func (s *Store) callList(ctx context.Context, round roundInput, member int,
	request storewire.ListRequest) (storewire.ListAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return s.caller.List(ctx, round.view.Members[member].Address, request)
}

// fetchPrograms copies the budgets of all programs from another store.
func (s *Store) fetchPrograms(ctx context.Context, round roundInput, member int) bool {
	request := storewire.ProgramsRequest{Header: round.header(member)}
	for {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		answer, err := s.caller.Programs(callCtx, round.view.Members[member].Address, request)
		cancel()
		if err != nil || !s.acceptReply(answer.Reply) || !answer.Reply.Complete || len(answer.Programs) == 0 && answer.More {
			return false
		}
		records, err := decodeReceived(nil, answer.Programs)
		if err != nil || !s.storeReceived(ctx, records) {
			return false
		}
		if !answer.More {
			return true
		}
		request.AfterName = answer.Programs[len(answer.Programs)-1].Name
	}
}

// storeReceived stores received records. It waits for a sync only if many bytes are pending: the record that marks this
// store complete reaches the disk after all of them.
func (s *Store) storeReceived(ctx context.Context, records *received) bool {
	stored := false
	err := s.do(ctx, func(t *table) bool {
		stored = t.storeReceived(records)
		return stored && t.journal.PendingBytes() > maxPendingReceivedBytes
	})
	return err == nil && stored
}

// wantedTurn is a turn to be copied here.
type wantedTurn struct {
	holders    []int
	placedHere bool
}

// fetchMissing copies the turns that belong here. A store that lost its disk also copies those that too few of the others
// hold: it may have been one of their holders.
func (s *Store) fetchMissing(ctx context.Context, round roundInput) bool {
	missing, ok := s.missingTurns(ctx, round, s.inventories.received)
	if !ok {
		return false
	}
	keysByHolder := map[int][]uint64{}
	for key, wanted := range missing {
		// The holder with the fewest keys assigned, so that the holders send in parallel.
		holder := slices.MinFunc(wanted.holders, func(a, b int) int {
			if s.inventories.failed[a] != s.inventories.failed[b] {
				return failedLast(s.inventories.failed[a])
			}
			return len(keysByHolder[a]) - len(keysByHolder[b])
		})
		keysByHolder[holder] = append(keysByHolder[holder], key)
	}
	type result struct {
		member  int
		fetched bool
	}
	results := make(chan result, len(keysByHolder))
	for member, keys := range keysByHolder {
		go func() { results <- result{member: member, fetched: s.fetchFrom(ctx, round, member, keys)} }()
	}
	allFetched := true
	for range keysByHolder {
		r := <-results
		s.inventories.failed[r.member] = !r.fetched
		allFetched = allFetched && r.fetched
	}
	return allFetched
}

// failedLast orders, of two holders of which one failed, the failed one last.
func failedLast(failed bool) int {
	if failed {
		return 1
	}
	return -1
}

// missingTurns returns the turns to be copied here, by key.
func (s *Store) missingTurns(ctx context.Context, round roundInput,
	inventories map[int]*inventory) (map[uint64]*wantedTurn, bool) {
	missing := map[uint64]*wantedTurn{}
	for _, inv := range inventories {
		for _, listed := range inv.turns {
			wanted := missing[listed.Key]
			if wanted == nil {
				wanted = &wantedTurn{}
				missing[listed.Key] = wanted
			}
			wanted.holders = append(wanted.holders, inv.member)
			wanted.placedHere = wanted.placedHere || listed.PlacedAtSender
		}
	}
	copies := round.view.Copies()
	err := s.do(ctx, func(t *table) bool {
		for key, wanted := range missing {
			elsewhere := !wanted.placedHere && (round.complete || len(wanted.holders) >= copies)
			if elsewhere || t.heldOrExpired(key) {
				delete(missing, key)
			}
		}
		return false
	})
	return missing, err == nil
}

// fetchFrom copies turns from one holder.
func (s *Store) fetchFrom(ctx context.Context, round roundInput, member int, keys []uint64) bool {
	for len(keys) > 0 {
		page := keys[:min(len(keys), maxOfferKeys)]
		var packedKeys []byte
		for _, key := range page {
			packedKeys = storewire.AppendKey(packedKeys, key)
		}
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		answer, err := s.caller.Fetch(callCtx, round.view.Members[member].Address,
			storewire.FetchRequest{Header: round.header(member), Keys: packedKeys})
		cancel()
		if err != nil || !s.acceptReply(answer.Reply) || answer.ProcessedKeys < 1 || answer.ProcessedKeys > len(page) {
			return false
		}
		records, err := decodeReceived(answer.Turns, nil)
		if err != nil || !s.storeReceived(ctx, records) {
			return false
		}
		keys = keys[answer.ProcessedKeys:]
	}
	return true
}
