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

// Options configures a run of a scenario.
type Options struct {
	Program  string   // path of the emberquay binary
	Env      []string // additional environment variables of the processes
	Dir      string   // for disks, settings and logs; empty: a temporary folder, removed at the end
	Scenario Scenario
	Progress func(line string) // may be nil
	Bounds   *tierrules.Bounds // nil: Bounds()

	frontAddress func(address string) string // maps a front's address to the one that clients dial; tests insert faults there
}

// Result is the outcome of a run.
type Result struct {
	Verdict         *tierrules.Verdict
	Classes         []ClassSummary
	ProgramOutcomes map[Outcome]int
	Crashes         []string
	Notes           []string // remarks for the reader that are no rule breaches
	Timeline        []Moment // faults and acknowledged changes of the configuration
	Elapsed         time.Duration

	Recording *Recording
}

// Passed reports whether the verdict passed and no process ended unexpectedly.
func (r *Result) Passed() bool { return r.Verdict.Passed() && len(r.Crashes) == 0 }

var zones = []string{"a", "b", "c"}

const (
	// drainAfterTraffic bounds how long programs and faults continue after the end of the traffic. Whatever remains is
	// cancelled, so that the default scenario ends within half a minute.
	drainAfterTraffic = 6 * time.Second
	// startupTimeout bounds the start of the tier.
	startupTimeout = 15 * time.Second
	// readinessInterval is the interval at which the platform checks the readiness of proxies; after maxReadinessMisses
	// failed checks in a row a proxy gets no new connections.
	readinessInterval  = 250 * time.Millisecond
	maxReadinessMisses = 2
)

// lab holds the state of a running scenario.
type lab struct {
	options  Options
	scenario Scenario
	world    *tierworld.World
	dir      string
	bounds   tierrules.Bounds
	net      *network
	launcher *processes.Launcher
	record   *recorder

	controls []*process
	stores   []*process
	proxies  []*process

	operator      *operator
	probes        sync.WaitGroup // requests that show which version is in force
	controlClient *http.Client
	receiverCount atomic.Int64
	clientCount   atomic.Uint64
	programCounts outcomeCounts
	trafficStart  atomic.Int64 // on the recorder's clock, in ns; 0: not started
	replaceLocks  []sync.Mutex // by place: serializes the replacement of its receiver

	mu                    sync.Mutex  // guards the fields below
	receivers             []*receiver // by place
	recording             Recording
	notes                 []string
	maxSampleDelay        time.Duration // longest delay of a load sample
	readyFronts           []*process    // proxies that get new connections
	completedTurns        []string      // IDs of completed turns
	turnsBeforeFinalFault []string      // IDs of turns completed before the final fault
}

// SiteBounds returns the time bounds of the deployments that operators run, which are longer than Bounds.
func SiteBounds() tierrules.Bounds {
	b := Bounds()
	b.Contact, b.Drain, b.Grace = 3*time.Second, 2*time.Second, 8*time.Second
	b.ConfigApply, b.Recovery = 2*time.Second, 12*time.Second
	return b
}

// Bounds returns the time bounds that the processes are configured with and judged by, unless Options has others.
func Bounds() tierrules.Bounds {
	return tierrules.Bounds{Contact: 2 * time.Second, Drain: 1500 * time.Millisecond, Grace: 4 * time.Second, LossSlack: 200 * time.Millisecond,
		ConfigApply: 1500 * time.Millisecond, RollbackSlack: 250 * time.Millisecond, Recovery: 5 * time.Second, Ack: 4 * time.Second}
}

// Run runs a scenario and judges the recorded history.
func Run(ctx context.Context, options Options) (*Result, error) {
	if options.Dir == "" {
		dir, err := os.MkdirTemp("", "quaylab-tier-")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		options.Dir = dir
	} else if err := requireEmptyDir(options.Dir); err != nil {
		return nil, err
	}
	network, err := newNetwork()
	if err != nil {
		return nil, err
	}
	defer network.close()
	l := newLab(options, network)
	defer l.launcher.Close()
	return l.runAndJudge(ctx)
}

// requireEmptyDir rejects a folder that holds the disks of an earlier run: a tier with these disks does not come up at other
// addresses.
func requireEmptyDir(dir string) error {
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
	l := &lab{options: options, scenario: options.Scenario, world: options.Scenario.World, dir: options.Dir, bounds: Bounds(), net: network,
		controlClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	if options.Bounds != nil {
		l.bounds = *options.Bounds
	}
	if l.world == nil {
		l.world = tierworld.Default()
	}
	l.launcher = processes.NewLauncherOn(l.world.Tier.Cores)
	l.replaceLocks = make([]sync.Mutex, len(l.world.Receivers.ServicePerReceiver()))
	l.record = newRecorder(l.bounds)
	l.operator = &operator{lab: l}
	tier := l.world.Tier
	controls := tier.ControlPlanes + tier.Forwarders
	fronts := max(controls, tier.Proxies)
	for i := range controls {
		p := l.newProcess(controlRole, "front", i, 0)
		p.voter = i < tier.ControlPlanes
		l.controls = append(l.controls, p)
	}
	for i := range tier.Proxies {
		l.proxies = append(l.proxies, l.newProcess(proxyRole, "front", i, 0))
	}
	for i := range tier.Stores {
		l.stores = append(l.stores, l.newProcess(storeRole, "store", i, fronts))
	}
	return l
}

// newProcess returns a process of a role on machine number no of a class; before is the number of machines that precede this
// class in the address plan.
func (l *lab) newProcess(r role, class string, no, before int) *process {
	zone := zones[no%len(zones)]
	machine := fmt.Sprintf("%s-%s-%d", class, zone, 1+no/len(zones))
	return &process{lab: l, machine: machine, ip: l.net.machine(1 + before + no), zone: zone, role: r}
}

func (l *lab) allProcesses() []*process { return slices.Concat(l.controls, l.stores, l.proxies) }

func (l *lab) controlAddresses() []string {
	list := make([]string, 0, len(l.controls))
	for _, p := range l.controls {
		list = append(list, joinHostPort(p.ip, controlPort))
	}
	return list
}

// seedAddresses returns the addresses of the voting control planes.
func (l *lab) seedAddresses() []string { return l.controlAddresses()[:l.world.Tier.ControlPlanes] }

// machineOf returns the name of the control plane machine at an address, or an empty string.
func (l *lab) machineOf(address string) string {
	for _, p := range l.controls {
		if p.ip == hostOf(address) {
			return p.machine
		}
	}
	return ""
}

// runAndJudge starts all processes, runs the scenario and judges it. All processes have ended when it returns.
func (l *lab) runAndJudge(parent context.Context) (*Result, error) {
	ctx, stop := context.WithCancel(parent)
	defer stop()
	defer l.stopAll()
	began := time.Now()
	if err := l.startAll(ctx); err != nil {
		return nil, err
	}
	l.progressf("ready, traffic begins")
	l.runTraffic(ctx)
	l.probes.Wait()
	l.readFinalConfiguration(ctx)
	if err := parent.Err(); err != nil {
		return nil, err
	}
	l.stopAll()
	return l.result(time.Since(began)), nil
}

// startAll starts the receivers and the tier, sends the first configuration and waits until all proxies are ready.
func (l *lab) startAll(ctx context.Context) error {
	for place, service := range l.world.Receivers.ServicePerReceiver() {
		r, err := l.startReceiver(ctx, place, service)
		if err != nil {
			return err
		}
		l.receivers = append(l.receivers, r)
	}
	for _, p := range l.allProcesses() {
		if err := p.start(); err != nil {
			return err
		}
	}
	if share := l.world.Tier.ProcessorShare; share > 0 {
		for _, p := range l.proxies {
			go p.throttle(ctx, share)
		}
	}
	go l.watchFronts(ctx)
	within, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	l.record.onCrash(cancel)
	for within.Err() == nil && l.operator.currentConfiguration().version == 0 {
		l.operator.replace(within, "first", l.firstConfiguration())
	}
	for within.Err() == nil && len(l.frontsInRotation()) < len(l.proxies) {
		sleep(within, readinessInterval/5)
	}
	if crashes := l.record.onCrash(nil); len(crashes) > 0 {
		return eris.New(crashes[0])
	}
	if within.Err() != nil && ctx.Err() == nil {
		return eris.Errorf("the tier is not ready within %s: configuration %d is in force, %d of %d proxies are ready; %s says: %s",
			startupTimeout, l.operator.currentConfiguration().version, len(l.frontsInRotation()), len(l.proxies), l.controls[0].name(), l.controls[0].logTail())
	}
	return ctx.Err()
}

// runTraffic generates the traffic and injects the scheduled faults.
func (l *lab) runTraffic(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, l.scenario.Length+drainAfterTraffic)
	defer stop()
	var faults sync.WaitGroup
	begin := time.Now()
	l.trafficStart.Store(int64(l.record.now()))
	go l.sampleLoads(ctx)
	for _, s := range l.scenario.Faults {
		faults.Go(func() {
			sleep(ctx, time.Until(begin.Add(s.From)))
			if ctx.Err() == nil {
				l.injectFault(ctx, s)
			}
		})
	}
	l.generateLoad(ctx)
	l.record.update(func(now time.Duration, h *tierrules.History) { h.TrafficEnd = now })
	faults.Wait()
}

// trafficTime returns the time since the start of the traffic, which fault schedules refer to; negative before it.
func (l *lab) trafficTime() time.Duration {
	from := l.trafficStart.Load()
	if from == 0 {
		return -1
	}
	return l.record.now() - time.Duration(from)
}

// readFinalConfiguration reads the configuration from the control planes at the end, retrying for at most the contact bound.
func (l *lab) readFinalConfiguration(ctx context.Context) {
	end := time.Now().Add(l.bounds.Contact)
	for {
		last := !time.Now().Before(end)
		if l.operator.read(ctx, last) || last || ctx.Err() != nil {
			return
		}
		sleep(ctx, minOperatorPause)
	}
}

// watchFronts checks the readiness of the proxies, as the platform does.
func (l *lab) watchFronts(ctx context.Context) {
	client := &http.Client{Timeout: readinessInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := make([]int, len(l.proxies))
	for i := range misses {
		misses[i] = maxReadinessMisses
	}
	for ctx.Err() == nil {
		var in []*process
		for i, p := range l.proxies {
			misses[i]++
			if resp, err := client.Get("http://" + joinHostPort(p.ip, readinessPort) + "/api/readiness"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					misses[i] = 0
				}
			}
			if misses[i] < maxReadinessMisses {
				in = append(in, p)
			}
		}
		l.mu.Lock()
		l.readyFronts = in
		l.mu.Unlock()
		sleep(ctx, readinessInterval)
	}
}

func (l *lab) frontsInRotation() []*process {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readyFronts
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

// recordCompletedTurn records a turn that a later program may continue from.
func (l *lab) recordCompletedTurn(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.completedTurns = append(l.completedTurns, id)
}

// snapshotTurns keeps the turns that were completed before the final fault.
func (l *lab) snapshotTurns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turnsBeforeFinalFault = slices.Clone(l.completedTurns)
}

// drawPreviousTurn draws a turn for a new program to continue from, or none: only turns completed before the final fault,
// hence none before that fault.
func (l *lab) drawPreviousTurn() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.turnsBeforeFinalFault) == 0 || rand.IntN(2) == 0 {
		return ""
	}
	return l.turnsBeforeFinalFault[rand.IntN(len(l.turnsBeforeFinalFault))]
}

// stopAll kills the processes and closes the receivers; it may be called twice.
func (l *lab) stopAll() {
	var wg sync.WaitGroup
	for _, p := range l.allProcesses() {
		wg.Go(p.kill)
	}
	for place := range l.receivers {
		wg.Go(l.receiverAt(place).close)
	}
	wg.Wait()
}

func (l *lab) progressf(format string, args ...any) {
	if l.options.Progress != nil {
		l.options.Progress(fmt.Sprintf("%6.2fs  ", l.record.now().Seconds()) + fmt.Sprintf(format, args...))
	}
}
