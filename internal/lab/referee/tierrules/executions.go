package tierrules

import (
	"bytes"
	"net/http"
)

// allowedExcesses is the number of requests that may run at more receivers than their route allows.
const allowedExcesses = 3

// allowedDenials and requestsPerAllowedDenial limit the denials of valid requests: 5, and one more for each 500
// requests.
const (
	allowedDenials           = 5
	requestsPerAllowedDenial = 500
)

// guaranteesNotRun reports whether a status guarantees that the request did not run and will not run.
func guaranteesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// judgeExecutions checks UNASKED, TWICE, REFUSED and the part of BUDGET that limits attempts.
func (j *judge) judgeExecutions() {
	for _, run := range j.Runs {
		j.countCheck(Unasked)
		j.judgeRequested(run)
	}
	over := 0
	for _, r := range j.Requests {
		runs := j.runs[r.ID]
		j.countCheck(Twice)
		if !r.idempotent() && len(runs) > 1 {
			j.addBreach(Twice, runs[1].Began, r, "it ran at %s and at %s", runs[0].Instance, runs[1].Instance)
		}
		j.judgeRefusal(r, runs)
		if j.receiversTried(runs) > max(1, r.MaxAttempts) {
			over++
			if over > allowedExcesses {
				j.addBreach(Budget, r.Sent, r, "it ran at more receivers than the %d of its route, as %d others did", r.MaxAttempts, over-1)
			}
		}
	}
}

// judgeRequested checks that a client sent what a receiver runs.
func (j *judge) judgeRequested(run *Run) {
	r := j.requests[run.RequestID]
	if r == nil {
		j.addBreach(Unasked, run.Began, nil, "%s runs request %q, which no client sent", run.Instance, run.RequestID)
		return
	}
	switch {
	case run.Method != r.Method || run.Target != r.Target:
		j.addBreach(Unasked, run.Began, r, "%s runs %s %s instead of %s %s", run.Instance, run.Method, run.Target, r.Method, r.Target)
	case !r.Retained && !bytes.Equal(run.Body, r.Body):
		j.addBreach(Unasked, run.Began, r, "%s runs it with another body (%d bytes, %d were sent)", run.Instance, len(run.Body), len(r.Body))
	}
}

// judgeRefusal checks REFUSED: a request whose answer guarantees that it did not run has not run and never runs.
func (j *judge) judgeRefusal(r *Request, runs []*Run) {
	status := r.status()
	budgetSpent := status == http.StatusPaymentRequired
	if !guaranteesNotRun(status) && !budgetSpent {
		return
	}
	j.countCheck(Refused)
	if len(runs) == 0 || r.idempotent() && !budgetSpent {
		return
	}
	if r.Answer.Stamp != "" && runs[0].Stamp == r.Answer.Stamp && runs[0].Status == status {
		return // the receiver's own answer
	}
	j.addBreach(Refused, r.Ended, r, "answered %d, yet it ran at %s from %.3fs on", status, runs[0].Instance, runs[0].Began.Seconds())
}

// receiversTried counts the receivers of the runs, except those that crashed after the run began.
func (j *judge) receiversTried(runs []*Run) int {
	instances := map[string]bool{}
	for _, run := range runs {
		crashed := false
		for _, c := range j.Crashes {
			crashed = crashed || c.Instance == run.Instance && c.At >= run.Began
		}
		if !crashed {
			instances[run.Instance] = true
		}
	}
	return len(instances)
}

// judgeDenials checks DENIED: the tier itself does not answer 3xx or 4xx to a valid request that every configuration
// that may be in force allows. The statuses that guarantee that nothing ran, and 402 and 404 to turns, are checked by
// other rules.
func (j *judge) judgeDenials() {
	var denied []*Request
	for _, r := range j.Requests {
		j.countCheck(Denied)
		status := r.status()
		if status < 300 || status > 499 || guaranteesNotRun(status) || r.Answer.Stamp != "" {
			continue
		}
		if r.Program != "" && (status == http.StatusPaymentRequired || r.Previous != "" && status == http.StatusNotFound) {
			continue
		}
		if !j.inContactThroughout(r.Machine, r.Sent, r.Ended) || !j.routeInAll(r) {
			continue
		}
		denied = append(denied, r)
	}
	if len(denied) <= allowedDenials+len(j.Requests)/requestsPerAllowedDenial {
		return
	}
	for _, r := range denied {
		j.addBreach(Denied, r.Ended, r, "ended with %d, one of %d that were proper", r.status(), len(denied))
	}
}
