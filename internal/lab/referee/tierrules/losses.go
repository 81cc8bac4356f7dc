package tierrules

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// stopSlack is for how long behind the grace of a stop its connections count.
	stopSlack = time.Second
	// lateSendLimit is how long after a stop's signal a request may be sent whose receiver may be at work until the end.
	lateSendLimit = 3 * time.Second
	// changeSlack is for how long behind the bound of configuration a change counts after its acknowledgement.
	changeSlack = time.Second
	// cutFactor is how many times as often a machine has to cut requests beside changes of the configuration as at other
	// times for its cuts to count there.
	cutFactor = 3
	// usedTimeShare is the share of its time beyond which a request that is cut beside a change does not count.
	usedTimeShare = 0.7
	// allowedReusedConnectionCuts is how many requests from kept connections may be passed on and end without an answer, at any time.
	allowedReusedConnectionCuts = 3
)

// plannedOperation is what LOST is judged beside: a stop of the machine that took the request, a SIGHUP of it, or a change of
// the configuration.
type plannedOperation struct {
	stop   *Fault
	reload *Fault
	change *ConfigChange
}

// judgeLosses judges LOST round planned work: a request that was read whole gets a whole answer.
func (j *judge) judgeLosses() {
	oftenCut := j.machinesCuttingAtChanges()
	var dropped []*Request
	for _, r := range j.Requests {
		if r.FullySent == 0 || r.ClientAborted {
			continue
		}
		if j.droppedOnReusedConnection(r) {
			dropped = append(dropped, r)
		}
		operation, planned := j.operationNear(r)
		if !planned {
			continue
		}
		j.countCheck(Lost)
		if r.hasCompleteAnswer() || j.excused(r, operation) || operation.change != nil && (!oftenCut[r.Machine] || j.usedMostOfTime(r)) {
			continue
		}
		j.addBreach(Lost, r.Ended, r, "%s, sent at %.3fs, is read whole, and its connection ends without a complete answer %s; %s",
			r.Class, r.Sent.Seconds(), operation.relation(r), j.progress(r))
	}
	if len(dropped) <= allowedReusedConnectionCuts {
		return
	}
	for _, r := range dropped {
		j.addBreach(Lost, r.Ended, r, "%s from a kept connection is passed on, and the connection is closed without an answer; %s", r.Class, j.progress(r))
	}
}

// relation says how the end of a request lies to the work beside it.
func (w plannedOperation) relation(r *Request) string {
	switch {
	case w.stop != nil:
		return fmt.Sprintf("%.3fs after SIGTERM, %.3fs of which it was sent after", (r.Ended - w.stop.From).Seconds(), (r.Sent - w.stop.From).Seconds())
	case w.reload != nil:
		return fmt.Sprintf("%.3fs after SIGHUP", (r.Ended - w.reload.From).Seconds())
	}
	return fmt.Sprintf("%.3fs after the change %q to version %d was sent", (r.Ended - w.change.firstSent()).Seconds(), w.change.Name, w.change.Version)
}

// progress says how far a request came: its time, its runs and its answer.
func (j *judge) progress(r *Request) string {
	way := []string{fmt.Sprintf("its time is over at %.4fs, it ends at %.4fs", j.timeLimit(r).Seconds(), r.Ended.Seconds())}
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

// operationNear is the planned work beside which the request ended; false where there is none, or unplanned trouble was near.
func (j *judge) operationNear(r *Request) (plannedOperation, bool) {
	if j.faultNear(r) {
		return plannedOperation{}, false
	}
	if t := j.relatedFault(r, j.endedDuringStop); t != nil {
		return plannedOperation{stop: t}, true
	}
	if t := j.relatedFault(r, j.endedAfterReload); t != nil {
		return plannedOperation{reload: t}, true
	}
	if c := j.changeNear(r); c != nil {
		return plannedOperation{change: c}, true
	}
	return plannedOperation{}, false
}

// faultNear says whether unplanned trouble struck from the contact bound before the request to its end. Stops and SIGHUP
// are planned on all machines and excuse nothing.
func (j *judge) faultNear(r *Request) bool {
	return slices.ContainsFunc(j.Faults, func(t Fault) bool {
		return t.Kind != Reloaded && t.Kind != Terminated && t.From <= r.Ended && t.To > r.Sent-j.Bounds.Contact
	})
}

func (j *judge) relatedFault(r *Request, relates func(*Request, *Fault) bool) *Fault {
	for i := range j.Faults {
		if t := &j.Faults[i]; t.Machine == r.Machine && !t.OtherProcess && relates(r, t) {
			return t
		}
	}
	return nil
}

// endedDuringStop: the request ended during the stop of the process that took it. Where stops of a machine come in series, one
// before its last start was of another process.
func (j *judge) endedDuringStop(r *Request, t *Fault) bool {
	return t.Kind == Terminated && !j.startedBetween(r.Machine, t.From, r.FullySent) && r.FullySent >= t.From-r.Deadline && r.Ended >= t.From && r.Ended <= t.From+j.Bounds.Grace+stopSlack
}

// startedBetween says whether a machine's process was started later than one instant and before another.
func (j *judge) startedBetween(machine string, from, to time.Duration) bool {
	return slices.ContainsFunc(j.ProcessStarts, func(s ProcessStart) bool { return s.Machine == machine && s.At > from && s.At < to })
}

// endedAfterReload: the request was sent before the SIGHUP or soon after it, and ended after it.
func (j *judge) endedAfterReload(r *Request, t *Fault) bool {
	return t.Kind == Reloaded && r.Sent <= t.From+j.Bounds.ConfigApply && r.Ended >= t.From
}

// changeNear is a change that may be in force and was sent, or had been acknowledged shortly before, when the request
// ended.
func (j *judge) changeNear(r *Request) *ConfigChange {
	for _, c := range j.changes {
		if !c.mayBeInForce() || len(c.Attempts) == 0 {
			continue
		}
		f, ended := c.outcome()
		if f == unknown {
			ended = c.Attempts[len(c.Attempts)-1].Ended
		}
		if r.Ended >= c.firstSent() && r.Ended <= ended+j.Bounds.ConfigApply+changeSlack {
			return c
		}
	}
	return nil
}

// machinesCuttingAtChanges names the machines that cut requests over cutFactor times as often beside changes as at other times.
func (j *judge) machinesCuttingAtChanges() map[string]bool {
	type tally struct{ requests, cuts int }
	beside, other := map[string]*tally{}, map[string]*tally{}
	for _, r := range j.Requests {
		if r.FullySent == 0 || r.ClientAborted || j.faultNear(r) {
			continue
		}
		tallies := other
		if j.changeNear(r) != nil {
			tallies = beside
		}
		t := tallies[r.Machine]
		if t == nil {
			t = &tally{}
			tallies[r.Machine] = t
		}
		t.requests++
		if !r.hasCompleteAnswer() && !j.excused(r, plannedOperation{}) {
			t.cuts++
		}
	}
	cutOften := map[string]bool{}
	for machine, b := range beside {
		o := other[machine]
		cutOften[machine] = o == nil || b.cuts*o.requests > cutFactor*o.cuts*b.requests
	}
	return cutOften
}

// timeLimit is when the request's time is over, by its client or its route as any configuration has it that may be in force.
func (j *judge) timeLimit(r *Request) time.Duration {
	timeout := r.Timeout
	for _, c := range j.possiblyInForce(r.Sent, r.Ended) {
		if route := c.routeFor(r.Authority, r.Target); route != nil && route.Timeout > 0 {
			timeout = min(timeout, route.Timeout)
		}
	}
	return r.Sent + min(r.Deadline, timeout)
}

// usedMostOfTime says whether a request had used so much of its time that a cut beside a change does not count.
func (j *judge) usedMostOfTime(r *Request) bool {
	return float64(r.Ended-r.Sent) >= usedTimeShare*float64(j.timeLimit(r)-r.Sent)
}

// excused says whether a request may end without an answer: its time was over, it was not read, its receiver broke off or
// ended, or it came early in a stop and its receiver was still at work in the last sixth of the grace.
func (j *judge) excused(r *Request, operation plannedOperation) bool {
	if r.Ended >= j.timeLimit(r) {
		return true
	}
	runs := j.runs[r.ID]
	if len(runs) == 0 {
		return r.Ended <= r.FullySent+j.Bounds.LossSlack
	}
	return slices.ContainsFunc(runs, func(run *Run) bool {
		return run.Aborted || j.receiverCrashed(run, r.Ended) || operation.stop != nil && j.atWorkToEndOfGrace(r, run, operation.stop)
	})
}

// atWorkToEndOfGrace says whether a request came early in a stop and its receiver was at work on it in the last sixth of the grace.
func (j *judge) atWorkToEndOfGrace(r *Request, run *Run, stop *Fault) bool {
	lastSixth := stop.From + j.Bounds.Grace*5/6
	return r.Sent <= stop.From+lateSendLimit && (run.Ended == 0 || run.Ended >= lastSixth)
}

// receiverCrashed says whether a run's receiver ended without a word while it was at it.
func (j *judge) receiverCrashed(run *Run, until time.Duration) bool {
	return slices.ContainsFunc(j.Crashes, func(c Crash) bool { return c.Instance == run.Instance && c.At >= run.Began && c.At <= until })
}

// droppedOnReusedConnection says whether a machine in touch passed a request from a kept connection on to a sound receiver, and
// closed the connection without an answer.
func (j *judge) droppedOnReusedConnection(r *Request) bool {
	return r.ReusedConnection && r.Answer == nil && len(j.runs[r.ID]) > 0 && !j.excused(r, plannedOperation{}) && j.inContactThroughout(r.Machine, r.Sent, r.Ended)
}
