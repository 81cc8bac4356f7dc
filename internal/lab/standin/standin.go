// Package standin plays a day of internal/lab/world on loopback sockets round real sender processes: receivers, the
// platform's list and notices, clients behind a front, and the senders' starts, ends and restarts. What is seen goes to
// internal/lab/referee. How to use it:
//
//	day, err := world.Default().Draw(1)
//	result, err := standin.Play(ctx, day, standin.Options{Command: []string{"bin/emberquay", "serve"}})
//	fmt.Print(result.Verdict)
//
// Everything binds to addresses in 127.0.0.0/8 and is bounded: in time by the day, in calls by its texts, in
// connections by mostConns. When Play returns, also because its context ended, every process that it started has
// ended and every listener is closed. Each sender reaches everything at addresses of its own, so that it is known
// which sender a call is from.
//
// One lock holds the world and the referee: everything that is seen is told under it, in the order of its instants.
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

// Options say how a day is played.
type Options struct {
	Command  []string // starts one sender; it is told where everything is by the GW_ variables
	Env      []string // more of its environment
	Dir      string   // for state, configuration and logs; empty: one of its own, removed at the end
	Progress func(Progress)
}

// Progress is told a few times a second.
type Progress struct {
	Now, End  time.Duration
	HandIns   int
	Submits   int
	Delivered int
	OpenTexts int // taken on, not ended
	Breaches  int
}

// Result is what a day came to.
type Result struct {
	Seed            uint64             `json:"seed"`
	Account         *referee.Account   `json:"account"`
	Breaches        []referee.Breach   `json:"breaches"`
	OmittedBreaches int                `json:"breaches_not_kept"`
	Verdict         string             `json:"-"`
	BestRevenue     map[string]float64 `json:"best_by_capacity"` // revenue by product
	Crashes         []string           `json:"crashes"`
	MaxHandInDelay  time.Duration      `json:"late_ns"`        // the latest that a text was handed in after its time: the machine was busy
	SenderCPU       time.Duration      `json:"sender_cpu_ns"`  // of all senders
	StandinCPU      time.Duration      `json:"standin_cpu_ns"` // of the stand-ins
	Elapsed         time.Duration      `json:"took_ns"`
	PeakMemoryKB    []int64            `json:"sender_peak_kb"` // of each sender, the most of its processes
}

// Passed says whether all rules were kept and no sender crashed.
func (r *Result) Passed() bool { return len(r.Breaches) == 0 && len(r.Crashes) == 0 }

// maxConns bounds the connections at the receivers together.
const maxConns = 8192

// Playback is a day that is being played.
type Playback struct {
	day *world.Day
	opt Options
	net *network

	started   chan struct{} // closed once the day has begun
	startTime time.Time     // when; read only after begun

	mu             sync.Mutex
	ref            *referee.Referee
	submitCounts   map[*world.Text]int // calls that came, of each text
	handInsByID    map[string]*handIn
	lastCallNo     int64
	openConns      int
	pendingHandIns int // hand-ins to come, first ones and repeats
	maxHandInDelay time.Duration
	crashes        []string
	failure        error

	senders    []*sender
	lastSender int            // the sender that had the last hand-in
	log        io.Writer      // where somebody looks on; nil else
	front      *front         // nil before the day begins
	actors     sync.WaitGroup // actors
}

// New lays a day out: addresses are taken, nothing listens yet.
func New(day *world.Day, opt Options) (*Playback, error) {
	n, err := newNetwork()
	if err != nil {
		return nil, err
	}
	s := &Playback{day: day, opt: opt, net: n, started: make(chan struct{}), submitCounts: map[*world.Text]int{}, handInsByID: map[string]*handIn{}}
	s.ref = referee.New(day.World.Rules, day.World.Senders, func(r int) int { return day.Receivers[r].Destination().No })
	for no := range day.World.Senders {
		s.senders = append(s.senders, newSender(s, no))
	}
	return s, nil
}

// now is the span since the day began; nought before it.
func (s *Playback) now() time.Duration {
	select {
	case <-s.started:
		return time.Since(s.startTime)
	default:
		return 0
	}
}

// locked runs under the lock, with the instant.
func (s *Playback) locked(do func(now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do(s.now())
}

// fail ends the day: the stand-ins themselves cannot go on.
func (s *Playback) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure == nil {
		s.failure = err
	}
}

// waitUntil waits for an instant of the day; false if the context ended first.
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

// Play plays a day and gives what it came to.
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
	// The outside stands before the senders start, and until they have ended.
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

// startEnvironment puts up receivers and the platform.
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

// startSenders starts the senders and waits until all are ready; the day begins then.
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

// run plays from the first text until nothing is open any more.
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
				s.locked(func(now time.Duration) { s.ref.ReceiverStateChanged(now, c.Receiver, c.State) })
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
			s.ref.Advance(now)
			done = now >= s.day.End || now >= s.day.Length && s.pendingHandIns == 0 && s.ref.OpenTexts() == 0 && s.senderEventsDone(now)
			err = s.failure
		})
		if s.opt.Progress != nil && n%3 == 0 {
			s.opt.Progress(s.progress())
		}
		if done || err != nil {
			cancel()
			events.Wait()
			s.locked(func(now time.Duration) { s.ref.Finish(max(now, s.day.End)) })
			return err
		}
	}
}

// senderEventsDone: nothing befalls a sender any more.
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
	a := s.ref.Account()
	p := Progress{Now: s.now(), End: s.day.Length, HandIns: a.HandIns, Submits: a.Submits, OpenTexts: s.ref.OpenTexts(), Breaches: len(s.ref.Breaches) + s.ref.OmittedBreaches}
	for _, o := range a.Products {
		p.Delivered += o.InTime + o.Late
	}
	return p
}

func (s *Playback) result() *Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &Result{Seed: s.day.Seed, Account: s.ref.Account(), Breaches: s.ref.Breaches, OmittedBreaches: s.ref.OmittedBreaches, Verdict: s.ref.Verdict(),
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

// network is the part of the loopback range that one stage has to itself.
type network struct {
	block       int
	reservation net.Listener // while it listens, the block is taken
}

// newNetwork takes a block of addresses that no other stage has.
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

// receiverAddr is where a sender reaches the receiver of a place.
func (n *network) receiverAddr(sender, place int) string {
	return fmt.Sprintf("127.%d.%d.1:%d", n.block, sender+1, 10000+place)
}

// platformAddr is a sender's platform, anew after each new configuration.
func (n *network) platformAddr(sender, reconfigurations int) string {
	return fmt.Sprintf("127.%d.%d.2:%d", n.block, sender+1, 8500+reconfigurations)
}

// frontAddr is where clients reach a sender.
func (n *network) frontAddr(sender int) string {
	return fmt.Sprintf("127.%d.%d.3:8443", n.block, sender+1)
}
