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

// The rules.
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

// Rules are all rules, in the order in which a verdict lists them.
var Rules = []Rule{Mixed, Unasked, Twice, Refused, Denied, Budget, Misrouted, Drain, Lost, Config, Order, Recover}

// Breach is one violation of a rule.
type Breach struct {
	Rule    Rule
	At      time.Duration
	Request string // its id, if the breach is about one
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

// Verdict is the result of checking a day against all rules.
type Verdict struct {
	Breaches []Breach
	Checked  map[Rule]int // observations checked against the rule
}

// Passed reports whether no rule was broken.
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

// String returns one line for each rule.
func (v *Verdict) String() string {
	var out strings.Builder
	for _, rule := range Rules {
		result := "kept"
		if n := v.BreachCount(rule); n > 0 {
			result = fmt.Sprintf("BROKEN %d times", n)
		}
		fmt.Fprintf(&out, "%-8s %-18s %6d looked at\n", rule, result, v.Checked[rule])
	}
	return out.String()
}

// judge holds the history, indexed for lookups, and the verdict.
type judge struct {
	*History
	verdict    *Verdict
	requests   map[string]*Request
	runs       map[string][]*Run
	rejections map[string][]*Rejection
	changes    []*ConfigChange // each once, as sent
}

// Judge checks a day against all rules. It does not modify the history.
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

// inContact reports whether a machine was in contact at an instant: neither it nor any core or store machine had a
// fault within the contact bound before. A planned stop counts as a fault of its machine here; after a final fault the
// bound is twice as long.
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

// inContactThroughout reports whether a machine was in contact from one instant to another.
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
