// Package store keeps the turns of conversations and the budgets of programs on the disk of one machine, together with
// the other stores of the view:
//
//	s, err := store.Start(store.Options{Files: vfs.OS{}, Dir: dir, DiskBytes: bytes, Bootstrap: bootstrap,
//		Caller: storewire.NewCaller(calls), OnNewerView: askForView, OnRetired: reportRetired})
//	storewire.Register(mux, s)
//	s.SetView(view)  // controlstate.StoreView, at each change; the store registers itself under s.ID()
//	defer s.Close()
//
// One goroutine owns the table of all that is known (type table) and works through a queue of commands; a second one
// syncs the journal for all commands that wait for the disk; a third repairs. Texts of turns stay on the disk.
//
// Invariants:
//   - Whatever was acknowledged is on the disk, and is served after a restart.
//   - A store answers only requests that mean its disk, and none that chose it by a view older than one it has served
//     before (the fence, kept on the disk): so what a store with a fresh disk learned from others can't become outdated
//     by a request that was on its way.
//   - A store with a fresh disk is incomplete until it has compared itself with View.CatchUp others. Of what was
//     acknowledged before, one of them knows; a turn that too few of them hold is taken over, wherever it belongs.
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
	// ringDiskShare is the part of the disk that the ring of files may take.
	ringDiskShare = 0.8
	// segmentCount of the ring: so many that a segment kept free costs little.
	segmentCount = 16
	// minSegmentBytes holds the longest turns on all but the smallest disks, mostSegment keeps a reclaim short.
	minSegmentBytes = 1 << 20
	maxSegmentBytes = 16 << 20
	// defaultDiskBytes is taken where no limit is told.
	defaultDiskBytes = 256 << 20
	// commandQueueLength bounds the commands that wait for the owner of the table; callers wait beyond it.
	commandQueueLength = 256
	// maxDrainedCommands bounds the commands that are worked through before a sync for them begins.
	maxDrainedCommands = 64
	// defaultRepairInterval lies between two comparisons with another store.
	defaultRepairInterval = 500 * time.Millisecond
)

// ErrClosed: the store has been closed.
var ErrClosed = eris.New("store: closed")

// Options of a store.
type Options struct {
	Files     vfs.FS
	Dir       string
	DiskBytes int64 // of the disk; four fifths are used. 0: 256 MiB
	Bootstrap bool  // the whole system starts for the first time: an empty disk lacks nothing
	Caller    storewire.Caller
	// OnNewerView is called when a caller works by a view newer than the store's, in a goroutine of its own. May be nil.
	OnNewerView func(epoch uint64)
	// OnRetired is called once all that this store held is on the disks of the others, while the view says that it is
	// retiring; it is called again from time to time until the view changes. May be nil.
	OnRetired func()
	// Now is a clock that never steps, from any zero. nil: the machine's.
	Now func() time.Duration
	// RepairInterval: 0: 500 ms; below 0: repair is never begun by itself (tests).
	RepairInterval time.Duration
}

// Store is an open store. It implements storewire.Server.
type Store struct {
	options         Options
	now             func() time.Duration
	journal         *journal.Journal
	id              string
	caller          storewire.Caller
	commands        chan *command
	wakeRepair      chan struct{} // wakes the repair
	lastRetiredCall retiredCall   // belongs to the repair
	inventories     inventorySet  // likewise

	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
}

var _ storewire.Server = (*Store)(nil)

// command is a piece of work for the owner of the table.
type command struct {
	run     func(*table) (durable bool) // durable: it is done only once all that was appended is on the disk
	done    chan struct{}
	syncErr error // of the disk; set before done is closed
}

// syncBatch is a sync for a group of commands.
type syncBatch struct {
	commands   []*command
	lastRecord uint64 // appended records that it covers
	err        error
}

// Start opens the store of a folder. Errors: those of the disk.
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
		commands:   make(chan *command, commandQueueLength),
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

// ID was drawn when the disk was first used.
func (s *Store) ID() string { return s.id }

// SetView tells of the stores; a view older than the one in use is ignored.
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

// Complete says whether the store holds all that it should.
func (s *Store) Complete() bool {
	complete := false
	err := s.do(s.ctx, func(t *table) bool {
		complete = t.meta.Complete
		return false
	})
	return err == nil && complete
}

// Close ends the store. What was not acknowledged may be lost.
func (s *Store) Close() error {
	s.stop()
	s.running.Wait()
	return s.journal.Close()
}

// do has the owner of the table run a command and waits for its end, on the disk if it is durable. Errors: the
// context's, ErrClosed, or the disk's; after them the command may have run or not, or may run later.
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

// runCommands works through the commands. Those that come while a sync runs share the next one.
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
		if next := t.nextSync(); next != nil {
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

// syncJournal brings the journal to the disk, one group of commands after the other.
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
