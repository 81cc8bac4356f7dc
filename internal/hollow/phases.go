package hollow

import (
	"context"
	"math"
	"slices"
	"sync/atomic"
	"time"
)

// restartPause is how long a process of the platform takes to come back.
const restartPause = 2 * time.Second

// window measures what the nodes use while a step runs.
func (f *fleet) window(during func() error) (nodes, controls Usage, err error) {
	before, err := f.samples()
	if err != nil {
		return nodes, controls, err
	}
	if err := during(); err != nil {
		return nodes, controls, err
	}
	after, err := f.samples()
	if err != nil {
		return nodes, controls, err
	}
	nodes = usage(before[1:], after[1:], f.options.Nodes)
	return nodes, usage(before[:1], after[:1], f.options.Controls), nil
}

// samples are those of the control planes' worker and of the others.
func (f *fleet) samples() ([]Sample, error) {
	samples := make([]Sample, 1+len(f.workers))
	sample, err := f.control.Sample()
	if err != nil {
		return nil, err
	}
	samples[0] = sample
	err = f.each(func(i int, worker Host) (err error) {
		samples[1+i], err = worker.Sample()
		return err
	})
	return samples, err
}

// rest measures a fleet to which nothing happens but heartbeats.
func (f *fleet) rest(ctx context.Context, result *Result) (err error) {
	beats, failed := f.receivers.beats.Load(), f.receivers.failed.Load()
	result.Rest, result.ControlRest, err = f.window(func() error { return pause(ctx, f.options.Window) })
	result.HeartbeatsASecond = float64(f.receivers.beats.Load()-beats) / f.options.Window.Seconds()
	result.HeartbeatsFailed = f.receivers.failed.Load() - failed
	return err
}

// change measures how changes spread.
func (f *fleet) change(ctx context.Context, result *Result) error {
	s := newSpread(slices.Concat(f.names...))
	if err := f.follow(ctx, s); err != nil {
		return err
	}
	result.Configuration, result.Drain = s.latency(true), s.latency(false)
	return nil
}

// follow makes changes in turn and waits until all that are expected to know them do.
func (f *fleet) follow(ctx context.Context, s *spread) error {
	for range f.options.Changes {
		if err := f.makeChange(ctx, s, f.changeConfiguration); err != nil {
			return err
		}
		if err := f.makeChange(ctx, s, f.changeReceiver); err != nil {
			return err
		}
	}
	patience, cancel := context.WithTimeout(ctx, f.options.Patience)
	defer cancel()
	for !s.complete() && pause(patience, pollInterval) == nil {
		if err := f.collect(s); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (f *fleet) makeChange(ctx context.Context, s *spread, carryOut func(context.Context) (change, error)) error {
	began := time.Now()
	c, err := carryOut(ctx)
	if err != nil {
		return err
	}
	c.began, c.acknowledged = began, time.Now()
	s.changes = append(s.changes, c)
	return pause(ctx, f.options.Spacing/2)
}

func (f *fleet) changeConfiguration(ctx context.Context) (change, error) {
	version, err := f.operator.change(ctx, f.options.ConfigurationBytes)
	return change{what: configurationSeen(version), version: version}, err
}

func (f *fleet) changeReceiver(ctx context.Context) (change, error) {
	id, err := f.receivers.drain(ctx)
	return change{what: drainSeen(id)}, err
}

func (f *fleet) collect(s *spread) error {
	for _, worker := range f.workers {
		list, err := worker.Sightings()
		if err != nil {
			return err
		}
		s.take(list)
	}
	return nil
}

// restart measures the same while some nodes go and come all the time. What these know of a change is not
// judged: they may not be there.
func (f *fleet) restart(ctx context.Context, result *Result) error {
	chosen, others := f.chooseRestarting()
	s := newSpread(others)
	until := time.Now().Add(f.options.Window)
	var restarts atomic.Int64
	var err error
	result.RestartUsage, _, err = f.window(func() error {
		var together group
		for i, names := range chosen {
			half := (len(names) + i%2) / 2 // an odd one is a planned one here and an abrupt one there
			together.Go(func() error { return f.keepRestarting(ctx, until, i, names[:half], true, &restarts) })
			together.Go(func() error { return f.keepRestarting(ctx, until, i, names[half:], false, &restarts) })
		}
		together.Go(func() error { return f.follow(ctx, s) })
		return together.Wait()
	})
	if err != nil {
		return err
	}
	for _, names := range chosen {
		result.Restarting += len(names)
	}
	result.Restarts = int(restarts.Load())
	result.ConfigurationInRestarts, result.DrainInRestarts = s.latency(true), s.latency(false)
	ctx, cancel := context.WithTimeout(ctx, f.options.Patience)
	defer cancel()
	return f.awaitAll(ctx)
}

// chooseRestarting draws the nodes of each worker that restart: the last of them, which are as good as any.
func (f *fleet) chooseRestarting() (chosen [][]string, others []string) {
	left := int(math.Ceil(f.options.RestartShare * float64(f.options.Nodes)))
	for i, names := range f.names {
		count := min(left, (left+len(f.names)-i-1)/(len(f.names)-i), len(names))
		left -= count
		chosen = append(chosen, names[len(names)-count:])
		others = append(others, names[:len(names)-count]...)
	}
	return chosen, others
}

func (f *fleet) keepRestarting(ctx context.Context, until time.Time, worker int, names []string, abrupt bool, count *atomic.Int64) error {
	for len(names) > 0 && time.Now().Before(until) && ctx.Err() == nil {
		if err := f.workers[worker].Restart(RestartRequest{Names: names, Abrupt: abrupt, Pause: restartPause}); err != nil {
			return err
		}
		count.Add(int64(len(names)))
		if err := pause(ctx, restartPause); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// report measures what shared reports cost, at each of the rates.
func (f *fleet) report(ctx context.Context, result *Result) error {
	ids := make([]string, 0, len(f.receivers.all))
	for _, r := range f.receivers.all {
		ids = append(ids, r.id)
	}
	defer f.each(func(_ int, worker Host) error { return worker.Reports(ReportsRequest{}) })
	for _, rate := range f.options.Reports {
		interval := time.Duration(float64(len(f.workers)) / rate * float64(time.Second))
		err := f.each(func(i int, worker Host) error {
			mine := ids[i*len(ids)/len(f.workers) : (i+1)*len(ids)/len(f.workers)]
			return worker.Reports(ReportsRequest{Receivers: mine, Interval: interval})
		})
		if err != nil {
			return err
		}
		if err := pause(ctx, time.Second); err != nil {
			return err
		}
		used, _, err := f.window(func() error { return pause(ctx, f.options.Window/2) })
		if err != nil {
			return err
		}
		result.Reports = append(result.Reports, ReportUsage{ASecond: rate, Usage: used})
	}
	return nil
}
