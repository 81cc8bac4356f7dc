package tierrules

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// drains judges DRAIN: later than the bound after a machine in touch acknowledged that a receiver ends, no request that
// machines in touch sent on reaches it.
func (j *judge) drains() {
	for _, end := range j.Ends {
		j.checked(Drain)
		if !j.touch(end.Machine, end.Acked) {
			continue
		}
		limit := end.Acked + j.Bounds.Drain
		for _, run := range j.Runs {
			r := j.requests[run.RequestID]
			if run.Instance != end.Instance || run.Began <= limit || r == nil || !j.touchThrough(r.Machine, r.Sent, run.Began) {
				continue
			}
			j.breach(Drain, run.Began, r, "%s runs it %.3fs after its end was acknowledged", end.Instance, (run.Began - end.Acked).Seconds())
		}
		for _, t := range j.Turned {
			r := j.requests[t.RequestID]
			if t.Instance != end.Instance || t.Status == statusMisdirected || t.At <= limit || r == nil || !j.touchThrough(r.Machine, r.Sent, t.At) {
				continue
			}
			j.breach(Drain, t.At, r, "it reaches %s %.3fs after its end was acknowledged", end.Instance, (t.At - end.Acked).Seconds())
		}
	}
}

const statusMisdirected = 421

// afterGrace is for how long behind the grace of a stop its connections count.
const afterGrace = time.Second

// losses judges LOST round planned stops: a request that was read whole gets a whole answer.
func (j *judge) losses() {
	for _, r := range j.Requests {
		if r.Whole == 0 || r.GaveUp {
			continue
		}
		t := j.plannedStop(r)
		if t == nil {
			continue
		}
		j.checked(Lost)
		if r.Answer != nil && r.Answer.Complete || j.excused(r, t) {
			continue
		}
		j.breach(Lost, r.Ended, r, "%s sent %.3fs after SIGTERM is read whole, and its connection ends without a complete answer %.3fs after it; %s",
			r.Class, (r.Sent - t.From).Seconds(), (r.Ended - t.From).Seconds(), j.way(r, t))
	}
}

// way says how far a request came: its runs and its answer, on the clock of a stop.
func (j *judge) way(r *Request, t *Trouble) string {
	way := []string{fmt.Sprintf("its time is over at %.4fs, it ends at %.4fs", (r.limit() - t.From).Seconds(), (r.Ended - t.From).Seconds())}
	for _, run := range j.runs[r.ID] {
		way = append(way, fmt.Sprintf("%s runs it from %.3fs to %.3fs (status %d, %d events, whole %v, broke off %v)", run.Instance,
			(run.Began-t.From).Seconds(), (run.Ended-t.From).Seconds(), run.Status, len(run.Events), run.Complete, run.BrokeOff))
	}
	if len(j.runs[r.ID]) == 0 {
		way = append(way, "no receiver runs it")
	}
	if r.Answer != nil {
		way = append(way, fmt.Sprintf("its answer has status %d and %d events", r.Answer.Status, len(r.Answer.Events)))
	}
	return strings.Join(way, "; ")
}

// plannedStop is the stop of the machine during which the request ended, with no unplanned trouble near. Stops of other
// machines are planned as well and excuse nothing.
func (j *judge) plannedStop(r *Request) *Trouble {
	at := slices.IndexFunc(j.Troubles, func(t Trouble) bool {
		return t.What == Terminated && t.Machine == r.Machine && r.Whole >= t.From-r.Deadline && r.Ended >= t.From && r.Ended <= t.From+j.Bounds.Grace+afterGrace
	})
	if at < 0 {
		return nil
	}
	for i, t := range j.Troubles {
		if i != at && t.What != Reloaded && t.What != Terminated && t.From <= r.Ended && t.To > r.Sent-j.Bounds.Contact {
			return nil
		}
	}
	return &j.Troubles[at]
}

// limit is when the request's time is over, by its client or its route.
func (r *Request) limit() time.Duration { return r.Sent + min(r.Deadline, r.Timeout) }

// lateSending is how long after a stop's signal a request may be sent whose receiver may be at work until the end.
const lateSending = 3 * time.Second

// excused says whether a request round a stop may end without an answer: its time was over, it was not read, its receiver
// broke off, or it came early and its receiver was still at work in the last sixth of the grace.
func (j *judge) excused(r *Request, t *Trouble) bool {
	if r.Ended >= r.limit() {
		return true
	}
	runs := j.runs[r.ID]
	if len(runs) == 0 {
		return r.Ended <= r.Whole+j.Bounds.LossSlack
	}
	early := r.Sent <= t.From+lateSending
	lastSixth := t.From + j.Bounds.Grace*5/6
	return slices.ContainsFunc(runs, func(run *Run) bool {
		return run.BrokeOff || early && (run.Ended == 0 || run.Ended >= lastSixth)
	})
}

// recovery judges RECOVER after a final fault: of the requests sent later than the bound a quarter is served, if it was
// before.
func (j *judge) recovery() {
	at := slices.IndexFunc(j.Troubles, func(t Trouble) bool { return t.What == Final })
	if at < 0 {
		return
	}
	fault := j.Troubles[at]
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
func (j *judge) unrecovered(fault Trouble) {
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
		case !old && r.Sent > j.Length-endSpan:
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
