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

// Intervals and timeouts of a node. Safety depends on none of them.
const (
	// heartbeatInterval is the time between heartbeats; view.SuspectTimeout spans three and a half of them.
	heartbeatInterval = 200 * time.Millisecond
	// recentlyHeardWithin is the age up to which a node is reported as heard: slightly more than two heartbeats.
	recentlyHeardWithin = 450 * time.Millisecond
	// busyTickInterval is the time between Ticks while something waits for an answer.
	busyTickInterval = 50 * time.Millisecond
	// resendAfter is how long a member waits for another member's answer before it resends the request.
	resendAfter = 200 * time.Millisecond
	// viewRefreshInterval is how often a forwarder asks for a newer view: callers that count the members' votes rely on
	// this node to know who the members are.
	viewRefreshInterval = time.Second
	// stalledAfter is a gap between two Ticks that means that this process was suspended. What it didn't hear meanwhile
	// says nothing about the other nodes.
	stalledAfter = heartbeatInterval + 250*time.Millisecond
)

// Limits of a node's queues. What exceeds them is dropped and resent by its sender.
const (
	maxQueuedCommands = 64  // commands queued at the head
	maxWaiters        = 256 // reads and refusals that wait for a confirmation of the epoch
	maxPendingCalls   = 256 // calls of this process
	maxJoining        = 16  // nodes that asked to join
	maxContacts       = 32  // addresses beside the seeds
)

// Settings configure a node.
type Settings struct {
	Name, Address, Zone string
	Voter               bool     // false: a forwarder, which holds no state and needs no disk
	Bootstrap           bool     // the first start of the whole cluster
	Seeds               []string // addresses of the first members
	Random              [2]uint64
}

// Output lists the required actions, to be carried out in the order of the fields: see the package comment.
type Output struct {
	Persist   []Record
	Committed []CommittedState
	Send      []Envelope
	Replies   []Reply
}

// CommittedState is a state known to be committed. Some may be skipped, but an older one never follows a newer one.
type CommittedState struct {
	Epoch    int64
	Sequence int64
	Snapshot []byte
}

// Reply completes a Propose or Read of this process.
type Reply struct {
	Number   int64
	Unknown  bool // it is not known whether the command was applied
	Changed  bool
	Result   []byte
	Epoch    int64 // of a Read, as are the two fields below
	Sequence int64
	Snapshot []byte
}

// Node is a member, a node that wants to become one, or a forwarder: a node that only forwards calls.
type Node struct {
	settings  Settings
	self      view.Member
	processID int64 // identifies this process in CommandIDs
	random    *rand.Rand
	machine   StateMachine

	now           time.Duration
	lastTick      time.Duration
	lastHeartbeat time.Duration
	// lastViewRefresh is when a forwarder last asked for a newer view.
	lastViewRefresh time.Duration
	output          Output
	inbox           []Envelope // messages to itself, handled within the same step

	view                view.View // zero: not a member
	newestView          view.View // newest view heard of
	rememberedAddresses []string  // member addresses from before this node was removed
	contacts            []string  // addresses of other nodes, see SetContacts
	acceptor            view.Acceptor[Proposal]

	sequence    int64
	committed   int64
	recent      []Outcome
	newestEntry *Entry // newest entry of this epoch
	lastAppend  time.Duration

	newestCommitted     CommittedState // newest committed state whose snapshot is available here
	knownCommitted      int64          // newest sequence known to be committed
	knownCommittedValid bool           // knownCommitted is valid: a commit was heard of, or it is known that there is none

	leavingChain bool // this process is about to stop

	bootstrap bootstrapState

	commandQueue []queuedCommand // at the head
	inFlight     inFlightCommand // at the head

	confirmation epochConfirmation
	calls        pendingCalls

	peers   map[view.MemberID]*peerState
	joining map[view.MemberID]view.Member

	attempt         *attempt
	highestRound    int64         // highest ballot round heard of
	lastBallotAt    time.Duration // when the last ballot was seen
	retryAt         time.Duration
	planned         plannedChange
	lastViewRequest time.Duration
}

// New creates a node from the contents of its disk. Time may start anywhere but never decreases. It returns an error for
// invalid settings or inconsistent disk contents.
func New(s Settings, d *DurableState, machine StateMachine, now time.Duration) (*Node, Output, error) {
	n := &Node{
		settings:        s,
		random:          rand.New(rand.NewPCG(s.Random[0], s.Random[1])),
		machine:         machine,
		now:             now,
		lastTick:        now,
		lastHeartbeat:   now - heartbeatInterval,
		lastViewRefresh: now - viewRefreshInterval,
		lastViewRequest: now - resendAfter,
		peers:           map[view.MemberID]*peerState{},
		joining:         map[view.MemberID]view.Member{},
	}
	n.processID = n.random.Int64()
	n.confirmation.nonce = n.random.Int64N(math.MaxInt64 / 2)
	n.calls.pending = map[int64]*pendingCall{}
	n.self = view.Member{Name: s.Name, Address: s.Address, Zone: s.Zone}
	if err := n.start(d); err != nil {
		return nil, Output{}, err
	}
	return n, n.takeOutput(), nil
}

// start loads the state from the disk, or initializes an empty disk.
func (n *Node) start(d *DurableState) error {
	if !n.settings.Voter {
		n.self.ID = n.newMemberID()
		return nil
	}
	if d.Member.ID == 0 {
		return n.startWithEmptyDisk()
	}
	n.self.ID, n.rememberedAddresses = d.Member.ID, d.Known
	if d.View.Epoch == 0 {
		if isUninitialized(d) {
			n.awaitBootstrap(firstMemberAddresses(d))
		}
		return nil
	}
	recent, last, err := d.restore(n.machine)
	if err != nil {
		return err
	}
	n.view, n.newestView, n.acceptor = d.View, d.View, d.Acceptor
	n.sequence, n.committed = d.sequence(), min(d.Committed, d.sequence())
	n.recent = recent
	if n.committed < n.sequence {
		n.newestEntry = last
	}
	n.highestRound = n.acceptor.Promised.Round
	n.trackMembers()
	n.publishCommitted()
	return nil
}

// startWithEmptyDisk starts as a first member at the first start of the whole cluster, and as a new node otherwise.
func (n *Node) startWithEmptyDisk() error {
	if seeds := sortedDistinct(n.settings.Seeds); n.settings.Bootstrap && slices.Contains(seeds, n.self.Address) {
		first := firstView(seeds)
		n.initializeFirstMember(first)
		return first.Validate()
	}
	n.self.ID = n.newMemberID()
	n.persist(IdentityRecord{Member: n.self})
	n.awaitBootstrap(nil)
	return nil
}

// FirstMemberID returns the id of the first member at an address. It is derived from the address, so that all first
// members know it without a message.
func FirstMemberID(address string) view.MemberID {
	return view.MemberID(max(int64(xxhash.Sum64String(address)>>1), 1))
}

func (n *Node) newMemberID() view.MemberID { return view.MemberID(max(n.random.Int64(), 1)) }

// Step handles a message.
func (n *Node) Step(now time.Duration, e Envelope) Output {
	n.now = max(n.now, now)
	n.receive(e)
	return n.takeOutput()
}

// takeOutput handles the messages of the node to itself and returns the collected output. Such messages may be handled
// before the disk is synced, as nothing leaves the process until then.
func (n *Node) takeOutput() Output {
	for len(n.inbox) > 0 {
		e := n.inbox[0]
		n.inbox = n.inbox[1:]
		n.receive(e)
	}
	n.inbox = nil
	out := n.output
	n.output = Output{}
	return out
}

func (n *Node) receive(e Envelope) {
	if e.To.ID != 0 && e.To.ID != n.self.ID {
		return // addressed to a former member id of this node
	}
	n.recordContact(e.From)
	switch m := e.Body.(type) {
	case Heartbeat:
		n.onHeartbeat(e.From, m)
	case LeavingChain:
		n.onLeavingChain(e.From, m)
	case ViewNotice:
		n.onViewNotice(e.From, m)
	case ViewRequest:
		n.onViewRequest(e.From, m)
	case InstallView:
		n.onInstallView(e.From, m)
	case JoinRequest:
		n.onJoinRequest(e.From, m)
	case BootstrapProbe:
		n.onBootstrapProbe(e.From, m)
	case PristineReply:
		n.onPristineReply(e.From, m)
	case Prepare:
		n.onPrepare(e.From, m)
	case Promise:
		n.onPromise(e.From, m)
	case BallotRejected:
		n.onBallotRejected(m)
	case Accept:
		n.onAccept(e.From, m)
	case Accepted:
		n.onAccepted(e.From, m)
	case Append:
		n.onAppend(e.From, m)
	case Ack:
		n.onAck(e.From, m)
	case ConfirmEpoch:
		n.onConfirmEpoch(e.From, m)
	case EpochConfirmed:
		n.onEpochConfirmed(e.From, m)
	case Propose:
		n.onPropose(e.From, m)
	case ProposeResult:
		n.onProposeResult(m)
	case Read:
		n.onRead(e.From, m)
	case ReadResult:
		n.onReadResult(m)
	default:
		panic(eris.Errorf("chain: unknown message type %T", e.Body))
	}
}

// Tick does everything that is due.
func (n *Node) Tick(now time.Duration) Output {
	now = max(n.now, now)
	if now-n.lastTick > stalledAfter {
		n.resetSilence(now)
	}
	n.now, n.lastTick = now, now
	n.sendHeartbeats()
	n.refreshView()
	n.resendAppend()
	n.resendConfirmEpoch()
	n.requestViewForStalledCalls()
	n.resendCalls()
	n.reconfigure()
	return n.takeOutput()
}

// Deadline returns the latest time for the next Tick.
func (n *Node) Deadline() time.Duration {
	switch {
	case n.busy():
		return n.lastTick + busyTickInterval
	case !n.settings.Voter:
		return max(n.lastTick, n.lastViewRefresh+viewRefreshInterval)
	}
	return n.lastHeartbeat + heartbeatInterval
}

func (n *Node) busy() bool {
	return n.attempt != nil || n.planned.change != view.NoChange || n.acceptor.Sealed() || n.committed < n.sequence ||
		n.confirmation.active || len(n.calls.pending) > 0
}

// Self returns this node as a member. Its id changes when it is removed.
func (n *Node) Self() view.Member { return n.self }

// SetSeeds replaces the seed addresses.
func (n *Node) SetSeeds(seeds []string) { n.settings.Seeds = slices.Clone(seeds) }

// SetContacts replaces the addresses of nodes at which members may be found beside the seeds, as those may all be down.
func (n *Node) SetContacts(addresses []string) {
	n.contacts = slices.Clone(addresses[:min(len(addresses), maxContacts)])
}

// View returns the view that this node is a member of, or else the newest one it heard of.
func (n *Node) View() view.View {
	if n.isMember() {
		return n.view
	}
	return n.newestView
}

// IsMember reports whether this node is a member of its view.
func (n *Node) IsMember() bool { return n.isMember() }

// Progress returns the sequences of the newest entry taken and of the newest entry known to be committed.
func (n *Node) Progress() (sequence, committed int64) { return n.sequence, n.committed }

// Checkpoint returns records that replace all previous ones.
func (n *Node) Checkpoint() []Record {
	records := []Record{IdentityRecord{Member: n.self, Known: n.rememberedAddresses}}
	if !n.isMember() {
		return records
	}
	adoption := ViewRecord{View: n.view, State: n.fullState(), Committed: n.committed}
	if n.newestEntry != nil {
		adoption.Last = []Entry{*n.newestEntry}
	}
	return append(records, adoption, VoteRecord{Epoch: n.view.Epoch, Acceptor: n.acceptor})
}

func (n *Node) isMember() bool { return n.view.Epoch > 0 }

func (n *Node) persist(r Record) { n.output.Persist = append(n.output.Persist, r) }

func (n *Node) peer() Peer { return Peer{ID: n.self.ID, Address: n.self.Address} }

func (n *Node) send(to Peer, body Message) {
	e := Envelope{From: n.peer(), To: to, Body: body}
	if to.ID == n.self.ID {
		n.inbox = append(n.inbox, e)
		return
	}
	n.output.Send = append(n.output.Send, e)
}

func (n *Node) sendMember(m view.Member, body Message) {
	n.send(Peer{ID: m.ID, Address: m.Address}, body)
}

// jitter returns a random delay below limit, which makes it unlikely that two nodes act at the same time.
func (n *Node) jitter(limit time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(limit)))
}
