package tierrules

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// afterGrace is for how long behind the grace of a stop its connections count.
	afterGrace = time.Second
	// lateSending is how long after a stop's signal a request may be sent whose receiver may be at work until the end.
	lateSending = 3 * time.Second
	// afterApply is for how long behind the bound of configuration a change counts after its acknowledgement.
	afterApply = time.Second
	// cutFactor is how many times as often a machine has to cut requests beside changes of the configuration as at other
	// times for its cuts to count there.
	cutFactor = 3
	// ripe is the share of its time beyond which a request that is cut beside a change does not count.
	ripe = 0.7
	// keptCuts is how many requests from kept connections may be passed on and end without an answer, at any time.
	keptCuts = 3
)

// plannedWork is what LOST is judged beside: a stop of the machine that took the request, a SIGHUP of it, or a change of
// the configuration.
type plannedWork struct {
	stop   *Fault
	reload *Fault
	change *ConfigChange
}

// losses judges LOST round planned work: a request that was read whole gets a whole answer.
func (j *judge) losses() {
	beside := j.cutsBesideChanges()
	var kept []*Request
	for _, r := range j.Requests {
		if r.FullySent == 0 || r.ClientAborted {
			continue
		}
		if j.droppedFromKept(r) {
			kept = append(kept, r)
		}
		work, planned := j.work(r)
		if !planned {
			continue
		}
		j.checked(Lost)
		if r.whole() || j.excused(r, work) || work.change != nil && (!beside[r.Machine] || j.usedUp(r)) {
			continue
		}
		j.breach(Lost, r.Ended, r, "%s, sent at %.3fs, is read whole, and its connection ends without a complete answer %s; %s",
			r.Class, r.Sent.Seconds(), work.relation(r), j.way(r))
	}
	if len(kept) <= keptCuts {
		return
	}
	for _, r := range kept {
		j.breach(Lost, r.Ended, r, "%s from a kept connection is passed on, and the connection is closed without an answer; %s", r.Class, j.way(r))
	}
}

// relation says how the end of a request lies to the work beside it.
func (w plannedWork) relation(r *Request) string {
	switch {
	case w.stop != nil:
		return fmt.Sprintf("%.3fs after SIGTERM, %.3fs of which it was sent after", (r.Ended - w.stop.From).Seconds(), (r.Sent - w.stop.From).Seconds())
	case w.reload != nil:
		return fmt.Sprintf("%.3fs after SIGHUP", (r.Ended - w.reload.From).Seconds())
	}
	return fmt.Sprintf("%.3fs after the change %q to version %d was sent", (r.Ended - w.change.firstSent()).Seconds(), w.change.Name, w.change.Version)
}

// way says how far a request came: its time, its runs and its answer.
func (j *judge) way(r *Request) string {
	way := []string{fmt.Sprintf("its time is over at %.4fs, it ends at %.4fs", j.limit(r).Seconds(), r.Ended.Seconds())}
	for _, run := range j.runs[r.ID] {
		way = append(way, fmt.Sprintf("%s runs it from %.3fs to %.3fs (status %d, %d events, whole %v, broke off %v)", run.Instance,
			run.Began.Seconds(), run.Ended.Seconds(), run.Status, len(run.Events), run.Complete, run.Aborted))
	}
	if len(j.runs[r.ID]) == 0 {
		way = append(way, "no receiver runs it")
	}
	if r.Answer != nil {
		way = append(way, fmt.Sprintf("its answer has status %d and %d events", r.Answer.Status, len(r.Answer.Events)))
	}
	return strings.Join(way, "; ")
}

// work is the planned work beside which the request ended; false where there is none, or unplanned trouble was near.
func (j *judge) work(r *Request) (plannedWork, bool) {
	if j.disturbed(r) {
		return plannedWork{}, false
	}
	if t := j.during(r, j.stopped); t != nil {
		return plannedWork{stop: t}, true
	}
	if t := j.during(r, j.reloaded); t != nil {
		return plannedWork{reload: t}, true
	}
	if c := j.besideChange(r); c != nil {
		return plannedWork{change: c}, true
	}
	return plannedWork{}, false
}

// disturbed says whether unplanned trouble struck from the contact bound before the request to its end. Stops and SIGHUP
// are planned on all machines and excuse nothing.
func (j *judge) disturbed(r *Request) bool {
	return slices.ContainsFunc(j.Faults, func(t Fault) bool {
		return t.Kind != Reloaded && t.Kind != Terminated && t.From <= r.Ended && t.To > r.Sent-j.Bounds.Contact
	})
}

func (j *judge) during(r *Request, relates func(*Request, *Fault) bool) *Fault {
	for i := range j.Faults {
		if t := &j.Faults[i]; t.Machine == r.Machine && !t.OtherProcess && relates(r, t) {
			return t
		}
	}
	return nil
}

// stopped: the request ended during the stop of the process that took it. Where stops of a machine come in series, one
// before its last start was of another process.
func (j *judge) stopped(r *Request, t *Fault) bool {
	return t.Kind == Terminated && !j.startedBetween(r.Machine, t.From, r.FullySent) && r.FullySent >= t.From-r.Deadline && r.Ended >= t.From && r.Ended <= t.From+j.Bounds.Grace+afterGrace
}

// startedBetween says whether a machine's process was started later than one instant and before another.
func (j *judge) startedBetween(machine string, from, to time.Duration) bool {
	return slices.ContainsFunc(j.ProcessStarts, func(s ProcessStart) bool { return s.Machine == machine && s.At > from && s.At < to })
}

// reloaded: the request was sent before the SIGHUP or soon after it, and ended after it.
func (j *judge) reloaded(r *Request, t *Fault) bool {
	return t.Kind == Reloaded && r.Sent <= t.From+j.Bounds.ConfigApply && r.Ended >= t.From
}

// besideChange is a change that may be in force and was sent, or had been acknowledged shortly before, when the request
// ended.
func (j *judge) besideChange(r *Request) *ConfigChange {
	for _, c := range j.versions {
		if !c.mayBeInForce() || len(c.Attempts) == 0 {
			continue
		}
		f, ended := c.fate()
		if f == open {
			ended = c.Attempts[len(c.Attempts)-1].Ended
		}
		if r.Ended >= c.firstSent() && r.Ended <= ended+j.Bounds.ConfigApply+afterApply {
			return c
		}
	}
	return nil
}

// cutsBesideChanges names the machines that cut requests over cutFactor times as often beside changes as at other times.
func (j *judge) cutsBesideChanges() map[string]bool {
	type tally struct{ requests, cuts int }
	beside, other := map[string]*tally{}, map[string]*tally{}
	for _, r := range j.Requests {
		if r.FullySent == 0 || r.ClientAborted || j.disturbed(r) {
			continue
		}
		tallies := other
		if j.besideChange(r) != nil {
			tallies = beside
		}
		t := tallies[r.Machine]
		if t == nil {
			t = &tally{}
			tallies[r.Machine] = t
		}
		t.requests++
		if !r.whole() && !j.excused(r, plannedWork{}) {
			t.cuts++
		}
	}
	often := map[string]bool{}
	for machine, b := range beside {
		o := other[machine]
		often[machine] = o == nil || b.cuts*o.requests > cutFactor*o.cuts*b.requests
	}
	return often
}

// limit is when the request's time is over, by its client or its route as any configuration has it that may be in force.
func (j *judge) limit(r *Request) time.Duration {
	timeout := r.Timeout
	for _, c := range j.candidates(r.Sent, r.Ended) {
		if route := c.match(r.Authority, r.Target); route != nil && route.Timeout > 0 {
			timeout = min(timeout, route.Timeout)
		}
	}
	return r.Sent + min(r.Deadline, timeout)
}

// usedUp says whether a request had used so much of its time that a cut beside a change does not count.
func (j *judge) usedUp(r *Request) bool {
	return float64(r.Ended-r.Sent) >= ripe*float64(j.limit(r)-r.Sent)
}

// excused says whether a request may end without an answer: its time was over, it was not read, its receiver broke off or
// ended, or it came early in a stop and its receiver was still at work in the last sixth of the grace.
func (j *judge) excused(r *Request, work plannedWork) bool {
	if r.Ended >= j.limit(r) {
		return true
	}
	runs := j.runs[r.ID]
	if len(runs) == 0 {
		return r.Ended <= r.FullySent+j.Bounds.LossSlack
	}
	return slices.ContainsFunc(runs, func(run *Run) bool {
		return run.Aborted || j.crashed(run, r.Ended) || work.stop != nil && j.lasts(r, run, work.stop)
	})
}

// lasts says whether a request came early in a stop and its receiver was at work on it in the last sixth of the grace.
func (j *judge) lasts(r *Request, run *Run, stop *Fault) bool {
	lastSixth := stop.From + j.Bounds.Grace*5/6
	return r.Sent <= stop.From+lateSending && (run.Ended == 0 || run.Ended >= lastSixth)
}

// crashed says whether a run's receiver ended without a word while it was at it.
func (j *judge) crashed(run *Run, until time.Duration) bool {
	return slices.ContainsFunc(j.Crashes, func(c Crash) bool { return c.Instance == run.Instance && c.At >= run.Began && c.At <= until })
}

// droppedFromKept says whether a machine in touch passed a request from a kept connection on to a sound receiver, and
// closed the connection without an answer.
func (j *judge) droppedFromKept(r *Request) bool {
	return r.ReusedConnection && r.Answer == nil && len(j.runs[r.ID]) > 0 && !j.excused(r, plannedWork{}) && j.touchThrough(r.Machine, r.Sent, r.Ended)
}
