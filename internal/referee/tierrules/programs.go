package tierrules

import (
	"bytes"
	"net/http"
	"time"
)

// programs judges what concerns turns: the tokens of BUDGET, the bodies of UNASKED, the 404 of LOST.
func (j *judge) programs() {
	j.budgets()
	for _, r := range j.Requests {
		if !r.Retained {
			continue
		}
		j.chain(r)
		j.forgotten(r)
	}
}

// budgets adds up what the clients of each program received.
func (j *judge) budgets() {
	type account struct {
		used, budget, most int64
		last               *Request
	}
	programs := map[string]*account{}
	for _, r := range j.Requests {
		if r.Program == "" || r.Budget == 0 {
			continue
		}
		a := programs[r.Program]
		if a == nil {
			a = &account{}
			programs[r.Program] = a
		}
		a.budget = r.Budget
		a.most = max(a.most, r.Most)
		if r.Answer != nil && r.Answer.Status == http.StatusOK {
			a.used += int64(len(r.Answer.Events)) * r.Chunk
			a.last = r
		}
	}
	for name, a := range programs {
		j.checked(Budget)
		if a.used > a.budget+a.most {
			j.breach(Budget, a.last.Ended, a.last, "program %s received %d tokens of a budget of %d with %d for one turn", name, a.used, a.budget, a.most)
		}
	}
}

// whole is what a receiver should be given for a turn: its chain's inputs and outputs, oldest first, and its input. It is
// false where a turn of the chain is not known to have ended whole.
func (j *judge) whole(r *Request) ([]byte, bool) {
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

// chain judges what receivers were given for a turn.
func (j *judge) chain(r *Request) {
	for _, run := range j.runs[r.ID] {
		want, known := j.whole(r)
		switch {
		case !known:
			j.breach(Unasked, run.Began, r, "%s runs a turn whose Previous %q names no turn", run.Instance, r.Previous)
		case !bytes.Equal(want, run.Body):
			j.breach(Unasked, run.Began, r, "%s runs a turn with %d bytes that differ from its chain's %d", run.Instance, len(run.Body), len(want))
		}
	}
}

// forgotten judges LOST: a turn that was answered whole is known for its retention.
func (j *judge) forgotten(r *Request) {
	status := r.status()
	if r.Previous == "" || status != http.StatusNotFound && status != http.StatusGone {
		return
	}
	p := j.requests[r.Previous]
	if p == nil || !p.success() {
		return
	}
	if age := r.Ended - p.Ended; age < retentionOf(p) {
		j.breach(Lost, r.Ended, r, "%d though its previous turn %s ended whole %.3fs before", status, p.ID, age.Seconds())
	}
}

func retentionOf(r *Request) time.Duration { return r.Retention }
