package chain

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"emberquay/coordination/view"
)

// Intervals of a node. None of them has a part in what is safe.
const (
	// heartbeatEvery is the pause between heartbeats; SuspectAfter is three of them and a half.
	heartbeatEvery = 200 * time.Millisecond
	// heardWithin is how old a sign of life may be to be told to others: two heartbeats and a little.
	heardWithin = 450 * time.Millisecond
	// busyEvery is how often Tick is wanted while something waits for an answer.
	busyEvery = 50 * time.Millisecond
	// resendAfter is how long an answer among members may take before the question is sent again.
	resendAfter = 200 * time.Millisecond
	// followEvery is how often one that only forwards calls asks for a newer view: whoever counts the members' votes on
	// its word must know who they are.
	followEvery = time.Second
	// lateTick is a pause between two Ticks after which the process must have been stopped: what it didn't hear
	// meanwhile says nothing about the others.
	lateTick = heartbeatEvery + 250*time.Millisecond
)

// Bounds of a node's queues. What is over them is dropped; its sender sends it again.
const (
	maxQueue   = 64  // commands at the head
	maxWaiters = 256 // reads and refusals that wait to be confirmed
	maxPending = 256 // calls of this process
	maxJoining = 16  // nodes that ask to join
)

// Settings of a node.
type Settings struct {
	Name, Address, Zone string
	Voter               bool     // false: forwards calls only, holds no state and needs no disk
	Bootstrap           bool     // the first start of the whole system
	Seeds               []string // addresses of the first members
	Random              [2]uint64
}

// Output is what has to be done, in the order of the fields: see the package comment.
type Output struct {
	Persist   []Record
	Committed []CommittedState
	Send      []Envelope
	Replies   []Reply
}

// CommittedState is a state that is known to be committed. Not every one is told, but never an older after a newer.
type CommittedState struct {
	Epoch    int64
	Sequence int64
	Snapshot []byte
}

// Reply ends a Propose or Read of this process.
type Reply struct {
	Number   int64
	Unknown  bool // the fate of the command is open
	Changed  bool
	Result   []byte
	Epoch    int64 // of a Read, as the two below
	Sequence int64
	Snapshot []byte
}

// Node is one member, or one that wants to be, or one that forwards.
type Node struct {
	settings Settings
	self     view.Member
	process  int64 // names this process in CommandIDs
	random   *rand.Rand
	machine  StateMachine

	now      time.Duration
	lastTick time.Duration
	lastBeat time.Duration
	// lastFollow is when a node that only forwards last asked for a newer view.
	lastFollow time.Duration
	out        Output
	inbox      []Envelope // to itself, within the step

	view       view.View // zero: not a member
	known      view.View // the newest heard of
	remembered []string  // addresses from before this node was removed
	acceptor   view.Acceptor[Proposal]

	sequence   int64
	committed  int64
	recent     []Outcome
	last       *Entry // newest of this epoch
	lastAppend time.Duration

	newest      CommittedState // newest committed state whose bytes are here
	knownCommit int64          // newest sequence heard of as committed
	learnt      bool           // knownCommit tells something: this process has heard of a commit, or that there is none

	leaving bool // this process is about to stop

	beginning beginning

	queue  []proposed // head
	flight flight     // head

	confirm confirmation
	calls   calls

	contacts map[view.MemberID]*contact
	joining  map[view.MemberID]view.Member

	attempt    *attempt
	highest    int64         // round heard of
	lastBallot time.Duration // when the last ballot was heard of
	retryAt    time.Duration
	wanted     wanted
	lastAsk    time.Duration
}

// New makes a node from its disk. Time counts from any moment, and on. Errors: a disk or settings that make no sense.
func New(s Settings, d *DurableState, machine StateMachine, now time.Duration) (*Node, Output, error) {
	n := &Node{
		settings:   s,
		random:     rand.New(rand.NewPCG(s.Random[0], s.Random[1])),
		machine:    machine,
		now:        now,
		lastTick:   now,
		lastBeat:   now - heartbeatEvery,
		lastFollow: now - followEvery,
		lastAsk:    now - resendAfter,
		contacts:   map[view.MemberID]*contact{},
		joining:    map[view.MemberID]view.Member{},
	}
	n.process = n.random.Int64()
	n.confirm.nonce = n.random.Int64N(math.MaxInt64 / 2)
	n.calls.pending = map[int64]*call{}
	n.self = view.Member{Name: s.Name, Address: s.Address, Zone: s.Zone}
	if err := n.start(d); err != nil {
		return nil, Output{}, err
	}
	return n, n.finish(), nil
}

// start takes up what the disk holds, or begins it.
func (n *Node) start(d *DurableState) error {
	if !n.settings.Voter {
		n.self.ID = n.newID()
		return nil
	}
	if d.Member.ID == 0 {
		return n.startEmpty()
	}
	n.self.ID, n.remembered = d.Member.ID, d.Known
	if d.View.Epoch == 0 {
		if wasUnbegun(d) {
			n.awaitBeginning(firstMembers(d))
		}
		return nil
	}
	recent, last, err := d.restore(n.machine)
	if err != nil {
		return err
	}
	n.view, n.known, n.acceptor = d.View, d.View, d.Acceptor
	n.sequence, n.committed = d.sequence(), min(d.Committed, d.sequence())
	n.recent = recent
	if n.committed < n.sequence {
		n.last = last
	}
	n.highest = n.acceptor.Promised.Round
	n.meetMembers()
	n.noteCommitted()
	return nil
}

// startEmpty begins as a first member at the first start of the whole system, and as a new one at any other.
func (n *Node) startEmpty() error {
	if seeds := sortedDistinct(n.settings.Seeds); n.settings.Bootstrap && slices.Contains(seeds, n.self.Address) {
		first := firstView(seeds)
		n.beginFirst(first)
		return first.Validate()
	}
	n.self.ID = n.newID()
	n.persist(IdentityRecord{Member: n.self})
	n.awaitBeginning(nil)
	return nil
}

// FirstMemberID is the id of the first member at an address: all know it without a message.
func FirstMemberID(address string) view.MemberID {
	return view.MemberID(max(int64(xxhash.Sum64String(address)>>1), 1))
}

func (n *Node) newID() view.MemberID { return view.MemberID(max(n.random.Int64(), 1)) }

// Step takes a message.
func (n *Node) Step(now time.Duration, e Envelope) Output {
	n.now = max(n.now, now)
	n.receive(e)
	return n.finish()
}

// finish handles what the node has sent to itself. That may come before the disk is synced: nothing of it leaves the
// process before that.
func (n *Node) finish() Output {
	for len(n.inbox) > 0 {
		e := n.inbox[0]
		n.inbox = n.inbox[1:]
		n.receive(e)
	}
	n.inbox = nil
	out := n.out
	n.out = Output{}
	return out
}

func (n *Node) receive(e Envelope) {
	if e.To.ID != 0 && e.To.ID != n.self.ID {
		return // to the member that this node was before
	}
	n.hear(e.From)
	switch m := e.Body.(type) {
	case Heartbeat:
		n.onHeartbeat(e.From, m)
	case LeavingChain:
		n.onLeave(e.From, m)
	case ViewNotice:
		n.onHint(e.From, m)
	case ViewRequest:
		n.onAsk(e.From, m)
	case InstallView:
		n.onAdopt(e.From, m)
	case JoinRequest:
		n.onJoin(e.From, m)
	case BootstrapProbe:
		n.onInquire(e.From, m)
	case PristineReply:
		n.onUntouched(e.From, m)
	case Prepare:
		n.onPrepare(e.From, m)
	case Promise:
		n.onPromise(e.From, m)
	case BallotRejected:
		n.onOutbid(m)
	case Accept:
		n.onAccept(e.From, m)
	case Accepted:
		n.onAccepted(e.From, m)
	case Append:
		n.onAppend(e.From, m)
	case Ack:
		n.onAck(e.From, m)
	case ConfirmEpoch:
		n.onConfirm(e.From, m)
	case EpochConfirmed:
		n.onConfirmed(e.From, m)
	case Propose:
		n.onPropose(e.From, m)
	case ProposeResult:
		n.onResult(m)
	case Read:
		n.onRead(e.From, m)
	case ReadResult:
		n.onReadResult(m)
	default:
		panic(eris.Errorf("chain: message of type %T", e.Body))
	}
}

// Tick does what is due.
func (n *Node) Tick(now time.Duration) Output {
	now = max(n.now, now)
	if now-n.lastTick > lateTick {
		n.excuseSilence(now)
	}
	n.now, n.lastTick = now, now
	n.beat()
	n.follow()
	n.resendAppend()
	n.resendConfirm()
	n.findView()
	n.resendCalls()
	n.reconfigure()
	return n.finish()
}

// Deadline is when Tick is wanted at the latest.
func (n *Node) Deadline() time.Duration {
	switch {
	case n.busy():
		return n.lastTick + busyEvery
	case !n.settings.Voter:
		return max(n.lastTick, n.lastFollow+followEvery)
	}
	return n.lastBeat + heartbeatEvery
}

func (n *Node) busy() bool {
	return n.attempt != nil || n.wanted.change != view.NoChange || n.acceptor.Sealed() || n.committed < n.sequence ||
		n.confirm.active || len(n.calls.pending) > 0
}

// Self is this node as a member; its id is another after it was removed.
func (n *Node) Self() view.Member { return n.self }

// SetSeeds replaces the addresses of the seeds.
func (n *Node) SetSeeds(seeds []string) { n.settings.Seeds = slices.Clone(seeds) }

// View is the view that this node is a member of, or the newest it heard of.
func (n *Node) View() view.View {
	if n.member() {
		return n.view
	}
	return n.known
}

// IsMember says whether this node is a member of its view.
func (n *Node) IsMember() bool { return n.member() }

// Progress is the newest entry taken and the newest known as committed.
func (n *Node) Progress() (sequence, committed int64) { return n.sequence, n.committed }

// Checkpoint gives records that stand for all before them.
func (n *Node) Checkpoint() []Record {
	records := []Record{IdentityRecord{Member: n.self, Known: n.remembered}}
	if !n.member() {
		return records
	}
	adoption := ViewRecord{View: n.view, State: n.fullState(), Committed: n.committed}
	if n.last != nil {
		adoption.Last = []Entry{*n.last}
	}
	return append(records, adoption, VoteRecord{Epoch: n.view.Epoch, Acceptor: n.acceptor})
}

func (n *Node) member() bool { return n.view.Epoch > 0 }

func (n *Node) persist(r Record) { n.out.Persist = append(n.out.Persist, r) }

func (n *Node) peer() Peer { return Peer{ID: n.self.ID, Address: n.self.Address} }

func (n *Node) send(to Peer, body Message) {
	e := Envelope{From: n.peer(), To: to, Body: body}
	if to.ID == n.self.ID {
		n.inbox = append(n.inbox, e)
		return
	}
	n.out.Send = append(n.out.Send, e)
}

func (n *Node) sendMember(m view.Member, body Message) {
	n.send(Peer{ID: m.ID, Address: m.Address}, body)
}

// jitter is a random part of a delay, so that two nodes seldom do the same at once.
func (n *Node) jitter(most time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(most)))
}
