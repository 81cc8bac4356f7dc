package tierrules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Rule is the name of a rule.
type Rule string

// The rules that are judged.
const (
	Mixed     Rule = "MIXED"
	Unasked   Rule = "UNASKED"
	Twice     Rule = "TWICE"
	Refused   Rule = "REFUSED"
	Denied    Rule = "DENIED"
	Budget    Rule = "BUDGET"
	Misrouted Rule = "ROUTE"
	Drain     Rule = "DRAIN"
	Lost      Rule = "LOST"
	Config    Rule = "CONFIG"
	Order     Rule = "ORDER"
	Recover   Rule = "RECOVER"
)

// Rules are all of them, in the order of the verdict.
var Rules = []Rule{Mixed, Unasked, Twice, Refused, Denied, Budget, Misrouted, Drain, Lost, Config, Order, Recover}

// Breach is one broken rule.
type Breach struct {
	Rule    Rule
	At      time.Duration
	Request string // its id, if it is about one
	Machine string
	Reason  string
}

func (b Breach) String() string {
	about := ""
	if b.Request != "" {
		about = ", request " + b.Request
	}
	if b.Machine != "" {
		about += ", machine " + b.Machine
	}
	return fmt.Sprintf("%s at %.3fs%s: %s", b.Rule, b.At.Seconds(), about, b.Reason)
}

// Verdict is what a day came to.
type Verdict struct {
	Breaches []Breach
	Checked  map[Rule]int // observations that the rule was held against
}

// Passed says whether no rule was broken.
func (v *Verdict) Passed() bool { return len(v.Breaches) == 0 }

// BreachCount counts the breaches of a rule.
func (v *Verdict) BreachCount(rule Rule) int {
	n := 0
	for _, b := range v.Breaches {
		if b.Rule == rule {
			n++
		}
	}
	return n
}

// String is a line for each rule.
func (v *Verdict) String() string {
	var out strings.Builder
	for _, rule := range Rules {
		said := "kept"
		if n := v.BreachCount(rule); n > 0 {
			said = fmt.Sprintf("BROKEN %d times", n)
		}
		fmt.Fprintf(&out, "%-8s %-18s %6d looked at\n", rule, said, v.Checked[rule])
	}
	return out.String()
}

// judge holds the history by what it is asked for.
type judge struct {
	*History
	verdict    *Verdict
	requests   map[string]*Request
	runs       map[string][]*Run
	rejections map[string][]*Rejection
	changes    []*ConfigChange // distinct changes, as sent
}

// Judge holds a day against all rules. The history is only read.
func Judge(history *History) *Verdict {
	j := &judge{
		History:    history,
		verdict:    &Verdict{Checked: map[Rule]int{}},
		requests:   make(map[string]*Request, len(history.Requests)),
		runs:       make(map[string][]*Run, len(history.Runs)),
		rejections: map[string][]*Rejection{},
		changes:    history.ConfigChanges,
	}
	for _, r := range history.Requests {
		j.requests[r.ID] = r
	}
	for _, run := range history.Runs {
		j.runs[run.RequestID] = append(j.runs[run.RequestID], run)
	}
	for _, t := range history.Rejections {
		j.rejections[t.RequestID] = append(j.rejections[t.RequestID], t)
	}
	j.judgeAnswers()
	j.judgeStreams()
	j.judgeExecutions()
	j.judgeDenials()
	j.judgePrograms()
	j.judgeRoutes()
	j.judgeConfiguration()
	j.judgeDrains()
	j.judgeLosses()
	j.judgeRecovery()
	slices.SortStableFunc(j.verdict.Breaches, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
	return j.verdict
}

func (j *judge) countCheck(rule Rule) { j.verdict.Checked[rule]++ }

func (j *judge) addBreach(rule Rule, at time.Duration, r *Request, format string, args ...any) {
	b := Breach{Rule: rule, At: at, Reason: fmt.Sprintf(format, args...)}
	if r != nil {
		b.Request, b.Machine = r.ID, r.Machine
	}
	j.verdict.Breaches = append(j.verdict.Breaches, b)
}

// inContact says whether a machine was in touch at an instant: no trouble of its own and none of the core or of a store since
// the contact bound before it. A planned stop is trouble of its machine here; after a final fault it takes twice as long.
func (j *judge) inContact(machine string, at time.Duration) bool {
	for _, t := range j.Faults {
		if t.Kind == Reloaded || t.Machine != machine && !t.Core {
			continue
		}
		contact := j.Bounds.Contact
		if t.Kind == FinalFault {
			contact *= 2
		}
		if at >= t.From && at < t.To+contact {
			return false
		}
	}
	return true
}

// inContactThroughout says whether a machine was in touch all the while.
func (j *judge) inContactThroughout(machine string, from, to time.Duration) bool {
	if !j.inContact(machine, from) || !j.inContact(machine, to) {
		return false
	}
	for _, t := range j.Faults {
		if t.Kind != Reloaded && (t.Machine == machine || t.Core) && t.From >= from && t.From <= to {
			return false
		}
	}
	return true
}
