package hollow

import (
	"context"
	"errors"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// pollInterval is the time between two looks whether all know all.
const pollInterval = 100 * time.Millisecond

// settleTime is left between the forming of a fleet and the first window: joining costs more than resting.
const settleTime = 3 * time.Second

// fleet is a fleet under measurement.
type fleet struct {
	options   Options
	layout    layout
	launch    Launch
	control   Host
	workers   []Host
	names     [][]string // of the proxies of each worker
	receivers *fleetOfReceivers
	operator  *operator
}

// Measure builds up a fleet, measures it and takes it down. Progress is told one line at a time; nil: nobody
// listens. It ends early with ctx.
func Measure(ctx context.Context, o Options, launch Launch, progress func(string)) (result Result, err error) {
	o = o.Defaults()
	if err := o.Check(); err != nil {
		return Result{}, err
	}
	if progress == nil {
		progress = func(string) {}
	}
	dir, err := os.MkdirTemp("", "hollow-")
	if err != nil {
		return Result{}, eris.Wrap(err, "hollow")
	}
	defer os.RemoveAll(dir)
	f := &fleet{options: o, layout: newLayout(o, dir), launch: launch}
	defer func() { err = errors.Join(err, f.close()) }()
	result = Result{Nodes: o.Nodes, Controls: o.Controls, Receivers: o.Receivers, Zones: o.Zones, LoadBefore: load()}
	for _, step := range []struct {
		name string
		run  func(context.Context, *Result) error
	}{
		{"forming", f.form}, {"rest", f.rest}, {"changes", f.change}, {"restarts", f.restart}, {"reports", f.report},
	} {
		progress(step.name)
		if err := step.run(ctx, &result); err != nil {
			return result, eris.Wrap(err, step.name)
		}
	}
	return result, nil
}

func load() float64 {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(raw), " ")
	value, _ := strconv.ParseFloat(first, 64)
	return value
}

func (f *fleet) close() error {
	if f.receivers != nil {
		f.receivers.close()
	}
	var failed []error
	for _, host := range append(f.workers, f.control) {
		if host != nil {
			failed = append(failed, host.Close())
		}
	}
	return errors.Join(failed...)
}

// form starts everything and waits until all know all.
func (f *fleet) form(ctx context.Context, result *Result) error {
	began := time.Now()
	if err := f.startControls(); err != nil {
		return err
	}
	if err := f.startProxies(); err != nil {
		return err
	}
	f.receivers = newReceivers(f.layout)
	f.receivers.start()
	f.operator = &operator{controls: f.receivers.controls, client: f.receivers.client}
	body, err := configuration(1, f.options.ConfigurationBytes)
	if err != nil {
		return err
	}
	result.ConfigurationBytes, result.Processes = len(body), 1+len(f.workers)
	ctx, cancel := context.WithTimeout(ctx, f.options.Patience)
	defer cancel()
	if _, err := f.operator.change(ctx, f.options.ConfigurationBytes); err != nil {
		return err
	}
	if err := f.awaitAll(ctx); err != nil {
		return err
	}
	result.FormedSeconds = time.Since(began).Seconds()
	return pause(ctx, settleTime)
}

func (f *fleet) startControls() (err error) {
	if f.control, err = f.launch(); err != nil {
		return err
	}
	var request StartRequest
	for i := range f.options.Controls {
		request.Controls = append(request.Controls, f.layout.control(i))
	}
	return f.control.Start(request)
}

// startProxies starts the workers' proxies, all workers at once.
func (f *fleet) startProxies() error {
	var requests []StartRequest
	for first := 0; first < f.options.Nodes; first += nodesPerWorker {
		request := StartRequest{Spacing: f.options.StartSpacing * time.Duration(f.options.workers())}
		var names []string
		for i := first; i < min(first+nodesPerWorker, f.options.Nodes); i++ {
			node := f.layout.proxy(i)
			request.Proxies = append(request.Proxies, node)
			names = append(names, node.Name)
		}
		worker, err := f.launch()
		if err != nil {
			return err
		}
		f.workers, f.names, requests = append(f.workers, worker), append(f.names, names), append(requests, request)
	}
	return f.each(func(i int, worker Host) error { return worker.Start(requests[i]) })
}

// each calls f for all workers at once.
func (f *fleet) each(call func(i int, worker Host) error) error {
	var together group
	for i, worker := range f.workers {
		together.Go(func() error { return call(i, worker) })
	}
	return together.Wait()
}

// awaitAll waits until every proxy knows all nodes, all receivers and the present configuration.
func (f *fleet) awaitAll(ctx context.Context) error {
	for {
		least := Status{Configuration: ^uint64(0)}
		running := 0
		for _, worker := range f.workers {
			status, err := worker.Status()
			if err != nil {
				return err
			}
			running += status.Running
			if status.below(least) {
				least = status
			}
		}
		settled := running == f.options.Nodes && least.Configuration >= f.operator.version &&
			least.LiveNodes == f.options.Nodes+f.options.Controls && least.Receivers == f.options.Receivers
		if settled {
			return nil
		}
		if pause(ctx, pollInterval) != nil {
			return eris.Errorf("%d proxies run; %s knows configuration %d, %d live nodes, %d receivers", running,
				least.Unsettled, least.Configuration, least.LiveNodes, least.Receivers)
		}
	}
}

// pause waits, or gives the context's error.
func pause(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
