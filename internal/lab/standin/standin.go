// Package standin runs a day of internal/lab/world on loopback sockets around real sender processes. It simulates the
// receivers, the platform (receiver list and notices) and the clients behind a load balancer, and it starts, stops and
// restarts the senders. Every observation is passed to internal/lab/referee. Usage:
//
//	day, err := world.Default().Draw(1)
//	result, err := standin.Play(ctx, day, standin.Options{Command: []string{"bin/emberquay", "serve"}})
//	fmt.Print(result.Verdict)
//
// Everything binds to addresses in 127.0.0.0/8 and is bounded: time by the day, calls by its texts, connections by
// maxConns. When Play returns, also after its context was cancelled, every process that it started has exited and
// every listener is closed. Each sender uses its own set of addresses, which identifies the sender of a call.
//
// One lock guards the world and the referee: observations are reported under it, in chronological order.
package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"emberquay/internal/lab/processes"
	"emberquay/internal/lab/referee"
	"emberquay/internal/lab/world"
)

// Options configure how a day is played.
type Options struct {
	Command  []string // starts one sender; the GW_ variables pass it the addresses and paths
	Env      []string // additional environment variables of the sender
	Dir      string   // for state, configuration and logs; empty: a temporary directory, removed at the end
	Progress func(Progress)
}

// Progress is reported about three times a second.
type Progress struct {
	Now, End  time.Duration
	HandIns   int
	Submits   int
	Delivered int
	OpenTexts int // accepted and without a final outcome
	Breaches  int
}

// Result holds the outcome of a day.
type Result struct {
	Seed            uint64             `json:"seed"`
	Account         *referee.Account   `json:"account"`
	Breaches        []referee.Breach   `json:"breaches"`
	OmittedBreaches int                `json:"breaches_not_kept"`
	Verdict         string             `json:"-"`
	BestRevenue     map[string]float64 `json:"best_by_capacity"` // revenue by product
	Crashes         []string           `json:"crashes"`
	MaxHandInDelay  time.Duration      `json:"late_ns"`        // longest delay of a hand-in behind its scheduled time, caused by a busy machine
	SenderCPU       time.Duration      `json:"sender_cpu_ns"`  // total of all senders
	StandinCPU      time.Duration      `json:"standin_cpu_ns"` // of this process, which runs the stand-ins
	Elapsed         time.Duration      `json:"took_ns"`
	PeakMemoryKB    []int64            `json:"sender_peak_kb"` // by sender, the maximum over its processes
}

// Passed reports whether no rule was broken and no sender crashed.
func (r *Result) Passed() bool { return len(r.Breaches) == 0 && len(r.Crashes) == 0 }

// maxConns limits the connections to all receivers together.
const maxConns = 8192

// Playback is a day that is being played.
type Playback struct {
	day *world.Day
	opt Options
	net *network

	started   chan struct{} // closed when the day starts
	startTime time.Time     // read only after started is closed

	mu             sync.Mutex
	referee        *referee.Referee
	submitCounts   map[*world.Text]int // calls received, by text
	handInsByID    map[string]*handIn
	lastCallNo     int64
	openConns      int
	pendingHandIns int // outstanding hand-ins, first ones and retries
	maxHandInDelay time.Duration
	crashes        []string
	failure        error

	senders []*sender
	turns   int            // counts the picks of nextSender, for round-robin
	log     io.Writer      // event log of RunEnvironment; nil otherwise
	front   *front         // nil before the day starts
	actors  sync.WaitGroup // goroutines of the simulated parties
}

// New prepares a day: it reserves a block of addresses; no receiver, platform or sender listens yet.
func New(day *world.Day, opt Options) (*Playback, error) {
	n, err := newNetwork()
	if err != nil {
		return nil, err
	}
	s := &Playback{day: day, opt: opt, net: n, started: make(chan struct{}), submitCounts: map[*world.Text]int{}, handInsByID: map[string]*handIn{}}
	s.referee = referee.New(day.World.Rules, day.World.Senders, func(r int) int { return day.Receivers[r].Destination().No })
	for no := range day.World.Senders {
		s.senders = append(s.senders, newSender(s, no))
	}
	return s, nil
}

// now returns the time since the start of the day, and 0 before it.
func (s *Playback) now() time.Duration {
	select {
	case <-s.started:
		return time.Since(s.startTime)
	default:
		return 0
	}
}

// locked calls do under the lock with the current time of the day.
func (s *Playback) locked(do func(now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do(s.now())
}

// fail ends the day because of an error of the stand-ins themselves; the first error is kept.
func (s *Playback) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure == nil {
		s.failure = err
	}
}

// waitUntil waits for a time of the day; it returns false if the context ends first.
func (s *Playback) waitUntil(ctx context.Context, at time.Duration) bool {
	select {
	case <-s.started:
	case <-ctx.Done():
		return false
	}
	t := time.NewTimer(at - s.now())
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// Play plays a day and returns its result.
func Play(ctx context.Context, day *world.Day, opt Options) (*Result, error) {
	if opt.Dir == "" {
		dir, err := os.MkdirTemp("", "quaylab-")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		opt.Dir = dir
	}
	s, err := New(day, opt)
	if err != nil {
		return nil, err
	}
	defer s.net.close()
	return s.play(ctx)
}

func (s *Playback) play(parent context.Context) (*Result, error) {
	ctx, stop := context.WithCancel(parent)
	defer stop()
	launch := processes.NewLauncher()
	defer launch.Close()
	// Receivers and the platform are up before the senders start and until they have exited.
	if err := s.startEnvironment(ctx); err != nil {
		stop()
		s.actors.Wait()
		return nil, err
	}
	err := s.startSenders(ctx, launch)
	if err == nil {
		err = s.run(ctx, launch)
	}
	for _, snd := range s.senders {
		snd.shutdown()
	}
	stop()
	s.actors.Wait()
	if err != nil {
		return nil, err
	}
	return s.result(), parent.Err()
}

// startEnvironment starts the receivers and the platform.
func (s *Playback) startEnvironment(ctx context.Context) error {
	for _, snd := range s.senders {
		a, err := newPlatform(s, snd.no, snd.platformAddr())
		if err != nil {
			return err
		}
		snd.platform = a
		s.actors.Go(func() { <-ctx.Done(); snd.currentPlatform().close() })
		for place := range s.day.Receivers {
			if s.day.Receivers[place].AddressNo == place {
				s.actors.Go(func() { s.serveReceivers(ctx, snd.no, place) })
			}
		}
	}
	return nil
}

// startSenders starts the senders and waits until all are ready; the day starts then.
func (s *Playback) startSenders(ctx context.Context, launch *processes.Launcher) error {
	for _, snd := range s.senders {
		if err := os.MkdirAll(filepath.Join(s.opt.Dir, snd.name(), "state"), 0o700); err != nil {
			return err
		}
		if err := snd.start(ctx, launch); err != nil {
			return err
		}
	}
	for _, snd := range s.senders {
		if err := snd.waitReady(ctx); err != nil {
			return err
		}
	}
	s.startTime = time.Now()
	close(s.started)
	return nil
}

// run plays the day until no text, hand-in or sender event is outstanding, or until the day's end.
func (s *Playback) run(ctx context.Context, launch *processes.Launcher) error {
	f := newFront(ctx, s)
	defer f.close()
	eventsCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var events sync.WaitGroup
	for _, snd := range s.senders {
		events.Go(func() { snd.playEvents(eventsCtx, launch) })
	}
	for _, c := range s.day.Changes {
		s.actors.Go(func() {
			if s.waitUntil(ctx, c.At) {
				s.locked(func(now time.Duration) { s.referee.ReceiverStateChanged(now, c.Receiver, c.State) })
			}
		})
	}
	s.actors.Go(f.play)
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			cancel()
			events.Wait()
			return nil
		case <-tick.C:
		}
		done := false
		var err error
		s.locked(func(now time.Duration) {
			s.referee.Advance(now)
			done = now >= s.day.End || now >= s.day.Length && s.pendingHandIns == 0 && s.referee.OpenTexts() == 0 && s.senderEventsDone(now)
			err = s.failure
		})
		if s.opt.Progress != nil && n%3 == 0 {
			s.opt.Progress(s.progress())
		}
		if done || err != nil {
			cancel()
			events.Wait()
			s.locked(func(now time.Duration) { s.referee.Finish(max(now, s.day.End)) })
			return err
		}
	}
}

// senderEventsDone reports whether all scheduled sender events are over.
func (s *Playback) senderEventsDone(now time.Duration) bool {
	for _, f := range s.day.Fates {
		if now < time.Duration((f.AtS+f.DownS)*float64(time.Second))+500*time.Millisecond {
			return false
		}
	}
	return true
}

func (s *Playback) progress() Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.referee.Account()
	p := Progress{Now: s.now(), End: s.day.Length, HandIns: a.HandIns, Submits: a.Submits, OpenTexts: s.referee.OpenTexts(), Breaches: len(s.referee.Breaches) + s.referee.OmittedBreaches}
	for _, o := range a.Products {
		p.Delivered += o.InTime + o.Late
	}
	return p
}

func (s *Playback) result() *Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &Result{Seed: s.day.Seed, Account: s.referee.Account(), Breaches: s.referee.Breaches, OmittedBreaches: s.referee.OmittedBreaches, Verdict: s.referee.Verdict(),
		BestRevenue: s.day.BestRevenue(), Crashes: s.crashes, MaxHandInDelay: s.maxHandInDelay, Elapsed: s.now()}
	for _, snd := range s.senders {
		r.SenderCPU += snd.cpuTime
		r.PeakMemoryKB = append(r.PeakMemoryKB, snd.peakMemoryKB)
	}
	var own syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &own) == nil {
		r.StandinCPU = time.Duration(own.Utime.Nano() + own.Stime.Nano())
	}
	return r
}

// network is the block of loopback addresses that is reserved for one playback.
type network struct {
	block       int
	reservation net.Listener // reserves the block as long as it listens
}

// newNetwork reserves a block of addresses that no other playback uses.
func newNetwork() (*network, error) {
	for i := range 100 {
		block := 16 + (os.Getpid()+i)%100
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:7999", block))
		if err == nil {
			return &network{block, l}, nil
		}
	}
	return nil, errors.New("no block of loopback addresses is free: 127.16.255.1 to 127.115.255.1 are all taken at port 7999")
}

func (n *network) close() { n.reservation.Close() }

// receiverAddr returns the address at which a sender reaches the receiver of a place.
func (n *network) receiverAddr(sender, place int) string {
	return fmt.Sprintf("127.%d.%d.1:%d", n.block, sender+1, 10000+place)
}

// platformAddr returns the address of a sender's platform; it changes with each reconfiguration.
func (n *network) platformAddr(sender, reconfigurations int) string {
	return fmt.Sprintf("127.%d.%d.2:%d", n.block, sender+1, 8500+reconfigurations)
}

// frontAddr returns the address at which clients reach a sender.
func (n *network) frontAddr(sender int) string {
	return fmt.Sprintf("127.%d.%d.3:8443", n.block, sender+1)
}
