package store

import (
	"context"
	"slices"
	"sync"

	"emberquay/internal/tier/storewire"
)

// maxPendingReceivedBytes bounds the received records that wait for a sync.
const maxPendingReceivedBytes = 2 << 20

// inventory lists the turns that another store holds.
type inventory struct {
	member int
	turns  []storewire.ListedTurn
}

// inventorySet holds the inventories received under one view, by member. They are kept until enough have arrived, so
// that one unreachable store does not make the others send theirs again and again. Only the repair goroutine uses it.
type inventorySet struct {
	epoch    int64
	received map[int]*inventory
	failed   map[int]bool // holders whose last fetch failed: others are asked first
}

// catchUp copies missing data from the other members and reports whether this store is complete now. A store that was
// added, rather than one that replaces a lost disk, is complete at once: the quorums grew with it, so none relies on
// data that it lacks.
func (s *Store) catchUp(ctx context.Context, round roundInput) bool {
	if !round.complete && !round.unsettled && !round.view.Members[round.self].Replaced {
		return s.markComplete(ctx)
	}
	s.collectInventories(ctx, round)
	if len(s.inventories.received) < round.view.CatchUpQuorum() || !s.fetchMissing(ctx, round) {
		return false
	}
	s.inventories = inventorySet{}
	settled := false
	err := s.do(ctx, func(t *table) bool {
		// A store that was removed meanwhile may have held data that is now missing here.
		if t.meta.View.Epoch != round.view.Epoch && holderRemoved(round.view, t.meta.View) {
			return false
		}
		meta := t.meta
		meta.Complete, meta.Unsettled = true, false
		settled = t.appendMeta(meta)
		return settled
	})
	return err == nil && settled
}

// markComplete records that this store is complete: its "unknown" counts from now on.
func (s *Store) markComplete(ctx context.Context) bool {
	kept := false
	err := s.do(ctx, func(t *table) bool {
		meta := t.meta
		meta.Complete = true
		kept = t.appendMeta(meta)
		return kept
	})
	return err == nil && kept
}

// collectInventories asks all other members that have not yet answered under this view, in parallel. It leaves out
// those that answer only in part or are not complete themselves.
func (s *Store) collectInventories(ctx context.Context, round roundInput) {
	if s.inventories.epoch != round.view.Epoch {
		s.inventories = inventorySet{epoch: round.view.Epoch, received: map[int]*inventory{}, failed: map[int]bool{}}
	}
	answers := make(chan *inventory, len(round.view.Members))
	var asking sync.WaitGroup
	for member := range round.view.Members {
		if member == round.self || s.inventories.received[member] != nil {
			continue
		}
		asking.Add(1)
		go func() {
			defer asking.Done()
			inv := &inventory{member: member}
			if s.fetchInventory(ctx, round, inv) && s.fetchPrograms(ctx, round, member) {
				answers <- inv
			}
		}()
	}
	asking.Wait()
	close(answers)
	for inv := range answers {
		s.inventories.received[inv.member] = inv
	}
}

func (s *Store) fetchInventory(ctx context.Context, round roundInput, inv *inventory) bool {
	request := storewire.ListRequest{Header: round.header(inv.member), Sender: s.id, FromStart: true}
	for {
		answer, err := s.callList(ctx, round, inv.member, request)
		if err != nil || !s.acceptReply(answer.Reply) || !answer.Reply.Complete {
			return false
		}
		page, err := storewire.DecodeListedTurns(answer.Turns)
		if err != nil || len(page) == 0 && answer.More {
			return false
		}
		inv.turns = append(inv.turns, page...)
		if !answer.More {
			return true
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

// fetchMissing copies the turns that belong here, and those that too few of the others hold: this store may have been
// one of their holders before it lost its disk.
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
			if t.heldOrExpired(key) || !wanted.placedHere && len(wanted.holders) >= copies {
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
