package tierrules

import (
	"slices"
	"time"
)

// drains judges DRAIN: later than the bound after a machine in touch acknowledged that a receiver ends, no request that
// machines in touch sent on reaches it.
func (j *judge) drains() {
	for _, end := range j.Departures {
		j.checked(Drain)
		if !j.touch(end.AckedBy, end.AckedAt) {
			continue
		}
		limit := end.AckedAt + j.Bounds.Drain
		for _, run := range j.Runs {
			r := j.requests[run.RequestID]
			if run.Instance != end.Instance || run.Began <= limit || r == nil || !j.touchThrough(r.Machine, r.Sent, run.Began) {
				continue
			}
			j.breach(Drain, run.Began, r, "%s runs it %.3fs after its end was acknowledged", end.Instance, (run.Began - end.AckedAt).Seconds())
		}
		for _, t := range j.Rejections {
			r := j.requests[t.RequestID]
			if t.Instance != end.Instance || t.Status == statusMisdirected || t.At <= limit || r == nil || !j.touchThrough(r.Machine, r.Sent, t.At) {
				continue
			}
			j.breach(Drain, t.At, r, "it reaches %s %.3fs after its end was acknowledged", end.Instance, (t.At - end.AckedAt).Seconds())
		}
	}
}

const statusMisdirected = 421

// recovery judges RECOVER after a final fault: of the requests sent later than the bound a quarter is served, if it was
// before.
func (j *judge) recovery() {
	at := slices.IndexFunc(j.Faults, func(t Fault) bool { return t.Kind == FinalFault })
	if at < 0 {
		return
	}
	fault := j.Faults[at]
	var before, servedBefore, after, servedAfter int
	for _, r := range j.Requests {
		switch {
		case r.Ended < fault.From:
			before++
			servedBefore += served(r)
		case r.Sent > fault.To+j.Bounds.Recovery:
			after++
			servedAfter += served(r)
		}
	}
	j.verdict.Checked[Recover] = after
	if 4*servedBefore >= before && 4*servedAfter < after {
		j.breach(Recover, fault.To+j.Bounds.Recovery, nil, "%d of %d requests are served after the final fault, %d of %d before", servedAfter, after, servedBefore, before)
	}
	j.unrecovered(fault)
}

func served(r *Request) int {
	if r.success() {
		return 1
	}
	return 0
}

// endSpan is the span at the end of the traffic by which the recovery of turns is judged.
const endSpan = 4 * time.Second

// unrecovered judges LOST after a final fault: a turn that continues one from before reaches a receiver by the bound, if
// four fifths of other turns are served in the last seconds.
func (j *judge) unrecovered(fault Fault) {
	other, served := 0, 0
	reached := map[string]bool{}
	asked := map[string]*Request{}
	for _, r := range j.Requests {
		if !r.Retained {
			continue
		}
		p := j.requests[r.Previous]
		old := p != nil && p.success() && p.Ended < fault.From && r.Sent > fault.To
		switch {
		case old && len(j.runs[r.ID]) > 0:
			reached[p.ID] = true
		case old && r.Sent > fault.To+j.Bounds.Recovery && r.Sent < p.Ended+retentionOf(p):
			asked[p.ID] = r
		case !old && r.Sent > j.TrafficEnd-endSpan:
			other++
			if r.success() {
				served++
			}
		}
	}
	if other == 0 || 5*served < 4*other {
		return
	}
	for id, r := range asked {
		if !reached[id] {
			j.breach(Lost, r.Ended, r, "turn %s from before the final fault is not continued by %.0fs", id, (fault.To + j.Bounds.Recovery).Seconds())
		}
	}
}
