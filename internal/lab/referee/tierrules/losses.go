package tierrules

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// stopSlack is the time after the grace period of a stop during which ended connections still count as cut by it.
	stopSlack = time.Second
	// lateSendLimit is the time after the stop signal within which a request must have been sent to be excused because
	// its receiver is at work until the end of the grace period.
	lateSendLimit = 3 * time.Second
	// changeSlack is the time after the ConfigApply bound of a change during which ended requests still count as near
	// it.
	changeSlack = time.Second
	// cutFactor is how many times as often a machine has to cut requests near configuration changes as at other times
	// for the cuts near changes to count.
	cutFactor = 3
	// usedTimeShare is the share of its time limit from which on a request cut near a configuration change does not
	// count.
	usedTimeShare = 0.7
	// allowedReusedConnectionCuts is the number of forwarded requests on reused connections that may end without an
	// answer, at any time.
	allowedReusedConnectionCuts = 3
)

// plannedOperation is an operation during which requests must not be lost: a stop (SIGTERM) or a SIGHUP of the process
// that accepted the request, or a configuration change.
type plannedOperation struct {
	stop   *Fault
	reload *Fault
	change *ConfigChange
}

// judgeLosses checks LOST near planned operations: a request that was sent completely gets a complete answer. It also
// limits the requests dropped on reused connections at any time.
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

// relation describes when a request ended relative to the operation.
func (operation plannedOperation) relation(r *Request) string {
	switch {
	case operation.stop != nil:
		return fmt.Sprintf("%.3fs after SIGTERM, %.3fs of which it was sent after", (r.Ended - operation.stop.From).Seconds(), (r.Sent - operation.stop.From).Seconds())
	case operation.reload != nil:
		return fmt.Sprintf("%.3fs after SIGHUP", (r.Ended - operation.reload.From).Seconds())
	}
	return fmt.Sprintf("%.3fs after the change %q to version %d was sent", (r.Ended - operation.change.firstSent()).Seconds(), operation.change.Name, operation.change.Version)
}

// progress describes how far a request got: its time limit, its runs and its answer.
func (j *judge) progress(r *Request) string {
	steps := []string{fmt.Sprintf("its time is over at %.4fs, it ends at %.4fs", j.timeLimit(r).Seconds(), r.Ended.Seconds())}
	for _, run := range j.runs[r.ID] {
		steps = append(steps, fmt.Sprintf("%s runs it from %.3fs to %.3fs (status %d, %d events, whole %v, broke off %v)", run.Instance,
			run.Began.Seconds(), run.Ended.Seconds(), run.Status, len(run.Events), run.Complete, run.Aborted))
	}
	if len(j.runs[r.ID]) == 0 {
		steps = append(steps, "no receiver runs it")
	}
	if r.Answer != nil {
		steps = append(steps, fmt.Sprintf("its answer has status %d and %d events", r.Answer.Status, len(r.Answer.Events)))
	}
	return strings.Join(steps, "; ")
}

// operationNear returns the planned operation near which the request ended; false if there is none or an unplanned
// fault was near.
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

// faultNear reports whether an unplanned fault was active between the contact bound before the request and its end.
// Stops and SIGHUPs are planned on all machines and excuse nothing.
func (j *judge) faultNear(r *Request) bool {
	return slices.ContainsFunc(j.Faults, func(t Fault) bool {
		return t.Kind != Reloaded && t.Kind != Terminated && t.From <= r.Ended && t.To > r.Sent-j.Bounds.Contact
	})
}

func (j *judge) relatedFault(r *Request, related func(*Request, *Fault) bool) *Fault {
	for i := range j.Faults {
		if fault := &j.Faults[i]; fault.Machine == r.Machine && !fault.OtherProcess && related(r, fault) {
			return fault
		}
	}
	return nil
}

// endedDuringStop reports whether the request ended during the stop of the process that accepted it. If a machine is
// stopped several times, a stop before its last start hit an earlier process.
func (j *judge) endedDuringStop(r *Request, stop *Fault) bool {
	return stop.Kind == Terminated && !j.startedBetween(r.Machine, stop.From, r.FullySent) && r.FullySent >= stop.From-r.Deadline && r.Ended >= stop.From && r.Ended <= stop.From+j.Bounds.Grace+stopSlack
}

// startedBetween reports whether a machine's process was started after one instant and before another.
func (j *judge) startedBetween(machine string, from, to time.Duration) bool {
	return slices.ContainsFunc(j.ProcessStarts, func(s ProcessStart) bool { return s.Machine == machine && s.At > from && s.At < to })
}

// endedAfterReload reports whether the request was sent before the SIGHUP, or within the ConfigApply bound after it,
// and ended after it.
func (j *judge) endedAfterReload(r *Request, reload *Fault) bool {
	return reload.Kind == Reloaded && r.Sent <= reload.From+j.Bounds.ConfigApply && r.Ended >= reload.From
}

// changeNear returns a change that may be in force and that was being sent, or had been acknowledged shortly before,
// when the request ended; nil if there is none.
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

// machinesCuttingAtChanges returns the machines that cut requests more than cutFactor times as often near configuration
// changes as at other times.
func (j *judge) machinesCuttingAtChanges() map[string]bool {
	type tally struct{ requests, cuts int }
	nearChanges, otherTimes := map[string]*tally{}, map[string]*tally{}
	for _, r := range j.Requests {
		if r.FullySent == 0 || r.ClientAborted || j.faultNear(r) {
			continue
		}
		tallies := otherTimes
		if j.changeNear(r) != nil {
			tallies = nearChanges
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
	for machine, b := range nearChanges {
		o := otherTimes[machine]
		cutOften[machine] = o == nil || b.cuts*o.requests > cutFactor*o.cuts*b.requests
	}
	return cutOften
}

// timeLimit returns when the request's time is over: by its deadline, or by the shortest timeout of its route in any
// configuration that may be in force.
func (j *judge) timeLimit(r *Request) time.Duration {
	timeout := r.Timeout
	for _, c := range j.possiblyInForce(r.Sent, r.Ended) {
		if route := c.routeFor(r.Authority, r.Target); route != nil && route.Timeout > 0 {
			timeout = min(timeout, route.Timeout)
		}
	}
	return r.Sent + min(r.Deadline, timeout)
}

// usedMostOfTime reports whether a request had used so much of its time that a cut near a change does not count.
func (j *judge) usedMostOfTime(r *Request) bool {
	return float64(r.Ended-r.Sent) >= usedTimeShare*float64(j.timeLimit(r)-r.Sent)
}

// excused reports whether a request may end without an answer: its time was over, it reached no receiver and ended
// within the LossSlack bound, its receiver aborted it or crashed, or it was sent early in a stop and its receiver was
// still at work in the last sixth of the grace period.
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

// atWorkToEndOfGrace reports whether a request was sent early in a stop and its receiver was still at work on it in the
// last sixth of the grace period.
func (j *judge) atWorkToEndOfGrace(r *Request, run *Run, stop *Fault) bool {
	lastSixth := stop.From + j.Bounds.Grace*5/6
	return r.Sent <= stop.From+lateSendLimit && (run.Ended == 0 || run.Ended >= lastSixth)
}

// receiverCrashed reports whether the run's receiver crashed after the run began and before an instant.
func (j *judge) receiverCrashed(run *Run, until time.Duration) bool {
	return slices.ContainsFunc(j.Crashes, func(c Crash) bool { return c.Instance == run.Instance && c.At >= run.Began && c.At <= until })
}

// droppedOnReusedConnection reports whether a machine in contact forwarded a request from a reused connection to a
// working receiver and closed the connection without an answer.
func (j *judge) droppedOnReusedConnection(r *Request) bool {
	return r.ReusedConnection && r.Answer == nil && len(j.runs[r.ID]) > 0 && !j.excused(r, plannedOperation{}) && j.inContactThroughout(r.Machine, r.Sent, r.Ended)
}
