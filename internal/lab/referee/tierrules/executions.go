package tierrules

import (
	"bytes"
	"net/http"
)

// attemptSlack is how many requests may be sent to more receivers than their route allows.
const attemptSlack = 3

// deniedSlack and deniedShare bound the proper requests that may be denied: 5 + one in 500.
const (
	deniedSlack = 5
	deniedShare = 500
)

// promises says whether a status states that nothing ran and never will.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// executions judges UNASKED, TWICE, REFUSED and the attempts of BUDGET.
func (j *judge) executions() {
	for _, run := range j.Runs {
		j.checked(Unasked)
		j.asked(run)
	}
	over := 0
	for _, r := range j.Requests {
		runs := j.runs[r.ID]
		j.checked(Twice)
		if !r.idempotent() && len(runs) > 1 {
			j.breach(Twice, runs[1].Began, r, "it ran at %s and at %s", runs[0].Instance, runs[1].Instance)
		}
		j.refusal(r, runs)
		if j.attempts(runs) > max(1, r.MaxAttempts) {
			over++
			if over > attemptSlack {
				j.breach(Budget, r.Sent, r, "it ran at more receivers than the %d of its route, as %d others did", r.MaxAttempts, over-1)
			}
		}
	}
}

// asked judges whether a client sent what a receiver runs.
func (j *judge) asked(run *Run) {
	r := j.requests[run.RequestID]
	if r == nil {
		j.breach(Unasked, run.Began, nil, "%s runs request %q, which no client sent", run.Instance, run.RequestID)
		return
	}
	switch {
	case run.Method != r.Method || run.Target != r.Target:
		j.breach(Unasked, run.Began, r, "%s runs %s %s instead of %s %s", run.Instance, run.Method, run.Target, r.Method, r.Target)
	case !r.Retained && !bytes.Equal(run.Body, r.Body):
		j.breach(Unasked, run.Began, r, "%s runs it with another body (%d bytes, %d were sent)", run.Instance, len(run.Body), len(r.Body))
	}
}

// refusal judges REFUSED: what was answered with a promise has not run and never does.
func (j *judge) refusal(r *Request, runs []*Run) {
	status := r.status()
	spent := status == http.StatusPaymentRequired
	if !promises(status) && !spent {
		return
	}
	j.checked(Refused)
	if len(runs) == 0 || r.idempotent() && !spent {
		return
	}
	if r.Answer.Stamp != "" && runs[0].Stamp == r.Answer.Stamp && runs[0].Status == status {
		return // the receiver's own word
	}
	j.breach(Refused, r.Ended, r, "answered %d, yet it ran at %s from %.3fs on", status, runs[0].Instance, runs[0].Began.Seconds())
}

// attempts counts the receivers that ran it, without those that crashed meanwhile.
func (j *judge) attempts(runs []*Run) int {
	at := map[string]bool{}
	for _, run := range runs {
		crashed := false
		for _, c := range j.Crashes {
			crashed = crashed || c.Instance == run.Instance && c.At >= run.Began
		}
		if !crashed {
			at[run.Instance] = true
		}
	}
	return len(at)
}

// denials judges DENIED: proper requests that every configuration which may be in force allows are not ended with a 3xx
// or 4xx of the tier's own. 402 and 404 to turns have rules of their own.
func (j *judge) denials() {
	var denied []*Request
	for _, r := range j.Requests {
		j.checked(Denied)
		status := r.status()
		if status < 300 || status > 499 || promises(status) || r.Answer.Stamp != "" {
			continue
		}
		if r.Program != "" && (status == http.StatusPaymentRequired || r.Previous != "" && status == http.StatusNotFound) {
			continue
		}
		if !j.touchThrough(r.Machine, r.Sent, r.Ended) || !j.allowedByAll(r) {
			continue
		}
		denied = append(denied, r)
	}
	if len(denied) <= deniedSlack+len(j.Requests)/deniedShare {
		return
	}
	for _, r := range denied {
		j.breach(Denied, r.Ended, r, "ended with %d, one of %d that were proper", r.status(), len(denied))
	}
}
