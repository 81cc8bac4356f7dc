package tierlab

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"emberquay/internal/lab/processes"
	"emberquay/internal/lab/referee/tierrules"
	"emberquay/internal/lab/tierworld"
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
	Notes    []string // what the reader has to know beside the rules
	Took     time.Duration

	Recording *Recording
}

// Kept says whether all rules were kept, no process ended by itself and something was served.
func (r *Result) Kept() bool { return r.Verdict.Passed() && len(r.Crashes) == 0 }

var zones = []string{"a", "b", "c"}

const (
	// afterTraffic is for how long after the traffic's end programs, and what struck, go on; the rest is given up, so
	// that the default day ends within half a minute.
	afterTraffic = 6 * time.Second
	// readyWithin bounds the start of the tier.
	readyWithin = 15 * time.Second
	// frontLook is the interval at which the platform asks senders whether they are ready, and frontMisses after how many
	// misses one gets no new connections.
	frontLook   = 250 * time.Millisecond
	frontMisses = 2
)

// lab is a day that is being played.
type lab struct {
	options Options
	day     Day
	shape   *tierworld.World
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
	trafficFrom   atomic.Int64 // on the record's clock, in ns; 0: it has not begun
	replacing     []sync.Mutex // by place: one receiver takes over from another

	mu        sync.Mutex  // guards what follows
	receivers []*receiver // by place
	seen      Recording
	notes     []string
	late      time.Duration // the most that a look at the load was late
	in        []*process    // the fronts that get clients
	turns     []string      // that ended whole
	oldTurns  []string      // before the final fault
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
	} else if err := unused(options.Dir); err != nil {
		return nil, err
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

// unused guards against a folder with the disks of an earlier day, whose tier would not come up at other addresses.
func unused(dir string) error {
	entries, err := os.ReadDir(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "the processes' folder")
	}
	if len(entries) > 0 {
		return eris.Errorf("%s is not empty: the disks of an earlier day would be used", dir)
	}
	return nil
}

func newLab(options Options, network *network) *lab {
	l := &lab{options: options, day: options.Day, shape: options.Day.Shape, dir: options.Dir, bounds: Bounds(), net: network,
		launch: processes.NewLauncher(), controlClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	if l.shape == nil {
		l.shape = tierworld.Default()
	}
	l.replacing = make([]sync.Mutex, len(l.shape.Receivers.ServicePerReceiver()))
	l.record = newRecord(l.bounds)
	l.operator = &operator{lab: l}
	tier := l.shape.Tier
	fronts := max(tier.ControlPlanes, tier.Proxies)
	for i := range tier.ControlPlanes {
		l.controls = append(l.controls, l.newProcess(controlRole, "front", i, 0))
	}
	for i := range tier.Proxies {
		l.proxies = append(l.proxies, l.newProcess(proxyRole, "front", i, 0))
	}
	for i := range tier.Stores {
		l.stores = append(l.stores, l.newProcess(storeRole, "store", i, fronts))
	}
	return l
}

// newProcess is that of a role on a class's machine of a number; before is how many machines other classes have.
func (l *lab) newProcess(r role, class string, no, before int) *process {
	zone := zones[no%len(zones)]
	machine := fmt.Sprintf("%s-%s-%d", class, zone, 1+no/len(zones))
	return &process{lab: l, machine: machine, ip: l.net.machine(1 + before + no), zone: zone, role: r}
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
	for place, service := range l.shape.Receivers.ServicePerReceiver() {
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
	if share := l.shape.Tier.ProcessorShare; share > 0 {
		for _, p := range l.proxies {
			go p.ration(ctx, share)
		}
	}
	go l.watchFronts(ctx)
	within, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	l.record.onCrash(cancel)
	for within.Err() == nil && l.operator.now().version == 0 {
		l.operator.replace(within, "first", l.firstConfiguration())
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

// run plays the traffic and the strikes beside it.
func (l *lab) run(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, l.day.Length+afterTraffic)
	defer stop()
	var strikes sync.WaitGroup
	begin := time.Now()
	l.trafficFrom.Store(int64(l.record.now()))
	go l.watchLoad(ctx)
	for _, s := range l.day.Strikes {
		strikes.Go(func() {
			sleep(ctx, time.Until(begin.Add(s.From)))
			if ctx.Err() == nil {
				l.strike(ctx, s)
			}
		})
	}
	l.load(ctx)
	l.record.see(func(now time.Duration, h *tierrules.History) { h.TrafficEnd = now })
	strikes.Wait()
}

// sinceTraffic is the instant on the clock of the day's strikes; below 0 before the traffic begins.
func (l *lab) sinceTraffic() time.Duration {
	from := l.trafficFrom.Load()
	if from == 0 {
		return -1
	}
	return l.record.now() - time.Duration(from)
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
