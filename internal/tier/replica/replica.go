// Package replica runs one member of the control state: a chain.Node with a journal, peers and a clock.
//
//	r, err := replica.Open(replica.Options{
//		Name: "front-1", Address: "10.1.0.38:7381", Zone: "a", Seeds: seeds, Bootstrap: true, Voter: true,
//		Files: vfs.OS{}, Dir: dir, JournalBytes: 16 << 20,
//		NewStateMachine: func() chain.StateMachine { return controlstate.New() },
//		OnCommit: func(epoch, sequence uint64, snapshot []byte) { ... },
//		Client: client, Mux: mux, Log: logger,
//	})
//	... transport.Listen(address, mux)
//	result, err := r.Propose(ctx, command) // an error leaves open whether it was carried out
//	snapshot, err := r.Read(ctx)           // no older than the call
//
// One goroutine owns node and journal and works through a bounded queue. It waits for the disk: while that stalls the
// replica sends nothing, so the others leave it out.
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

// Errors of calls. After any error of Propose, and after the end of its context, its fate is open.
var (
	// ErrOutcomeUnknown: the command may have been carried out or may yet be.
	ErrOutcomeUnknown = eris.New("replica: it is not known whether the command was carried out")
	// ErrBusy: too many calls wait; this one was not made.
	ErrBusy = eris.New("replica: too many calls wait")
	// ErrClosed: the replica is closed, or ended for want of its disk.
	ErrClosed = eris.New("replica: closed")
)

const (
	// commandBound is how many messages and calls may wait for the owner.
	commandBound = 256
	// segments of the journal, and how many of them are kept free: a vote and a view with the whole state each, and a
	// checkpoint, have to fit in at any time.
	segments      = 6
	spareSegments = 3
	// defaultDiskBytes is used where the options name no bound; a state may be a sixth of it.
	defaultDiskBytes = 24 << 20
	// diskPause follows a write or sync that failed.
	diskPause = 100 * time.Millisecond
)

// Options of a replica.
type Options struct {
	Name, Address, Zone string   // of the node; where other replicas reach it
	Seeds               []string // addresses of the first members' replicas
	Bootstrap           bool     // the first start of the whole system
	Voter               bool     // false: it only forwards calls

	Files        vfs.FS // nil: what it holds is lost with the process
	Dir          string
	JournalBytes int64 // bound of the journal; 0: a default

	NewStateMachine func() chain.StateMachine
	// OnCommit is told of states known to be committed, each newer than the one before; where several follow each other
	// fast some are left out, never the last. It runs in a goroutine of its own. May be nil.
	OnCommit func(epoch, sequence uint64, snapshot []byte)

	Client *transport.Client
	Mux    *transport.Mux // gets the replica's methods; to be served after Open
	Log    log.Interface  // nil: the usual one
}

// Status is what a replica is.
type Status struct {
	Self     view.Member
	View     view.View // its own, or the newest it heard of
	IsMember bool      // of View
}

// Replica is one running member.
type Replica struct {
	options  Options
	log      log.Interface
	node     *chain.Node
	journal  *journal.Journal // nil without a disk
	started  time.Time
	commands chan func()
	peers    *peers
	commits  *notifier
	status   atomic.Pointer[Status]
	waiting  map[int64]chan chain.Reply
	closing  chan struct{}
	closed   atomic.Bool
	ended    chan struct{}
}

// Open takes up what the disk holds and starts the replica. Errors: the disk's, or settings that make no sense.
func Open(o Options) (*Replica, error) {
	if o.Log == nil {
		o.Log = log.Log
	}
	r := &Replica{
		options:  o,
		log:      o.Log,
		started:  time.Now(),
		commands: make(chan func(), commandBound),
		waiting:  map[int64]chan chain.Reply{},
		closing:  make(chan struct{}),
		ended:    make(chan struct{}),
	}
	durable, lost, err := r.openJournal()
	if err != nil {
		return nil, err
	}
	settings := chain.Settings{
		Name: o.Name, Address: o.Address, Zone: o.Zone, Seeds: o.Seeds, Voter: o.Voter,
		Bootstrap: o.Bootstrap && !lost, Random: randomSeed(),
	}
	node, out, err := chain.New(settings, durable, o.NewStateMachine(), r.now())
	if err != nil {
		r.closeJournal()
		return nil, err
	}
	r.node = node
	r.peers = newPeers(o.Client, o.Log)
	r.commits = newNotifier(o.OnCommit)
	r.publish()
	transport.Receive(o.Mux, messageMethod, envelopes, r.receive)
	go r.own(out)
	return r, nil
}

// Propose has a command carried out and gives its result, once it is committed, or once it is confirmed that it changed
// nothing. Errors: ErrOutcomeUnknown, ErrBusy, ErrClosed, or the context's end.
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

// Read gives a committed state that is no older than the call. Errors: ErrBusy, ErrClosed, or the context's end.
func (r *Replica) Read(ctx context.Context) (snapshot []byte, err error) {
	reply, err := r.call(ctx, func() (int64, chain.Output, bool) { return r.node.Read(r.now()) })
	return reply.Snapshot, err
}

// Status is what the replica is at present.
func (r *Replica) Status() Status { return *r.status.Load() }

// View is the view of which the replica is a member, or the newest it heard of; zero: none yet.
func (r *Replica) View() view.View { return r.Status().View }

// Members are the voting members of View.
func (r *Replica) Members() []view.Member { return r.View().Members }

// SetSeeds replaces the addresses to ask for the others.
func (r *Replica) SetSeeds(seeds []string) {
	select {
	case r.commands <- func() { r.node.SetSeeds(seeds) }:
	case <-r.ended:
	}
}

// Stopped is closed once the replica has ended: by Close, or because the disk can't hold its state.
func (r *Replica) Stopped() <-chan struct{} { return r.ended }

// resignPoll is how often LeaveChain looks whether the others go on without this member.
const resignPoll = 10 * time.Millisecond

// LeaveChain has the other members go on without this one before it ends, so that no order waits until its silence is noticed.
// It returns once they do, or when ctx ends; calls are served until Close.
func (r *Replica) LeaveChain(ctx context.Context) {
	if r.enqueue(ctx, func() { r.carryOut(r.node.LeaveChain(r.now())) }) != nil {
		return
	}
	ticker := time.NewTicker(resignPoll)
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
		case <-r.ended:
			return
		}
	}
}

// Close ends the replica; calls that wait get ErrClosed. What was acknowledged is on the disk.
func (r *Replica) Close() error {
	if r.closed.CompareAndSwap(false, true) {
		close(r.closing)
	}
	<-r.ended
	return nil
}

// call makes a call in the owner's goroutine and waits for its reply.
func (r *Replica) call(ctx context.Context, begin func() (int64, chain.Output, bool)) (chain.Reply, error) {
	answer := make(chan chain.Reply, 1)
	made := make(chan int64, 1) // 0: too many wait
	do := func() {
		if ctx.Err() != nil {
			made <- 0
			return
		}
		number, out, ok := begin()
		if ok {
			r.waiting[number] = answer
		}
		made <- number
		r.carryOut(out)
	}
	if err := r.enqueue(ctx, do); err != nil {
		return chain.Reply{}, err
	}
	select {
	case reply := <-answer:
		return reply, nil
	case number := <-made:
		if number == 0 {
			return chain.Reply{}, ErrBusy
		}
		return r.await(ctx, number, answer)
	case <-ctx.Done():
		go r.withdrawLater(made)
		return chain.Reply{}, eris.Wrap(ctx.Err(), "replica")
	case <-r.ended:
		return chain.Reply{}, ErrClosed
	}
}

func (r *Replica) await(ctx context.Context, number int64, answer <-chan chain.Reply) (chain.Reply, error) {
	select {
	case reply := <-answer:
		return reply, nil
	case <-ctx.Done():
		r.withdraw(number)
		return chain.Reply{}, eris.Wrap(ctx.Err(), "replica")
	case <-r.ended:
		return chain.Reply{}, ErrClosed
	}
}

// withdrawLater ends a call whose number the owner hasn't given yet.
func (r *Replica) withdrawLater(made <-chan int64) {
	select {
	case number := <-made:
		r.withdraw(number)
	case <-r.ended:
	}
}

func (r *Replica) withdraw(number int64) {
	select {
	case r.commands <- func() {
		delete(r.waiting, number)
		r.node.Abandon(number)
	}:
	case <-r.ended:
	}
}

func (r *Replica) enqueue(ctx context.Context, do func()) error {
	select {
	case r.commands <- do:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "replica")
	case <-r.ended:
		return ErrClosed
	}
}

// now is the monotonic time since the start.
func (r *Replica) now() time.Duration { return time.Since(r.started) }
