package tierlab

import (
	"context"
	"fmt"
	"time"

	"emberquay/internal/lab/referee/tierrules"
	"emberquay/internal/lab/tierworld"
)

const (
	// loadLook is the interval at which the receivers' load is looked at.
	loadLook = 100 * time.Millisecond
	// lateAtMost is how late these looks may be before a day's figures are doubtful: the machine had no processor to
	// spare, or stood still, and the tier's timers were as late.
	lateAtMost = 300 * time.Millisecond
)

// Recording is what a day's report is drawn from. Its instants are on one clock, which began with the day.
type Recording struct {
	From, To time.Duration // of the traffic
	Requests []*tierrules.Request
	Runs     []*tierrules.Run
	Marks    []Mark
	Loads    []Load
	Programs []ProgramRun
}

// Mark is a trouble that struck.
type Mark struct {
	Strike   string // as tierworld.Strike names it
	From, To time.Duration
}

// Load is what one receiver had in hand at an instant.
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
	Began, Ended time.Duration
	Outcome      Outcome
}

// mark notes a strike that begins now; its end is told by what it gives.
func (l *lab) mark(s tierworld.ScheduledTrouble) (over func()) {
	now := l.record.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	at := len(l.seen.Marks)
	l.seen.Marks = append(l.seen.Marks, Mark{Strike: s.String(), From: now, To: now})
	return func() {
		end := l.record.now()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.seen.Marks[at].To = end
	}
}

// programEnded notes a program's run.
func (l *lab) programEnded(run ProgramRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen.Programs = append(l.seen.Programs, run)
}

// note keeps what the reader of the result has to know beside the rules.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notes = append(l.notes, fmt.Sprintf(format, args...))
}

// watchLoad looks at the receivers' load until ctx ends.
func (l *lab) watchLoad(ctx context.Context) {
	tick := time.NewTicker(loadLook)
	defer tick.Stop()
	last := l.record.now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			now := l.record.now()
			turns := l.lookAtLoad(now, now-last-loadLook)
			l.record.see(func(_ time.Duration, h *tierrules.History) { h.Loads = append(h.Loads, turns) })
			last = now
		}
	}
}

// lookAtLoad takes down the load, and by how much this look is late. It gives the load of the receivers of turns together.
func (l *lab) lookAtLoad(now, late time.Duration) tierrules.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late = max(l.late, late)
	turns := tierrules.Load{At: now}
	for _, r := range l.receivers {
		if r.over.Load() {
			continue
		}
		load := r.load()
		load.At, load.Instance, load.Service = now, r.id, r.service
		l.seen.Loads = append(l.seen.Loads, load)
		if r.service == modelService {
			turns.Slots += load.Slots
			turns.InUse += load.Running + load.Queued
		}
	}
	return turns
}

// load is what the receiver has in hand.
func (r *receiver) load() Load {
	if r.model != nil {
		report := r.model.now()
		return Load{Slots: r.slotCount(), Running: report.Running, Queued: report.Queued}
	}
	running := len(r.slots)
	return Load{Slots: r.slotCount(), Running: running, Queued: max(0, int(r.waiting.Load())-running)}
}
