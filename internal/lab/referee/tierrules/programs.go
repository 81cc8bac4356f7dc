package tierrules

import (
	"bytes"
	"net/http"
	"time"
)

// judgePrograms judges what concerns turns: the tokens of BUDGET, the bodies of UNASKED, the turns that are forgotten or not
// continued of LOST.
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

// judgeTokenBudgets adds up what the clients of each program received.
func (j *judge) judgeTokenBudgets() {
	type account struct {
		used, budget, most int64
		last               *Request
	}
	programs := map[string]*account{}
	for _, r := range j.Requests {
		if r.Program == "" || r.TokenBudget == 0 {
			continue
		}
		a := programs[r.Program]
		if a == nil {
			a = &account{}
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

// expectedBody is what a receiver should be given for a turn: its chain's inputs and outputs, oldest first, and its input. It is
// false where a turn of the chain is not known to have ended whole.
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

// judgeBody judges what receivers were given for a turn.
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

// judgeForgotten judges LOST: a turn that was answered whole is known for its retention.
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
	// unreachedAttempts is after how many tries a turn has to have reached a receiver.
	unreachedAttempts = 5
	// minFirstTurns is the least number of first turns by which the tier's other service is told.
	minFirstTurns = 10
)

// turnKey names a turn over all of its tries.
type turnKey struct{ program, previous, input string }

// judgeUnreached judges LOST: a turn that continues one answered whole reaches a receiver within unreachedTries tries at
// machines in touch before its program's aim, while the receivers are under half full and nine tenths of first turns reach
// one.
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

// reachedReceiver says whether a receiver had the request, be it to turn it away.
func (j *judge) reachedReceiver(r *Request) bool {
	return len(j.runs[r.ID])+len(j.rejections[r.ID]) > 0
}

// firstTurnsReach says whether nine tenths of the first turns of a span reached a receiver.
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

// underHalfFull says whether the receivers of turns were under half full throughout a span.
func (j *judge) underHalfFull(from, to time.Duration) bool {
	for _, l := range j.Loads {
		if l.At >= from && l.At <= to && 2*l.InUse >= l.Slots {
			return false
		}
	}
	return true
}
