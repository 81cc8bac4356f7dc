package store

import (
	"context"
	"slices"
	"sync"

	"emberquay/internal/tier/storewire"
)

// intakePending bounds what is taken in ahead of the disk, bytes.
const intakePending = 2 << 20

// inventory is what another store holds, as far as it has not been taken in.
type inventory struct {
	member int
	turns  []storewire.Listed
}

// inventories are those taken under one view, by member. They are kept until enough have come: a store that can't be
// reached must not have the others tell all they hold again and again. They belong to the repair.
type inventories struct {
	epoch  int64
	taken  map[int]*inventory
	failed map[int]bool // holders that did not send what they hold: others are asked first
}

// catchUp compares with the other members until it lacks nothing, and says whether it does. A store that was added
// lacks nothing that a quorum would miss, as the quorums grew with it: it has nothing to wait for.
func (s *Store) catchUp(ctx context.Context, d duty) bool {
	if !d.complete && !d.unsettled && !d.view.Members[d.self].Replaced {
		return s.complete(ctx)
	}
	s.takeInventories(ctx, d)
	if len(s.taken.taken) < d.view.CatchUp() || !s.fetchAll(ctx, d) {
		return false
	}
	s.taken = inventories{}
	settled := false
	err := s.do(ctx, func(t *table) bool {
		// A machine that was removed meanwhile may have held what is missing now.
		if t.meta.View.Epoch != d.view.Epoch && removed(d.view, t.meta.View) {
			return false
		}
		meta := t.meta
		meta.Complete, meta.Unsettled = true, false
		settled = t.keepMeta(meta)
		return settled
	})
	return err == nil && settled
}

// complete notes that this store's "unknown" counts.
func (s *Store) complete(ctx context.Context) bool {
	kept := false
	err := s.do(ctx, func(t *table) bool {
		meta := t.meta
		meta.Complete = true
		kept = t.keepMeta(meta)
		return kept
	})
	return err == nil && kept
}

// takeInventories asks all others, that have not answered under this view, at once. Those that don't answer whole, or
// are not complete themselves, are left out.
func (s *Store) takeInventories(ctx context.Context, d duty) {
	if s.taken.epoch != d.view.Epoch {
		s.taken = inventories{epoch: d.view.Epoch, taken: map[int]*inventory{}, failed: map[int]bool{}}
	}
	answers := make(chan *inventory, len(d.view.Members))
	var asking sync.WaitGroup
	for member := range d.view.Members {
		if member == d.self || s.taken.taken[member] != nil {
			continue
		}
		asking.Add(1)
		go func() {
			defer asking.Done()
			i := &inventory{member: member}
			if s.listTurns(ctx, d, i) && s.takePrograms(ctx, d, member) {
				answers <- i
			}
		}()
	}
	asking.Wait()
	close(answers)
	for i := range answers {
		s.taken.taken[i.member] = i
	}
}

func (s *Store) listTurns(ctx context.Context, d duty, i *inventory) bool {
	q := storewire.ListRequest{Header: d.header(i.member), Sender: s.id, First: true}
	for {
		a, err := s.list(ctx, d, i.member, q)
		if err != nil || !s.heed(a.Reply) || !a.Reply.Complete {
			return false
		}
		page, err := storewire.ListedTurns(a.Turns)
		if err != nil || len(page) == 0 && a.More {
			return false
		}
		i.turns = append(i.turns, page...)
		if !a.More {
			return true
		}
		q.First, q.After = false, int64(page[len(page)-1].Key)
	}
}

func (s *Store) list(ctx context.Context, d duty, member int, q storewire.ListRequest) (storewire.ListAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, peerLimit)
	defer cancel()
	return s.caller.List(ctx, d.view.Members[member].Address, q)
}

// takePrograms takes in all that another store knows of budgets.
func (s *Store) takePrograms(ctx context.Context, d duty, member int) bool {
	q := storewire.ProgramsRequest{Header: d.header(member)}
	for {
		callContext, cancel := context.WithTimeout(ctx, peerLimit)
		a, err := s.caller.Programs(callContext, d.view.Members[member].Address, q)
		cancel()
		if err != nil || !s.heed(a.Reply) || !a.Reply.Complete || len(a.Programs) == 0 && a.More {
			return false
		}
		in, err := read(nil, a.Programs)
		if err != nil || !s.takeIn(ctx, in) {
			return false
		}
		if !a.More {
			return true
		}
		q.After = a.Programs[len(a.Programs)-1].Name
	}
}

// takeIn keeps what came. It waits for the disk only where much is waiting for it: the record that says that this store
// is complete gets there after all of it.
func (s *Store) takeIn(ctx context.Context, in *intake) bool {
	taken := false
	err := s.do(ctx, func(t *table) bool {
		taken = t.take(in)
		return taken && t.journal.PendingBytes() > intakePending
	})
	return err == nil && taken
}

// wanted is a turn that is to be brought here.
type wanted struct {
	holders []int
	placed  bool
}

// fetchAll brings the turns that belong here, and those that too few of the others hold: this store may have been one
// of theirs before it lost its disk.
func (s *Store) fetchAll(ctx context.Context, d duty) bool {
	missing, ok := s.missing(ctx, d, s.taken.taken)
	if !ok {
		return false
	}
	loads := map[int][]uint64{}
	for key, w := range missing {
		// The holder with the least to send, so that they send side by side.
		best := slices.MinFunc(w.holders, func(a, b int) int {
			if s.taken.failed[a] != s.taken.failed[b] {
				return boolOrder(s.taken.failed[a])
			}
			return len(loads[a]) - len(loads[b])
		})
		loads[best] = append(loads[best], key)
	}
	type result struct {
		member  int
		fetched bool
	}
	results := make(chan result, len(loads))
	for member, keys := range loads {
		go func() { results <- result{member: member, fetched: s.fetch(ctx, d, member, keys)} }()
	}
	all := true
	for range loads {
		r := <-results
		s.taken.failed[r.member] = !r.fetched
		all = all && r.fetched
	}
	return all
}

// boolOrder puts true behind false.
func boolOrder(later bool) int {
	if later {
		return 1
	}
	return -1
}

// missing works out what is to be brought.
func (s *Store) missing(ctx context.Context, d duty, inventories map[int]*inventory) (map[uint64]*wanted, bool) {
	all := map[uint64]*wanted{}
	for _, inventory := range inventories {
		for _, l := range inventory.turns {
			w := all[l.Key]
			if w == nil {
				w = &wanted{}
				all[l.Key] = w
			}
			w.holders = append(w.holders, inventory.member)
			w.placed = w.placed || l.Placed
		}
	}
	copies := d.view.Copies()
	err := s.do(ctx, func(t *table) bool {
		for key, w := range all {
			if t.holds(key) || !w.placed && len(w.holders) >= copies {
				delete(all, key)
			}
		}
		return false
	})
	return all, err == nil
}

// fetch brings turns from one holder.
func (s *Store) fetch(ctx context.Context, d duty, member int, keys []uint64) bool {
	for len(keys) > 0 {
		page := keys[:min(len(keys), offerPage)]
		var packed []byte
		for _, key := range page {
			packed = storewire.AppendKey(packed, key)
		}
		callContext, cancel := context.WithTimeout(ctx, peerLimit)
		a, err := s.caller.Fetch(callContext, d.view.Members[member].Address,
			storewire.FetchRequest{Header: d.header(member), Keys: packed})
		cancel()
		if err != nil || !s.heed(a.Reply) || a.Looked < 1 || a.Looked > len(page) {
			return false
		}
		in, err := read(a.Parcels, nil)
		if err != nil || !s.takeIn(ctx, in) {
			return false
		}
		keys = keys[a.Looked:]
	}
	return true
}
