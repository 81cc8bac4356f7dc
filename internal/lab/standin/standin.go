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
	Open      int // taken on, not ended
	Breaches  int
}

// Result is what a day came to.
type Result struct {
	Seed     uint64             `json:"seed"`
	Account  *referee.Account   `json:"account"`
	Breaches []referee.Breach   `json:"breaches"`
	More     int                `json:"breaches_not_kept"`
	Verdict  string             `json:"-"`
	Best     map[string]float64 `json:"best_by_capacity"` // revenue by product
	Crashes  []string           `json:"crashes"`
	Late     time.Duration      `json:"late_ns"`        // the latest that a text was handed in after its time: the machine was busy
	CPU      time.Duration      `json:"sender_cpu_ns"`  // of all senders
	OwnCPU   time.Duration      `json:"standin_cpu_ns"` // of the stand-ins
	Took     time.Duration      `json:"took_ns"`
	MemoryKB []int64            `json:"sender_peak_kb"` // of each sender, the most of its processes
}

// Kept says whether all rules were kept and no sender crashed.
func (r *Result) Kept() bool { return len(r.Breaches) == 0 && len(r.Crashes) == 0 }

// mostConns bounds the connections at the receivers together.
const mostConns = 8192

// Stage is a day that is being played.
type Stage struct {
	day *world.Day
	opt Options
	net *network

	begun chan struct{} // closed once the day has begun
	zero  time.Time     // when; read only after begun

	mu      sync.Mutex
	ref     *referee.Referee
	submits map[*world.Text]int // calls that came, of each text
	byID    map[string]*handIn
	calls   int64
	conns   int
	due     int // hand-ins to come, first ones and repeats
	late    time.Duration
	crashes []string
	failed  error

	senders []*sender
	turn    int            // the sender that had the last hand-in
	log     io.Writer      // where somebody looks on; nil else
	front   *front         // nil before the day begins
	work    sync.WaitGroup // actors
}

// New lays a day out: addresses are taken, nothing listens yet.
func New(day *world.Day, opt Options) (*Stage, error) {
	n, err := newNetwork()
	if err != nil {
		return nil, err
	}
	s := &Stage{day: day, opt: opt, net: n, begun: make(chan struct{}), submits: map[*world.Text]int{}, byID: map[string]*handIn{}}
	s.ref = referee.New(day.World.Rules, day.World.Senders, func(r int) int { return day.Receivers[r].Destination().No })
	for no := range day.World.Senders {
		s.senders = append(s.senders, newSender(s, no))
	}
	return s, nil
}

// now is the span since the day began; nought before it.
func (s *Stage) now() time.Duration {
	select {
	case <-s.begun:
		return time.Since(s.zero)
	default:
		return 0
	}
}

// see runs under the lock, with the instant.
func (s *Stage) see(do func(now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do(s.now())
}

// fail ends the day: the stand-ins themselves cannot go on.
func (s *Stage) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = err
	}
}

// until waits for an instant of the day; false if the context ended first.
func (s *Stage) until(ctx context.Context, at time.Duration) bool {
	select {
	case <-s.begun:
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

func (s *Stage) play(parent context.Context) (*Result, error) {
	ctx, stop := context.WithCancel(parent)
	defer stop()
	launch := processes.NewLauncher()
	defer launch.Close()
	// The outside stands before the senders start, and until they have ended.
	if err := s.stand(ctx); err != nil {
		stop()
		s.work.Wait()
		return nil, err
	}
	err := s.startAll(ctx, launch)
	if err == nil {
		err = s.run(ctx, launch)
	}
	for _, snd := range s.senders {
		snd.end()
	}
	stop()
	s.work.Wait()
	if err != nil {
		return nil, err
	}
	return s.result(), parent.Err()
}

// stand puts up receivers and the platform.
func (s *Stage) stand(ctx context.Context) error {
	for _, snd := range s.senders {
		a, err := newAgent(s, snd.no, snd.discovery())
		if err != nil {
			return err
		}
		snd.agent = a
		s.work.Go(func() { <-ctx.Done(); snd.agentNow().close() })
		for place := range s.day.Receivers {
			if s.day.Receivers[place].AddressNo == place {
				s.work.Go(func() { s.place(ctx, snd.no, place) })
			}
		}
	}
	return nil
}

// startAll starts the senders and waits until all are ready; the day begins then.
func (s *Stage) startAll(ctx context.Context, launch *processes.Launcher) error {
	for _, snd := range s.senders {
		if err := os.MkdirAll(filepath.Join(s.opt.Dir, snd.name(), "state"), 0o700); err != nil {
			return err
		}
		if err := snd.start(ctx, launch); err != nil {
			return err
		}
	}
	for _, snd := range s.senders {
		if err := snd.ready(ctx); err != nil {
			return err
		}
	}
	s.zero = time.Now()
	close(s.begun)
	return nil
}

// run plays from the first text until nothing is open any more.
func (s *Stage) run(ctx context.Context, launch *processes.Launcher) error {
	f := newFront(ctx, s)
	defer f.close()
	fates, cancel := context.WithCancel(ctx)
	defer cancel()
	var doom sync.WaitGroup
	for _, snd := range s.senders {
		doom.Go(func() { snd.fates(fates, launch) })
	}
	for _, c := range s.day.Changes {
		s.work.Go(func() {
			if s.until(ctx, c.At) {
				s.see(func(now time.Duration) { s.ref.ReceiverStateChanged(now, c.Receiver, c.State) })
			}
		})
	}
	s.work.Go(f.play)
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			cancel()
			doom.Wait()
			return nil
		case <-tick.C:
		}
		over := false
		var err error
		s.see(func(now time.Duration) {
			s.ref.Advance(now)
			over = now >= s.day.End || now >= s.day.Length && s.due == 0 && s.ref.OpenTexts() == 0 && s.fatesOver(now)
			err = s.failed
		})
		if s.opt.Progress != nil && n%3 == 0 {
			s.opt.Progress(s.progress())
		}
		if over || err != nil {
			cancel()
			doom.Wait()
			s.see(func(now time.Duration) { s.ref.Finish(max(now, s.day.End)) })
			return err
		}
	}
}

// fatesOver: nothing befalls a sender any more.
func (s *Stage) fatesOver(now time.Duration) bool {
	for _, f := range s.day.Fates {
		if now < time.Duration((f.AtS+f.DownS)*float64(time.Second))+500*time.Millisecond {
			return false
		}
	}
	return true
}

func (s *Stage) progress() Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.ref.Account()
	p := Progress{Now: s.now(), End: s.day.Length, HandIns: a.HandIns, Submits: a.Submits, Open: s.ref.OpenTexts(), Breaches: len(s.ref.Breaches) + s.ref.OmittedBreaches}
	for _, o := range a.Products {
		p.Delivered += o.InTime + o.Late
	}
	return p
}

func (s *Stage) result() *Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &Result{Seed: s.day.Seed, Account: s.ref.Account(), Breaches: s.ref.Breaches, More: s.ref.OmittedBreaches, Verdict: s.ref.Verdict(),
		Best: s.day.BestRevenue(), Crashes: s.crashes, Late: s.late, Took: s.now()}
	for _, snd := range s.senders {
		r.CPU += snd.cpu
		r.MemoryKB = append(r.MemoryKB, snd.peak)
	}
	var own syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &own) == nil {
		r.OwnCPU = time.Duration(own.Utime.Nano() + own.Stime.Nano())
	}
	return r
}

// network is the part of the loopback range that one stage has to itself.
type network struct {
	block int
	hold  net.Listener // while it listens, the block is taken
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

func (n *network) close() { n.hold.Close() }

// receiver is where a sender reaches the receiver of a place.
func (n *network) receiver(sender, place int) string {
	return fmt.Sprintf("127.%d.%d.1:%d", n.block, sender+1, 10000+place)
}

// agent is a sender's platform, anew after each new configuration.
func (n *network) agent(sender, move int) string {
	return fmt.Sprintf("127.%d.%d.2:%d", n.block, sender+1, 8500+move)
}

// front is where clients reach a sender.
func (n *network) front(sender int) string { return fmt.Sprintf("127.%d.%d.3:8443", n.block, sender+1) }
