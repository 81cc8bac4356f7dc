// Package replica runs one member of the replicated control state: a chain.Node with its journal, network peers and
// clock.
//
//	r, err := replica.Open(replica.Options{
//		Name: "front-1", Address: "10.1.0.38:7381", Zone: "a", Seeds: seeds, Bootstrap: true, Voter: true,
//		Files: vfs.OS{}, Dir: dir, JournalBytes: 16 << 20,
//		NewStateMachine: func() chain.StateMachine { return controlstate.New() },
//		OnCommit: func(epoch, sequence uint64, snapshot []byte) { ... },
//		Client: client, Mux: mux, Log: logger,
//	})
//	... transport.Listen(address, mux)
//	result, err := r.Propose(ctx, command) // after an error the outcome is unknown
//	snapshot, err := r.Read(ctx)           // includes all that was committed before the call
//
// One goroutine owns the node and the journal and executes commands from a bounded queue. It blocks on the disk: while
// the disk stalls, the replica sends nothing and the other members remove it from the chain.
package replica

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"emberquay/coordination/chain"
	"emberquay/coordination/view"
	"emberquay/internal/tier/journal"
	"emberquay/internal/tier/transport"
	"emberquay/internal/vfs"
)

// Errors of calls. After Propose fails with any of them or with its context's error, except ErrBusy, the command may or
// may not have been executed.
var (
	// ErrOutcomeUnknown means that the command may have been executed, or still may be.
	ErrOutcomeUnknown = eris.New("replica: it is not known whether the command was carried out")
	// ErrBusy means that too many calls are pending; this one was not started.
	ErrBusy = eris.New("replica: too many calls wait")
	// ErrClosed means that the replica was closed, or stopped because its journal failed.
	ErrClosed = eris.New("replica: closed")
)

const (
	// commandQueueCapacity is the number of messages and calls that may wait for the owner goroutine.
	commandQueueCapacity = 256
	// journalSegments is the number of segments of the journal, minFreeSegments how many of them stay free: a checkpoint
	// must fit at any time.
	journalSegments = 6
	minFreeSegments = 3
	// statesInCheckpoint is how many states a checkpoint is long at most: a view and a vote, each with the complete state,
	// and the newest command.
	statesInCheckpoint = 3
	// maxStateShare leaves room beside the states, for recent outcomes and the members.
	maxStateShare = 15.0 / 16
	// defaultJournalBytes applies if Options.JournalBytes is 0; a state may take a sixth of it.
	defaultJournalBytes = 24 << 20
	// diskRetryDelay is the pause after a failed write or sync.
	diskRetryDelay = 100 * time.Millisecond
)

// Options configure a replica.
type Options struct {
	Name, Address, Zone string   // of the node; Address is where other replicas reach it
	Seeds               []string // addresses of the initial members
	Bootstrap           bool     // true only at the first start of the whole system
	Voter               bool     // false: not a member, only forwards calls

	Files        vfs.FS // nil: the state is in memory only
	Dir          string
	JournalBytes int64 // limit of the journal; 0: defaultJournalBytes

	NewStateMachine func() chain.StateMachine
	// OnCommit receives committed states in ascending order. It may skip states that follow each other quickly, but never
	// the latest. It runs in a goroutine of its own. May be nil.
	OnCommit func(epoch, sequence uint64, snapshot []byte)

	Client *transport.Client
	Mux    *transport.Mux // Open registers the replica's methods; serve it after Open
	Log    log.Interface  // nil: log.Log
}

// Status describes the membership of a replica.
type Status struct {
	Self     view.Member
	View     view.View // of which it is a member, or the newest one that it knows
	IsMember bool      // of View
}

// Replica is a running member, or a forwarder if it is not a voter.
type Replica struct {
	options        Options
	log            log.Interface
	node           *chain.Node
	journal        *journal.Journal // nil: in memory only
	startedAt      time.Time
	commands       chan func()
	sender         *peerSender
	commitNotifier *notifier
	status         atomic.Pointer[Status]
	pendingCalls   map[int64]chan chain.Reply
	closing        chan struct{}
	closed         atomic.Bool
	stopped        chan struct{}
}

// Open recovers the state from the disk and starts the replica. It returns errors of the disk and of invalid settings.
func Open(o Options) (*Replica, error) {
	if o.Log == nil {
		o.Log = log.Log
	}
	r := &Replica{
		options:      o,
		log:          o.Log,
		startedAt:    time.Now(),
		commands:     make(chan func(), commandQueueCapacity),
		pendingCalls: map[int64]chan chain.Reply{},
		closing:      make(chan struct{}),
		stopped:      make(chan struct{}),
	}
	durable, dataLost, err := r.openJournal()
	if err != nil {
		return nil, err
	}
	settings := chain.Settings{
		Name: o.Name, Address: o.Address, Zone: o.Zone, Seeds: o.Seeds, Voter: o.Voter,
		Bootstrap: o.Bootstrap && !dataLost, Random: randomSeed(),
	}
	node, out, err := chain.New(settings, durable, o.NewStateMachine(), r.now())
	if err != nil {
		r.closeJournal()
		return nil, err
	}
	r.node = node
	sequence, committed := node.Progress()
	r.log.WithField("id", node.Self().ID).WithField("epoch", durable.View.Epoch).WithField("sequence", sequence).
		WithField("committed", committed).Info("replica: state on the disk")
	r.sender = newPeerSender(o.Client, o.Log)
	r.commitNotifier = newNotifier(o.OnCommit)
	r.publishStatus()
	transport.HandleOneWay(o.Mux, messageMethod, envelopeCodec, r.receive)
	go r.run(out)
	return r, nil
}

// Propose executes a command and returns its result once the command is committed, or once it is confirmed that it
// changed nothing. Errors: ErrOutcomeUnknown, ErrBusy, ErrClosed, or the context's error.
func (r *Replica) Propose(ctx context.Context, command []byte) (result []byte, err error) {
	reply, err := r.call(ctx, func() (int64, chain.Output, bool) { return r.node.Propose(r.now(), command) })
	if err != nil {
		return nil, err
	}
	if reply.Unknown {
		return nil, ErrOutcomeUnknown
	}
	return reply.Result, nil
}

// Read returns a committed state that is at least as new as the start of the call (a linearizable read). Errors: ErrBusy,
// ErrClosed, or the context's error.
func (r *Replica) Read(ctx context.Context) (snapshot []byte, err error) {
	reply, err := r.call(ctx, func() (int64, chain.Output, bool) { return r.node.Read(r.now()) })
	return reply.Snapshot, err
}

// Status returns the current membership of the replica.
func (r *Replica) Status() Status { return *r.status.Load() }

// View returns the view of which the replica is a member, or the newest one that it knows; zero if there is none yet.
func (r *Replica) View() view.View { return r.Status().View }

// Members returns the voting members of View.
func (r *Replica) Members() []view.Member { return r.View().Members }

// SetSeeds replaces the addresses that are contacted to find the members.
func (r *Replica) SetSeeds(seeds []string) {
	select {
	case r.commands <- func() { r.node.SetSeeds(seeds) }:
	case <-r.stopped:
	}
}

// SetContacts replaces the addresses at which members may be found beside the seeds.
func (r *Replica) SetContacts(addresses []string) {
	select {
	case r.commands <- func() { r.node.SetContacts(addresses) }:
	case <-r.stopped:
	}
}

// Stopped returns a channel that is closed once the replica has stopped: by Close, or because its journal failed.
func (r *Replica) Stopped() <-chan struct{} { return r.stopped }

// leavePollInterval is how often LeaveChain checks whether this member has left the chain.
const leavePollInterval = 10 * time.Millisecond

// LeaveChain has the other members reconfigure without this one before it stops, so that no write waits until they detect
// its failure. It returns once they have done so, or when ctx ends; calls are served until Close.
func (r *Replica) LeaveChain(ctx context.Context) {
	if r.enqueue(ctx, func() { r.handleOutput(r.node.LeaveChain(r.now())) }) != nil {
		return
	}
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for {
		status := r.Status()
		if !status.IsMember || status.View.ChainPosition(status.Self.ID) < 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		case <-r.stopped:
			return
		}
	}
}

// Close stops the replica; pending calls return ErrClosed. All acknowledged commands are on the disk.
func (r *Replica) Close() error {
	if r.closed.CompareAndSwap(false, true) {
		close(r.closing)
	}
	<-r.stopped
	return nil
}

// call runs start in the owner goroutine and waits for the reply to the call that it begins.
func (r *Replica) call(ctx context.Context, start func() (int64, chain.Output, bool)) (chain.Reply, error) {
	replies := make(chan chain.Reply, 1)
	numbers := make(chan int64, 1) // 0: not started, since too many calls are pending or ctx has ended
	command := func() {
		if ctx.Err() != nil {
			numbers <- 0
			return
		}
		number, out, ok := start()
		if ok {
			r.pendingCalls[number] = replies
		}
		numbers <- number
		r.handleOutput(out)
	}
	if err := r.enqueue(ctx, command); err != nil {
		return chain.Reply{}, err
	}
	select {
	case reply := <-replies:
		return reply, nil
	case number := <-numbers:
		if number == 0 {
			return chain.Reply{}, ErrBusy
		}
		return r.await(ctx, number, replies)
	case <-ctx.Done():
		go r.cancelAfterStart(numbers)
		return chain.Reply{}, eris.Wrap(ctx.Err(), "replica")
	case <-r.stopped:
		return chain.Reply{}, ErrClosed
	}
}

func (r *Replica) await(ctx context.Context, number int64, replies <-chan chain.Reply) (chain.Reply, error) {
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		r.cancelCall(number)
		return chain.Reply{}, eris.Wrap(ctx.Err(), "replica")
	case <-r.stopped:
		return chain.Reply{}, ErrClosed
	}
}

// cancelAfterStart cancels a call that the owner goroutine has not started yet, once it has.
func (r *Replica) cancelAfterStart(numbers <-chan int64) {
	select {
	case number := <-numbers:
		r.cancelCall(number)
	case <-r.stopped:
	}
}

func (r *Replica) cancelCall(number int64) {
	select {
	case r.commands <- func() {
		delete(r.pendingCalls, number)
		r.node.Abandon(number)
	}:
	case <-r.stopped:
	}
}

func (r *Replica) enqueue(ctx context.Context, command func()) error {
	select {
	case r.commands <- command:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "replica")
	case <-r.stopped:
		return ErrClosed
	}
}

// now returns the monotonic time since the start.
func (r *Replica) now() time.Duration { return time.Since(r.startedAt) }
