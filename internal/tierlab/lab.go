package tierlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"emberquay/internal/processes"
	"emberquay/internal/referee/tierrules"
)

// Options say how a day is played.
type Options struct {
	Program  string   // emberquay
	Env      []string // more of the processes' environment
	Dir      string   // for disks, settings and logs; empty: one of its own, removed at the end
	Day      Day
	Progress func(line string) // may be nil

	front func(address string) string // where clients go instead of a front; tests put faults in between
}

// Result is what a day came to.
type Result struct {
	Verdict  *tierrules.Verdict
	Served   []Served
	Programs map[Outcome]int
	Crashes  []string
	Took     time.Duration
}

// Kept says whether all rules were kept, no process ended by itself and something was served.
func (r *Result) Kept() bool { return r.Verdict.Kept() && len(r.Crashes) == 0 }

var zones = []string{"a", "b", "c"}

const (
	// crashPlace is that of the receiver that crashes: the second of the model's.
	crashPlace = 6
	// readyWithin bounds the start of the tier.
	readyWithin = 15 * time.Second
	// frontLook is the interval at which the platform asks senders whether they are ready, and frontMisses after how many
	// misses one gets no new connections.
	frontLook   = 250 * time.Millisecond
	frontMisses = 2
)

// places are the services of the receivers at the start.
var places = []string{firstService, firstService, firstService, otherService, otherService, modelService, modelService, modelService}

// lab is a day that is being played.
type lab struct {
	options Options
	day     Day
	dir     string
	bounds  tierrules.Bounds
	net     *network
	launch  *processes.Launcher
	record  *record

	controls []*process
	stores   []*process
	proxies  []*process

	operator      *operator
	controlClient *http.Client
	receiverCount atomic.Int64
	clients       atomic.Uint64
	count         counts

	mu        sync.Mutex // guards what follows
	receivers []*receiver
	in        []*process // the fronts that get clients
	turns     []string   // that ended whole
	oldTurns  []string   // before the final fault
}

// Bounds are the figures that the tier is held to here.
func Bounds() tierrules.Bounds {
	return tierrules.Bounds{Contact: 2 * time.Second, Drain: 1500 * time.Millisecond, Grace: 4 * time.Second, LossSlack: 200 * time.Millisecond,
		ConfigApply: 1500 * time.Millisecond, RollbackSlack: 250 * time.Millisecond, Recovery: 5 * time.Second, Ack: 4 * time.Second}
}

// Play plays a day and judges it.
func Play(ctx context.Context, options Options) (*Result, error) {
	if options.Dir == "" {
		dir, err := os.MkdirTemp("", "quaylab-tier-")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		options.Dir = dir
	}
	network, err := newNetwork()
	if err != nil {
		return nil, err
	}
	defer network.close()
	l := newLab(options, network)
	defer l.launch.Close()
	return l.play(ctx)
}

func newLab(options Options, network *network) *lab {
	l := &lab{options: options, day: options.Day, dir: options.Dir, bounds: Bounds(), net: network, launch: processes.NewLauncher(),
		controlClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	l.record = newRecord(l.bounds)
	l.operator = &operator{lab: l}
	for i, zone := range zones {
		front, store := "front-"+zone+"-1", "store-"+zone+"-1"
		l.controls = append(l.controls, &process{lab: l, machine: front, ip: network.machine(1 + i), zone: zone, role: controlRole})
		l.stores = append(l.stores, &process{lab: l, machine: store, ip: network.machine(1 + len(zones) + i), zone: zone, role: storeRole})
		if i < 2 {
			l.proxies = append(l.proxies, &process{lab: l, machine: front, ip: network.machine(1 + i), zone: zone, role: proxyRole})
		}
	}
	return l
}

func (l *lab) all() []*process { return slices.Concat(l.controls, l.stores, l.proxies) }

func (l *lab) controlAddresses() []string {
	list := make([]string, 0, len(l.controls))
	for _, p := range l.controls {
		list = append(list, at(p.ip, controlPort))
	}
	return list
}

// machineAt is the machine of an address.
func (l *lab) machineAt(address string) string {
	for _, p := range l.controls {
		if p.ip == hostOf(address) {
			return p.machine
		}
	}
	return ""
}

// play starts everything, plays and judges. Whatever happens, all of it ends.
func (l *lab) play(parent context.Context) (*Result, error) {
	ctx, stop := context.WithCancel(parent)
	defer stop()
	defer l.endAll()
	began := time.Now()
	if err := l.startAll(ctx); err != nil {
		return nil, err
	}
	l.say("ready, traffic begins")
	l.run(ctx)
	l.readBack(ctx)
	if err := parent.Err(); err != nil {
		return nil, err
	}
	l.endAll()
	return l.result(time.Since(began)), nil
}

// startAll starts the tier and the receivers, gives it its first configuration and waits until clients can come.
func (l *lab) startAll(ctx context.Context) error {
	for place, service := range places {
		r, err := l.startReceiver(ctx, place, service)
		if err != nil {
			return err
		}
		l.receivers = append(l.receivers, r)
	}
	for _, p := range l.all() {
		if err := p.start(); err != nil {
			return err
		}
	}
	go l.watchFronts(ctx)
	within, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	l.record.onCrash(cancel)
	for within.Err() == nil && l.operator.now().version == 0 {
		l.operator.replace(within, "first", firstConfiguration())
	}
	for within.Err() == nil && len(l.frontsIn()) < len(l.proxies) {
		sleep(within, frontLook/5)
	}
	if crashes := l.record.onCrash(nil); len(crashes) > 0 {
		return eris.New(crashes[0])
	}
	if within.Err() != nil && ctx.Err() == nil {
		return eris.Errorf("the tier is not ready within %s: configuration %d is in force, %d of %d proxies are ready; %s says: %s",
			readyWithin, l.operator.now().version, len(l.frontsIn()), len(l.proxies), l.controls[0].name(), l.controls[0].lastWords())
	}
	return ctx.Err()
}

// run plays the traffic and the acts beside it.
func (l *lab) run(ctx context.Context) {
	var acts sync.WaitGroup
	begin := time.Now()
	for _, a := range l.day.Acts {
		acts.Go(func() {
			sleep(ctx, time.Until(begin.Add(a.At)))
			if ctx.Err() == nil {
				l.act(ctx, a.What)
			}
		})
	}
	l.load(ctx)
	l.record.see(func(now time.Duration, h *tierrules.History) { h.Length = now })
	acts.Wait()
}

// readBack asks for the configuration as the operator does at the end, for the contact bound at most.
func (l *lab) readBack(ctx context.Context) {
	end := time.Now().Add(l.bounds.Contact)
	for !l.operator.read(ctx, time.Now().After(end)) && time.Now().Before(end) && ctx.Err() == nil {
		sleep(ctx, operatorPause)
	}
}

// watchFronts asks the proxies whether they are ready, as the platform does.
func (l *lab) watchFronts(ctx context.Context) {
	client := &http.Client{Timeout: frontLook, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := make([]int, len(l.proxies))
	for i := range misses {
		misses[i] = frontMisses
	}
	for ctx.Err() == nil {
		var in []*process
		for i, p := range l.proxies {
			misses[i]++
			if resp, err := client.Get("http://" + at(p.ip, readinessPort) + "/api/readiness"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					misses[i] = 0
				}
			}
			if misses[i] < frontMisses {
				in = append(in, p)
			}
		}
		l.mu.Lock()
		l.in = in
		l.mu.Unlock()
		sleep(ctx, frontLook)
	}
}

func (l *lab) frontsIn() []*process {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.in
}

func (l *lab) receiverAt(place int) *receiver {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.receivers[place]
}

func (l *lab) setReceiver(place int, r *receiver) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receivers[place] = r
}

// turnEnded notes a turn that may be continued from.
func (l *lab) turnEnded(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turns = append(l.turns, id)
}

// markFinal notes which turns ended before the final fault.
func (l *lab) markFinal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.oldTurns = slices.Clone(l.turns)
}

// earlierTurn is one that a new program continues from: after a final fault, one from before it.
func (l *lab) earlierTurn() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.oldTurns) == 0 || rand.IntN(2) == 0 {
		return ""
	}
	return l.oldTurns[rand.IntN(len(l.oldTurns))]
}

// endAll ends processes and receivers; it may be called twice.
func (l *lab) endAll() {
	var all sync.WaitGroup
	for _, p := range l.all() {
		all.Go(p.kill)
	}
	for place := range l.receivers {
		all.Go(l.receiverAt(place).end)
	}
	all.Wait()
}

func (l *lab) say(format string, args ...any) {
	if l.options.Progress != nil {
		l.options.Progress(fmt.Sprintf("%6.2fs  ", l.record.now().Seconds()) + fmt.Sprintf(format, args...))
	}
}
