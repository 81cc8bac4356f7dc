package tierlab

import (
	"context"
	"fmt"
	"time"

	"emberquay/internal/lab/referee/tierrules"
	"emberquay/internal/lab/tierworld"
)

const (
	// loadSampleInterval is the interval at which the receivers' load is sampled.
	loadSampleInterval = 100 * time.Millisecond
	// maxTolerableDelay is the sample delay above which a run's figures are doubtful: the machine had no CPU time to
	// spare, or was suspended, and the tier's timers were as late.
	maxTolerableDelay = 300 * time.Millisecond
)

// Recording holds the data for the report of a run. All times are on one clock, which starts with the run.
type Recording struct {
	From, To time.Duration // of the traffic
	Requests []*tierrules.Request
	Runs     []*tierrules.Run
	Faults   []FaultInterval
	Loads    []Load
	Programs []ProgramRun
}

// FaultInterval is an injected fault with its time span.
type FaultInterval struct {
	Fault    string // as tierworld formats it
	From, To time.Duration
}

// Load is a sample of one receiver's load.
type Load struct {
	At       time.Duration
	Instance string
	Service  string
	Slots    int
	Running  int
	Queued   int
}

// ProgramRun is one program from its first turn to its end.
type ProgramRun struct {
	Started, Ended time.Duration
	Outcome        Outcome
}

// recordInterval records the start of a fault; the returned function records its end.
func (l *lab) recordInterval(s tierworld.ScheduledTrouble) (recordEnd func()) {
	now := l.record.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	index := len(l.recording.Faults)
	l.recording.Faults = append(l.recording.Faults, FaultInterval{Fault: s.String(), From: now, To: now})
	return func() {
		end := l.record.now()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.recording.Faults[index].To = end
	}
}

// recordProgram records a program's run.
func (l *lab) recordProgram(run ProgramRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recording.Programs = append(l.recording.Programs, run)
}

// note adds a remark for the reader of the result.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notes = append(l.notes, fmt.Sprintf(format, args...))
}

// sampleLoads samples the receivers' load until ctx ends.
func (l *lab) sampleLoads(ctx context.Context) {
	tick := time.NewTicker(loadSampleInterval)
	defer tick.Stop()
	last := l.record.now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			now := l.record.now()
			turns := l.sampleLoad(now, now-last-loadSampleInterval)
			l.record.update(func(_ time.Duration, h *tierrules.History) { h.Loads = append(h.Loads, turns) })
			last = now
		}
	}
}

// sampleLoad records the load of each receiver and the delay of this sample. It returns the total load of the model
// receivers.
func (l *lab) sampleLoad(now, late time.Duration) tierrules.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxSampleDelay = max(l.maxSampleDelay, late)
	turns := tierrules.Load{At: now}
	for _, r := range l.receivers {
		if r.closed.Load() {
			continue
		}
		load := r.load()
		load.At, load.Instance, load.Service = now, r.id, r.service
		l.recording.Loads = append(l.recording.Loads, load)
		if r.service == modelService {
			turns.Slots += load.Slots
			turns.InUse += load.Running + load.Queued
		}
	}
	return turns
}

// load returns the receiver's requests in progress and in its queue.
func (r *receiver) load() Load {
	if r.model != nil {
		report := r.model.currentReport()
		return Load{Slots: r.slotCount(), Running: report.Running, Queued: report.Queued}
	}
	running := len(r.slots)
	return Load{Slots: r.slotCount(), Running: running, Queued: max(0, int(r.waiting.Load())-running)}
}
