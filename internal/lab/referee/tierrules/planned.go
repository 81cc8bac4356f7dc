package tierrules

import (
	"slices"
	"time"
)

// judgeDrains checks DRAIN: once the drain bound has passed since a machine in contact acknowledged a receiver's
// departure, no request forwarded by a machine in contact reaches the receiver.
func (j *judge) judgeDrains() {
	for _, end := range j.Departures {
		j.countCheck(Drain)
		if !j.inContact(end.AckedBy, end.AckedAt) {
			continue
		}
		limit := end.AckedAt + j.Bounds.Drain
		for _, run := range j.Runs {
			r := j.requests[run.RequestID]
			if run.Instance != end.Instance || run.Began <= limit || r == nil || !j.inContactThroughout(r.Machine, r.Sent, run.Began) {
				continue
			}
			j.addBreach(Drain, run.Began, r, "%s runs it %.3fs after its end was acknowledged", end.Instance, (run.Began - end.AckedAt).Seconds())
		}
		for _, t := range j.Rejections {
			r := j.requests[t.RequestID]
			if t.Instance != end.Instance || t.Status == statusMisdirected || t.At <= limit || r == nil || !j.inContactThroughout(r.Machine, r.Sent, t.At) {
				continue
			}
			j.addBreach(Drain, t.At, r, "it reaches %s %.3fs after its end was acknowledged", end.Instance, (t.At - end.AckedAt).Seconds())
		}
	}
}

const statusMisdirected = 421

// judgeRecovery checks RECOVER after a final fault: at least a quarter of the requests sent after the recovery bound
// are served, if a quarter were served before the fault.
func (j *judge) judgeRecovery() {
	i := slices.IndexFunc(j.Faults, func(t Fault) bool { return t.Kind == FinalFault })
	if i < 0 {
		return
	}
	fault := j.Faults[i]
	var before, servedBefore, after, servedAfter int
	var unserved *Request // after the recovery bound
	for _, r := range j.Requests {
		switch {
		case r.Ended < fault.From:
			before++
			servedBefore += served(r)
		case r.Sent > fault.To+j.Bounds.Recovery:
			after++
			servedAfter += served(r)
			if !r.succeeded() {
				unserved = r
			}
		}
	}
	j.verdict.Checked[Recover] = after
	if 4*servedBefore >= before && 4*servedAfter < after {
		j.addBreach(Recover, fault.To+j.Bounds.Recovery, unserved, "%d of %d requests are served after the final fault, %d of %d before; %s got %d", servedAfter, after,
			servedBefore, before, unserved.Target, unserved.status())
	}
	j.judgeContinuations(fault)
}

func served(r *Request) int {
	if r.succeeded() {
		return 1
	}
	return 0
}

// recoverySampleSpan is the time before the end of the traffic in which other turns show whether the tier has
// recovered.
const recoverySampleSpan = 4 * time.Second

// judgeContinuations checks LOST after a final fault: a turn that continues one from before the fault reaches a
// receiver by the recovery bound, if at least four fifths of the other turns are served within recoverySampleSpan.
func (j *judge) judgeContinuations(fault Fault) {
	other, served := 0, 0
	reached := map[string]bool{}
	expected := map[string]*Request{}
	for _, r := range j.Requests {
		if !r.Retained {
			continue
		}
		previous := j.requests[r.Previous]
		continuesOld := previous != nil && previous.succeeded() && previous.Ended < fault.From && r.Sent > fault.To
		switch {
		case continuesOld && len(j.runs[r.ID]) > 0:
			reached[previous.ID] = true
		case continuesOld && r.Sent > fault.To+j.Bounds.Recovery && r.Sent < previous.Ended+retentionOf(previous):
			expected[previous.ID] = r
		case !continuesOld && r.Sent > j.TrafficEnd-recoverySampleSpan:
			other++
			if r.succeeded() {
				served++
			}
		}
	}
	if other == 0 || 5*served < 4*other {
		return
	}
	for id, r := range expected {
		if !reached[id] {
			j.addBreach(Lost, r.Ended, r, "turn %s from before the final fault is not continued by %.0fs", id, (fault.To + j.Bounds.Recovery).Seconds())
		}
	}
}
