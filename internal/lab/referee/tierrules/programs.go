package tierrules

import (
	"bytes"
	"net/http"
	"time"
)

// judgePrograms checks the rules for turns: the tokens of BUDGET, the bodies of UNASKED, and for LOST the turns that
// are forgotten or can't be continued.
func (j *judge) judgePrograms() {
	j.judgeTokenBudgets()
	for _, r := range j.Requests {
		if !r.Retained {
			continue
		}
		j.judgeBody(r)
		j.judgeForgotten(r)
	}
	j.judgeUnreached()
}

// judgeTokenBudgets checks that no program's clients received more tokens than its budget and one turn allow.
func (j *judge) judgeTokenBudgets() {
	type usage struct {
		used, budget, most int64
		last               *Request
	}
	programs := map[string]*usage{}
	for _, r := range j.Requests {
		if r.Program == "" || r.TokenBudget == 0 {
			continue
		}
		a := programs[r.Program]
		if a == nil {
			a = &usage{}
			programs[r.Program] = a
		}
		a.budget = r.TokenBudget
		a.most = max(a.most, r.MaxTokens)
		if r.Answer != nil && r.Answer.Status == http.StatusOK {
			a.used += int64(len(r.Answer.Events)) * r.TokensPerEvent
			a.last = r
		}
	}
	for name, a := range programs {
		j.countCheck(Budget)
		if a.used > a.budget+a.most {
			j.addBreach(Budget, a.last.Ended, a.last, "program %s received %d tokens of a budget of %d with %d for one turn", name, a.used, a.budget, a.most)
		}
	}
}

// expectedBody returns the body that a receiver should get for a turn: the inputs and outputs of the previous turns of
// its chain, oldest first, then its own input. It returns false if a previous turn is unknown or has no answer.
func (j *judge) expectedBody(r *Request) ([]byte, bool) {
	var chain []*Request
	for previous := r.Previous; previous != ""; {
		p := j.requests[previous]
		if p == nil || len(chain) > len(j.requests) {
			return nil, false
		}
		chain = append(chain, p)
		previous = p.Previous
	}
	var body []byte
	for i := len(chain) - 1; i >= 0; i-- {
		if chain[i].Answer == nil {
			return nil, false
		}
		body = append(body, chain[i].Body...)
		for _, e := range chain[i].Answer.Events {
			body = append(append(body, e.Data...), '\n')
		}
	}
	return append(body, r.Body...), true
}

// judgeBody checks UNASKED for the bodies that receivers got for a turn.
func (j *judge) judgeBody(r *Request) {
	for _, run := range j.runs[r.ID] {
		want, known := j.expectedBody(r)
		switch {
		case !known:
			j.addBreach(Unasked, run.Began, r, "%s runs a turn whose Previous %q names no turn", run.Instance, r.Previous)
		case !bytes.Equal(want, run.Body):
			j.addBreach(Unasked, run.Began, r, "%s runs a turn with %d bytes that differ from its chain's %d", run.Instance, len(run.Body), len(want))
		}
	}
}

// judgeForgotten checks LOST: a turn that was answered completely remains known for its retention time.
func (j *judge) judgeForgotten(r *Request) {
	status := r.status()
	if r.Previous == "" || status != http.StatusNotFound && status != http.StatusGone {
		return
	}
	previous := j.requests[r.Previous]
	if previous == nil || !previous.succeeded() {
		return
	}
	if age := r.Ended - previous.Ended; age < retentionOf(previous) {
		j.addBreach(Lost, r.Ended, r, "%d though its previous turn %s ended whole %.3fs before", status, previous.ID, age.Seconds())
	}
}

func retentionOf(r *Request) time.Duration { return r.Retention }

const (
	// unreachedAttempts is the number of attempts of a turn without reaching a receiver that breaks LOST.
	unreachedAttempts = 5
	// minFirstTurns is the minimum number of first turns that show whether the tier serves other turns.
	minFirstTurns = 10
)

// turnKey identifies a turn across all its attempts.
type turnKey struct{ program, previous, input string }

// judgeUnreached checks LOST: a turn that continues a completely answered one reaches a receiver within
// unreachedAttempts attempts at machines in contact before its program's deadline, if meanwhile less than half of the
// receivers' slots are in use and nine tenths of the first turns reach a receiver.
func (j *judge) judgeUnreached() {
	attempts := map[turnKey][]*Request{}
	for _, r := range j.Requests {
		previous := j.requests[r.Previous]
		if !r.Retained || previous == nil || !previous.succeeded() || r.Sent >= previous.Ended+retentionOf(previous) || r.ProgramDeadline > 0 && r.Ended > r.ProgramDeadline {
			continue
		}
		key := turnKey{program: r.Program, previous: r.Previous, input: string(r.Body)}
		if j.reachedReceiver(r) || j.faultNear(r) || !j.inContactThroughout(r.Machine, r.Sent, r.Ended) {
			delete(attempts, key)
			continue
		}
		attempts[key] = append(attempts[key], r)
		if all := attempts[key]; len(all) == unreachedAttempts && j.firstTurnsReach(all[0].Sent, r.Ended) && j.underHalfFull(all[0].Sent, r.Ended) {
			j.addBreach(Lost, r.Ended, r, "a turn that continues %s reaches no receiver in %d tries since %.3fs", r.Previous, unreachedAttempts, all[0].Sent.Seconds())
		}
	}
}

// reachedReceiver reports whether a receiver got the request, even if it rejected it.
func (j *judge) reachedReceiver(r *Request) bool {
	return len(j.runs[r.ID])+len(j.rejections[r.ID]) > 0
}

// firstTurnsReach reports whether at least minFirstTurns first turns were sent in an interval and nine tenths of them
// reached a receiver.
func (j *judge) firstTurnsReach(from, to time.Duration) bool {
	all, reached := 0, 0
	for _, r := range j.Requests {
		if !r.Retained || r.Previous != "" || r.Sent < from || r.Sent > to {
			continue
		}
		all++
		if j.reachedReceiver(r) {
			reached++
		}
	}
	return all >= minFirstTurns && 10*reached >= 9*all
}

// underHalfFull reports whether less than half of the slots for turns were in use throughout an interval.
func (j *judge) underHalfFull(from, to time.Duration) bool {
	for _, l := range j.Loads {
		if l.At >= from && l.At <= to && 2*l.InUse >= l.Slots {
			return false
		}
	}
	return true
}
