// Package store stores conversation turns and program budgets on the disk of one machine. The stores of a view
// replicate them among each other:
//
//	s, err := store.Start(store.Options{Files: vfs.OS{}, Dir: dir, DiskBytes: bytes, Bootstrap: bootstrap,
//		Caller: storewire.NewCaller(calls), OnNewerView: askForView, OnRetired: reportRetired})
//	storewire.Register(mux, s)
//	s.SetView(view)  // controlstate.StoreView, at each change; s.ID() is this store's id in it
//	defer s.Close()
//
// One goroutine owns the in-memory state (type table) and runs queued commands on it; a second one syncs the journal
// for all commands that wait for the disk; a third one runs repair rounds. The bodies of turns (input and output) are only on the disk.
//
// Invariants:
//   - Acknowledged data is on the disk and is served after a restart.
//   - A store answers only requests addressed to its disk (by id), and rejects requests routed by a view older than one
//     it has already served (the fence, stored on the disk). So a request in flight cannot make the data outdated that a
//     store with a fresh disk has copied from others.
//   - A store with a fresh disk is incomplete until it has compared itself with View.CatchUpQuorum other stores. At
//     least one of them holds whatever was acknowledged before. A turn that too few of them hold is copied even if it
//     belongs elsewhere.
//   - After a member stopped being active a store is unsettled until it has compared itself with View.SettleQuorum others
//     and holds what belongs here without that member. Package storewire has the argument.
package store

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/journal"
	"emberquay/internal/tier/storewire"
	"emberquay/internal/vfs"
)

const (
	// ringDiskShare is the fraction of the disk that the journal may use.
	ringDiskShare = 0.8
	// segmentCount is the number of segments of the journal: enough that a segment kept free costs little space.
	segmentCount = 16
	// minSegmentBytes fits the longest turns on all but the smallest disks; maxSegmentBytes keeps a reclaim short.
	minSegmentBytes = 1 << 20
	maxSegmentBytes = 16 << 20
	// defaultDiskBytes is used if Options.DiskBytes is 0.
	defaultDiskBytes = 256 << 20
	// commandQueueCapacity bounds the queued commands; further callers block.
	commandQueueCapacity = 256
	// maxDrainedCommands bounds the commands that run in a row before a sync for them starts.
	maxDrainedCommands = 64
	// defaultRepairInterval is the time between two repair rounds.
	defaultRepairInterval = 500 * time.Millisecond
)

// ErrClosed reports a call of a closed store.
var ErrClosed = eris.New("store: closed")

// Options configures a store.
type Options struct {
	Files     vfs.FS
	Dir       string
	DiskBytes int64 // size of the disk, of which four fifths are used; 0: 256 MiB
	Bootstrap bool  // the whole system starts for the first time, so an empty disk is complete
	Caller    storewire.Caller
	// OnNewerView is called in a goroutine of its own when a request carries a newer epoch than the store knows. May be
	// nil.
	OnNewerView func(epoch uint64)
	// OnRetired is called once all data of this store is on the disks of others and the view says that it is retiring. It
	// is called again at intervals until the view changes. May be nil.
	OnRetired func()
	// Now is a monotonic clock with an arbitrary zero. nil: the machine's.
	Now func() time.Duration
	// RepairInterval is the time between two repair rounds. 0: 500 ms; negative: no rounds run by themselves (tests).
	RepairInterval time.Duration
}

// Store is an open store that implements storewire.Server.
type Store struct {
	options         Options
	now             func() time.Duration
	journal         *journal.Journal
	id              string
	caller          storewire.Caller
	commands        chan *command
	wakeRepair      chan struct{} // starts a repair round at once
	lastRetiredCall retiredCall   // used by the repair goroutine only
	inventories     inventorySet  // used by the repair goroutine only

	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
}

var _ storewire.Server = (*Store)(nil)

// command is a function to run on the table, in the goroutine that owns it.
type command struct {
	run     func(*table) (durable bool) // durable: done only once all records appended so far are on the disk
	done    chan struct{}
	syncErr error // set before done is closed
}

// syncBatch is a sync of the journal for several commands.
type syncBatch struct {
	commands   []*command
	lastRecord uint64 // number of the last record that it covers
	err        error
}

// Start opens the store in a folder. Errors: those of the disk.
func Start(options Options) (*Store, error) {
	if options.DiskBytes == 0 {
		options.DiskBytes = defaultDiskBytes
	}
	if options.RepairInterval == 0 {
		options.RepairInterval = defaultRepairInterval
	}
	if options.Now == nil {
		start := time.Now()
		options.Now = func() time.Duration { return time.Since(start) }
	}
	t, err := openTable(options)
	if err != nil {
		return nil, err
	}
	s := &Store{
		options:    options,
		now:        options.Now,
		journal:    t.journal,
		id:         t.meta.ID,
		caller:     options.Caller,
		commands:   make(chan *command, commandQueueCapacity),
		wakeRepair: make(chan struct{}, 1),
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	syncs := make(chan *syncBatch, 1)
	synced := make(chan *syncBatch, 1)
	s.running.Add(2)
	go s.runCommands(t, syncs, synced)
	go s.syncJournal(syncs, synced)
	if options.RepairInterval > 0 {
		s.running.Add(1)
		go s.runRepair()
	}
	return s, nil
}

// ID returns the random id that the store drew when its disk was first used.
func (s *Store) ID() string { return s.id }

// SetView sets the view of all stores; it ignores a view that is not newer than the current one.
func (s *Store) SetView(stores controlstate.StoreView) { s.applyView(storewire.ViewOf(stores)) }

func (s *Store) applyView(view storewire.View) {
	if view.Epoch == 0 {
		return
	}
	changed := false
	err := s.do(s.ctx, func(t *table) bool {
		changed = t.setView(view)
		return false
	})
	if err != nil || !changed {
		return
	}
	select {
	case s.wakeRepair <- struct{}{}:
	default:
	}
}

// Complete reports whether the store holds all data that it should.
func (s *Store) Complete() bool {
	complete := false
	err := s.do(s.ctx, func(t *table) bool {
		complete = t.meta.Complete
		return false
	})
	return err == nil && complete
}

// Close stops the store. Data that was not acknowledged may be lost.
func (s *Store) Close() error {
	s.stop()
	s.running.Wait()
	return s.journal.Close()
}

// do queues a command and waits until it has run and, if it is durable, is on the disk. Errors: the context's,
// ErrClosed, or the disk's; after an error the command may have run or not, or may run later.
func (s *Store) do(ctx context.Context, run func(*table) (durable bool)) error {
	c := &command{run: run, done: make(chan struct{})}
	select {
	case s.commands <- c:
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "store")
	case <-s.ctx.Done():
		return ErrClosed
	}
	select {
	case <-c.done:
		return c.syncErr
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "store")
	case <-s.ctx.Done():
		return ErrClosed
	}
}

// runCommands runs the queued commands. Durable commands that run during a sync share the next one.
func (s *Store) runCommands(t *table, syncs chan<- *syncBatch, synced <-chan *syncBatch) {
	defer s.running.Done()
	defer close(syncs)
	for {
		select {
		case c := <-s.commands:
			s.execute(t, c)
			s.drainCommands(t)
		case finished := <-synced:
			t.syncEnded(finished)
		case <-s.ctx.Done():
			return
		}
		if next := t.nextBatch(); next != nil {
			syncs <- next
		}
	}
}

func (s *Store) drainCommands(t *table) {
	for range maxDrainedCommands {
		select {
		case c := <-s.commands:
			s.execute(t, c)
		default:
			return
		}
	}
}

func (s *Store) execute(t *table, c *command) {
	if c.run(t) && t.hasUnsynced() {
		t.waitingForSync = append(t.waitingForSync, c)
	} else {
		close(c.done)
	}
	if epoch := t.newerEpoch; epoch != 0 {
		t.newerEpoch = 0
		if s.options.OnNewerView != nil {
			go s.options.OnNewerView(epoch)
		}
	}
}

// syncJournal syncs the journal, one batch of commands after the other.
func (s *Store) syncJournal(syncs <-chan *syncBatch, synced chan<- *syncBatch) {
	defer s.running.Done()
	for next := range syncs {
		next.err = s.journal.Sync()
		for _, c := range next.commands {
			c.syncErr = next.err
			close(c.done)
		}
		select {
		case synced <- next:
		case <-s.ctx.Done():
		}
	}
}
