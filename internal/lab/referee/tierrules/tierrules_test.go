package tierrules_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/lab/referee/tierrules"
)

func TestTierRules(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Rules of the serving tier")
}

const ms = time.Millisecond

// day is a history without faults that keeps all rules: a request of each kind, one configuration and one program of
// two turns. Its parts are fields so that the tables' entries can change them.
type day struct {
	*tierrules.History
	read, order, text, first, second                *tierrules.Request
	readRun, orderRun, textRun, firstRun, secondRun *tierrules.Run
	initial                                         *tierrules.ConfigChange
}

func calmDay() *day {
	d := &day{History: &tierrules.History{
		Bounds: tierrules.Bounds{Contact: 2000 * ms, Drain: 1000 * ms, Grace: 4000 * ms, LossSlack: 200 * ms, ConfigApply: 1000 * ms,
			RollbackSlack: 250 * ms, Recovery: 3000 * ms, Ack: 4000 * ms},
		TrafficEnd:    60 * time.Second,
		ProcessStarts: []tierrules.ProcessStart{{Machine: "m1"}, {Machine: "m2"}},
	}}
	d.initial = d.addChange("initial", 0, 3, 100*ms, http.StatusOK, routes("alfa")...)
	d.read, d.readRun = d.addPlain("read", tierrules.Safe, 5000*ms)
	d.order, d.orderRun = d.addPlain("order", tierrules.Unsafe, 5100*ms)
	d.text, d.textRun = d.addStream("text", 5200*ms, 3)
	d.text.Resumable = true
	d.first, d.firstRun = d.addTurn("first", "", 5300*ms, "one\n")
	d.second, d.secondRun = d.addTurn("second", "first", 6000*ms, "two\n")
	d.secondRun.Body = []byte("one\nfirst piece 1\nfirst piece 2\nfirst piece 3\ntwo\n")
	return d
}

func routes(order string) []tierrules.Route {
	return []tierrules.Route{
		{Authority: "h", PathPrefix: "/read/", Services: []string{"alfa"}},
		{Authority: "h", PathPrefix: "/order/", Services: []string{order}},
		{Authority: "h", PathPrefix: "/text/", Services: []string{"model"}},
		{Authority: "h", PathPrefix: "/turn/", Services: []string{"model"}},
	}
}

// addChange adds a configuration change that is answered with status 50 ms after it was sent.
func (d *day) addChange(name string, base, version uint64, sent time.Duration, status int, list ...tierrules.Route) *tierrules.ConfigChange {
	c := &tierrules.ConfigChange{Name: name, BaseVersion: base, Version: version, Body: []byte(name), Routes: list,
		Attempts: []tierrules.Attempt{{Sent: sent, Ended: sent + 50*ms, Status: status}}}
	d.ConfigChanges = append(d.ConfigChanges, c)
	return c
}

func (d *day) addRequest(id string, kind tierrules.RouteKind, sent time.Duration, path string) *tierrules.Request {
	r := &tierrules.Request{ID: id, Machine: "m1", Class: id, Kind: kind, Authority: "h", Target: path, Method: "POST", Body: []byte("body"),
		Deadline: 2000 * ms, Timeout: 2000 * ms, MaxAttempts: 1, Sent: sent, FullySent: sent + ms, Ended: sent + 100*ms}
	d.Requests = append(d.Requests, r)
	return r
}

func (d *day) addRun(r *tierrules.Request, instance, service string) *tierrules.Run {
	run := &tierrules.Run{RequestID: r.ID, Instance: instance, Service: service, Authority: "h", Target: r.Target, Method: r.Method,
		Body: r.Body, Began: r.Sent + 10*ms, Ended: r.Sent + 90*ms, Status: 200, Stamp: "stamp " + r.ID + instance, Answer: []byte("answer"), Complete: true}
	d.Runs = append(d.Runs, run)
	return run
}

func (d *day) addPlain(id string, kind tierrules.RouteKind, sent time.Duration) (*tierrules.Request, *tierrules.Run) {
	r := d.addRequest(id, kind, sent, "/"+string(map[tierrules.RouteKind]string{tierrules.Safe: "read", tierrules.Unsafe: "order"}[kind])+"/1")
	run := d.addRun(r, "i-1", "alfa")
	r.Answer = &tierrules.Answer{Status: 200, Stamp: run.Stamp, RequestID: id, Body: []byte("answer"), Complete: true}
	return r, run
}

func (d *day) addStream(id string, sent time.Duration, pieces int) (*tierrules.Request, *tierrules.Run) {
	r := d.addRequest(id, tierrules.Streaming, sent, "/text/1")
	run := d.addRun(r, "i-2", "model")
	run.Answer, run.FinalEventID = nil, uint64(pieces)
	for n := range pieces {
		run.Events = append(run.Events, tierrules.Event{ID: uint64(n + 1), Data: fmt.Sprintf("%s piece %d", id, n+1), At: sent + 20*ms})
	}
	r.Answer = &tierrules.Answer{Status: 200, Stamp: run.Stamp, RequestID: id, Events: append([]tierrules.Event(nil), run.Events...), Complete: true}
	return r, run
}

func (d *day) addTurn(id, previous string, sent time.Duration, input string) (*tierrules.Request, *tierrules.Run) {
	r, run := d.addStream(id, sent, 3)
	r.Target, run.Target = "/turn/1", "/turn/1"
	r.Retained, r.Retention, r.Previous = true, 60*time.Second, previous
	r.Program, r.TokenBudget, r.MaxTokens, r.TokensPerEvent = "p", 30, 9, 3
	r.Body, run.Body = []byte(input), []byte(input)
	return r, run
}

// removeAnswerAndRuns removes a request's answer and runs.
func (d *day) removeAnswerAndRuns(r *tierrules.Request) {
	r.Answer = nil
	d.removeRuns(r)
}

// addCut adds a forwarded request on a reused connection that is closed without an answer.
func (d *day) addCut(id string, sent time.Duration) {
	r, _ := d.addPlain(id, tierrules.Safe, sent)
	r.Answer, r.ReusedConnection = nil, true
}

// addRefusedTurns adds refused attempts of a turn that continues another, and first turns that are served meanwhile.
func (d *day) addRefusedTurns(times int) {
	for i := range 10 {
		first, _ := d.addTurn(fmt.Sprint("first", i), "", 7000*ms+time.Duration(i)*50*ms, "new\n")
		first.Program = first.ID
	}
	for i := range times {
		r, _ := d.addTurn(fmt.Sprint("again", i), "second", 7000*ms+time.Duration(i)*100*ms, "three\n")
		d.removeAnswerAndRuns(r)
		d.answerFromTier(r, 503)
	}
}

// numberedRequest returns the request whose id is a prefix and a number.
func (d *day) numberedRequest(id string, no int) *tierrules.Request {
	for _, r := range d.Requests {
		if r.ID == fmt.Sprint(id, no) {
			return r
		}
	}
	return nil
}

func (d *day) removeRuns(r *tierrules.Request) {
	var kept []*tierrules.Run
	for _, run := range d.Runs {
		if run.RequestID != r.ID {
			kept = append(kept, run)
		}
	}
	d.Runs = kept
}

// answerFromTier gives a request an answer by the tier itself.
func (d *day) answerFromTier(r *tierrules.Request, status int) {
	r.Answer = &tierrules.Answer{Status: status, Complete: true}
}

// addFault adds a fault of a machine that lasts 100 ms.
func (d *day) addFault(machine string, what tierrules.FaultKind, from time.Duration, core bool) {
	d.Faults = append(d.Faults, tierrules.Fault{Machine: machine, Kind: what, From: from, To: from + 100*ms, Core: core})
}

func expectBroken(d *day, rules ...tierrules.Rule) {
	GinkgoHelper()
	verdict := tierrules.Judge(d.History)
	found := map[tierrules.Rule]bool{}
	for _, b := range verdict.Breaches {
		found[b.Rule] = true
	}
	for _, rule := range rules {
		Expect(found).To(HaveKey(rule), "%v", verdict.Breaches)
		delete(found, rule)
	}
	Expect(found).To(BeEmpty(), "%v", verdict.Breaches)
	Expect(verdict.Passed()).To(Equal(len(rules) == 0))
}

var _ = DescribeTable("A day that keeps all rules", func(change func(d *day)) {
	d := calmDay()
	change(d)
	expectBroken(d)
},
	Entry("has no faults", func(*day) {}),
	Entry("has a receiver's own failure, forwarded to the client", func(d *day) {
		d.orderRun.Status, d.order.Answer.Status = 500, 500
	}),
	Entry("has a refused request that did not run", func(d *day) {
		d.removeAnswerAndRuns(d.order)
		d.answerFromTier(d.order, 503)
	}),
	Entry("has a safe request that ran twice", func(d *day) { d.addRun(d.read, "i-9", "alfa") }),
	Entry("has a stream resumed by another receiver after the last event", func(d *day) {
		other := d.addRun(d.text, "i-9", "model")
		other.ResumedAfter, other.FinalEventID = 1, 3
		other.Events = []tierrules.Event{{ID: 2, Data: "other 2"}, {ID: 3, Data: "other 3"}}
		copy(d.text.Answer.Events[1:], other.Events)
	}),
	Entry("has a truncated stream that does not look complete", func(d *day) {
		d.text.Answer.Complete = false
		d.text.Answer.Events = d.text.Answer.Events[:1]
	}),
	Entry("has two concurrent changes, one of which is refused", func(d *day) {
		d.addChange("one", 3, 5, 9000*ms, 200, routes("beta")...)
		d.addChange("two", 3, 5, 9000*ms, 412, routes("gamma")...)
	}),
	Entry("has a run at the former service within the bound", func(d *day) {
		d.addChange("moved", 3, 5, 4500*ms, 200, routes("beta")...)
	}),
	Entry("has a run at the former service by a machine that is not in contact", func(d *day) {
		d.addChange("moved", 3, 5, 2000*ms, 200, routes("beta")...)
		d.addFault("m1", tierrules.Killed, 3500*ms, false)
	}),
	Entry("has a 404 for a route that may have been removed", func(d *day) {
		d.addChange("removed", 3, 5, 4900*ms, 0, routes("alfa")[1:]...)
		d.removeAnswerAndRuns(d.read)
		d.answerFromTier(d.read, 404)
	}),
	Entry("has a request to a draining receiver within the bound", func(d *day) {
		d.Departures = []tierrules.Departure{{Instance: "i-1", AckedAt: 4500 * ms, AckedBy: "m2"}}
	}),
	Entry("has a request cut by an unplanned kill", func(d *day) {
		d.read.Answer = nil
		d.addFault("m1", tierrules.Killed, 5000*ms, false)
	}),
	Entry("has a request accepted early and cut at the end of a stop, with its receiver at work until then", func(d *day) {
		d.addFault("m1", tierrules.Terminated, 5000*ms, false)
		d.text.Timeout, d.text.Deadline = 9000*ms, 9000*ms
		d.text.Ended, d.textRun.Ended, d.textRun.Complete = 8500*ms, 8500*ms, false
		d.text.Answer.Complete = false
	}),
	Entry("has a request cut that was sent long after a SIGHUP", func(d *day) {
		d.addFault("m1", tierrules.Reloaded, 3000*ms, false)
		d.read.Answer = nil
	}),
	Entry("has a request cut near a change, no more often than at other times", func(d *day) {
		d.addChange("newer", 3, 5, 5000*ms, 200, routes("alfa")...)
		d.order.Answer = nil
		d.addCut("again", 20000*ms)
	}),
	Entry("has a request cut near a refused change", func(d *day) {
		d.addChange("refused", 3, 5, 5000*ms, 412, routes("alfa")...)
		d.order.Answer = nil
	}),
	Entry("has a request cut near a change after seven tenths of its time limit", func(d *day) {
		d.addChange("newer", 3, 5, 5000*ms, 200, routes("alfa")...)
		d.order.Answer = nil
		d.order.Ended = d.order.Sent + 1401*ms
	}),
	Entry("has a request cut near a change at the route timeout of a newer configuration", func(d *day) {
		list := routes("alfa")
		list[1].Timeout = 90 * ms
		d.addChange("newer", 3, 5, 5000*ms, 200, list...)
		d.order.Answer = nil
	}),
	Entry("has a request cut near a change by a receiver's crash", func(d *day) {
		d.addChange("newer", 3, 5, 5000*ms, 200, routes("alfa")...)
		d.order.Answer = nil
		d.Crashes = []tierrules.Crash{{Instance: "i-1", At: d.order.Ended}}
	}),
	Entry("has three reused connections closed without an answer", func(d *day) {
		for i := range 3 {
			d.addCut(fmt.Sprint("again", i), 20000*ms)
		}
	}),
	Entry("has a turn that reaches no receiver in four attempts", func(d *day) { d.addRefusedTurns(4) }),
	Entry("has a turn that reaches no receiver while half of the slots are in use", func(d *day) {
		d.addRefusedTurns(5)
		d.Loads = []tierrules.Load{{At: 7100 * ms, InUse: 8, Slots: 16}}
	}),
	Entry("has a turn that reaches no receiver while first turns don't either", func(d *day) {
		d.addRefusedTurns(5)
		for i := range 2 {
			first := d.numberedRequest("first", i)
			d.removeAnswerAndRuns(first)
			d.answerFromTier(first, 503)
		}
	}),
	Entry("has a turn that reaches no receiver by its program's deadline", func(d *day) {
		d.addRefusedTurns(5)
		for _, r := range d.Requests {
			r.ProgramDeadline = 7450 * ms
		}
	}),
	Entry("has a request cut during the stop of another process of the machine", func(d *day) {
		d.addFault("m1", tierrules.Terminated, 5050*ms, false)
		d.Faults[0].OtherProcess = true
		d.read.Answer = nil
		d.readRun.Began = 5000 * ms
	}),
	Entry("has a request cut at the end of a stop by a process started after an earlier stop, with its receiver at work", func(d *day) {
		d.addFault("m1", tierrules.Terminated, 3800*ms, false)
		d.ProcessStarts = append(d.ProcessStarts, tierrules.ProcessStart{Machine: "m1", At: 4500 * ms})
		d.addFault("m1", tierrules.Terminated, 5000*ms, false)
		d.textRun.Ended, d.textRun.Complete = 8400*ms, false
		d.text.Sent, d.text.FullySent, d.text.Ended = 6900*ms, 6901*ms, 8400*ms
		d.textRun.Began = 6910 * ms
		d.text.Answer.Complete = false
	}),
	Entry("has a 404 for a turn whose retention is over", func(d *day) {
		d.removeAnswerAndRuns(d.second)
		d.answerFromTier(d.second, 404)
		d.first.Retention = 500 * ms
	}),
	Entry("has a program whose budget is used up", func(d *day) {
		d.removeAnswerAndRuns(d.second)
		d.answerFromTier(d.second, 402)
	}),
)

var _ = DescribeTable("A day that breaks a rule", func(rule tierrules.Rule, change func(d *day)) {
	d := calmDay()
	change(d)
	expectBroken(d, rule)
},
	Entry(nil, tierrules.Mixed, func(d *day) { d.read.Answer.Stamp = "" }),
	Entry(nil, tierrules.Mixed, func(d *day) { d.read.Answer.Stamp = "another" }),
	Entry(nil, tierrules.Mixed, func(d *day) { d.read.Answer.Body = []byte("answe") }),
	Entry(nil, tierrules.Mixed, func(d *day) { d.read.Answer.RequestID = "order" }),
	Entry(nil, tierrules.Mixed, func(d *day) { d.readRun.Status = 500 }),
	Entry(nil, tierrules.Mixed, func(d *day) { d.readRun.Complete = false }),
	Entry(nil, tierrules.Mixed, func(d *day) { d.orderRun.Status, d.order.Answer.Status = 500, 404 }),
	Entry(nil, tierrules.Mixed, func(d *day) { d.read.StrayBytes = true }),

	Entry(nil, tierrules.Unasked, func(d *day) { d.orderRun.Target = "/order/2" }),
	Entry(nil, tierrules.Unasked, func(d *day) { d.orderRun.Method = "PUT" }),
	Entry(nil, tierrules.Unasked, func(d *day) { d.orderRun.Body = []byte("bodybody") }),
	Entry(nil, tierrules.Unasked, func(d *day) {
		d.addRun(&tierrules.Request{ID: "smuggled", Target: "/read/1", Method: "POST"}, "i-1", "alfa")
	}),
	Entry(nil, tierrules.Unasked, func(d *day) { d.secondRun.Body = []byte("two\n") }),
	Entry(nil, tierrules.Unasked, func(d *day) { d.second.Previous = "nothing" }),
	Entry(nil, tierrules.Unasked, func(d *day) { d.firstRun.Body = []byte("one\none\n") }),

	Entry(nil, tierrules.Twice, func(d *day) { d.addRun(d.order, "i-1", "alfa") }),
	Entry(nil, tierrules.Twice, func(d *day) {
		run := d.addRun(d.second, "i-9", "model")
		run.Body = d.secondRun.Body
	}),

	Entry(nil, tierrules.Refused, func(d *day) { d.answerFromTier(d.order, 503) }),
	Entry(nil, tierrules.Refused, func(d *day) { d.answerFromTier(d.order, 408) }),
	Entry(nil, tierrules.Refused, func(d *day) { d.answerFromTier(d.second, 402) }),

	Entry(nil, tierrules.Denied, func(d *day) {
		for i := range 7 {
			d.answerFromTier(d.addRequest(fmt.Sprint("denied", i), tierrules.Safe, 7000*ms, "/read/1"), 400)
		}
	}),

	Entry(nil, tierrules.Budget, func(d *day) { d.first.TokenBudget, d.second.TokenBudget = 8, 8 }),
	Entry(nil, tierrules.Budget, func(d *day) {
		for i := range 4 {
			r, _ := d.addPlain(fmt.Sprint("often", i), tierrules.Safe, 7000*ms)
			d.addRun(r, "i-9", "alfa")
		}
	}),

	Entry(nil, tierrules.Misrouted, func(d *day) { d.orderRun.Service = "model" }),

	Entry(nil, tierrules.Drain, func(d *day) {
		d.Departures = []tierrules.Departure{{Instance: "i-1", AckedAt: 2000 * ms, AckedBy: "m2"}}
	}),
	Entry(nil, tierrules.Drain, func(d *day) {
		d.Departures = []tierrules.Departure{{Instance: "i-7", AckedAt: 2000 * ms, AckedBy: "m2"}}
		d.Rejections = []*tierrules.Rejection{{RequestID: "read", Instance: "i-7", Status: 503, At: 5005 * ms}}
	}),

	Entry("a request cut by a stop", tierrules.Lost, func(d *day) {
		d.read.Answer = nil
		d.readRun.Began = 5000 * ms
		d.addFault("m1", tierrules.Terminated, 5050*ms, false)
	}),
	Entry("a request not forwarded during a stop", tierrules.Lost, func(d *day) {
		d.removeAnswerAndRuns(d.read)
		d.read.Ended = 5500 * ms
		d.addFault("m1", tierrules.Terminated, 5050*ms, false)
	}),
	Entry("a request cut by a stop during that of another machine", tierrules.Lost, func(d *day) {
		d.read.Answer = nil
		d.addFault("m2", tierrules.Terminated, 4900*ms, true)
		d.addFault("m1", tierrules.Terminated, 5050*ms, false)
	}),
	Entry("a request accepted long after SIGTERM and cut at the end, with its receiver at work", tierrules.Lost, func(d *day) {
		d.addFault("m1", tierrules.Terminated, 5000*ms, false)
		d.textRun.Ended, d.textRun.Complete = 8500*ms, false
		d.text.Sent, d.text.FullySent, d.text.Ended = 8100*ms, 8101*ms, 8500*ms
		d.textRun.Began = 8110 * ms
		d.text.Answer.Complete = false
	}),
	Entry("a request accepted long after SIGTERM by a process that got it twice", tierrules.Lost, func(d *day) {
		d.addFault("m1", tierrules.Terminated, 3800*ms, false)
		d.addFault("m1", tierrules.Terminated, 5000*ms, false)
		d.textRun.Ended, d.textRun.Complete = 8400*ms, false
		d.text.Sent, d.text.FullySent, d.text.Ended = 6900*ms, 6901*ms, 8400*ms
		d.textRun.Began = 6910 * ms
		d.text.Answer.Complete = false
	}),
	Entry("a request cut before the last sixth of the grace period", tierrules.Lost, func(d *day) {
		d.addFault("m1", tierrules.Terminated, 5000*ms, false)
		d.text.Timeout, d.text.Deadline = 9000*ms, 9000*ms
		d.text.Ended, d.textRun.Ended, d.textRun.Complete = 8200*ms, 8200*ms, false
		d.text.Answer.Complete = false
	}),
	Entry("a request cut after a SIGHUP", tierrules.Lost, func(d *day) {
		d.addFault("m1", tierrules.Reloaded, 4000*ms, false)
		d.read.Answer = nil
	}),
	Entry("a request not forwarded after a SIGHUP", tierrules.Lost, func(d *day) {
		d.addFault("m1", tierrules.Reloaded, 4000*ms, false)
		d.removeAnswerAndRuns(d.read)
		d.read.Ended = 5500 * ms
	}),
	Entry("a request cut near a change, and none at other times", tierrules.Lost, func(d *day) {
		d.addChange("newer", 3, 5, 5000*ms, 200, routes("alfa")...)
		d.order.Answer = nil
	}),
	Entry("a request cut near a change of unknown outcome", tierrules.Lost, func(d *day) {
		d.addChange("newer", 3, 5, 5000*ms, 0, routes("alfa")...)
		d.order.Answer = nil
	}),
	Entry("requests cut near a change over three times as often as at other times", tierrules.Lost, func(d *day) {
		d.addChange("newer", 3, 5, 5000*ms, 200, routes("alfa")...)
		d.order.Answer = nil
		d.addCut("again", 20000*ms)
		for i := range 20 {
			d.addPlain(fmt.Sprint("served", i), tierrules.Safe, 20000*ms)
		}
	}),
	Entry("four reused connections closed without an answer, at any time", tierrules.Lost, func(d *day) {
		for i := range 4 {
			d.addCut(fmt.Sprint("again", i), 20000*ms)
		}
	}),
	Entry("a turn that reaches no receiver in five attempts", tierrules.Lost, func(d *day) { d.addRefusedTurns(5) }),
	Entry("a turn that is forgotten", tierrules.Lost, func(d *day) {
		d.removeAnswerAndRuns(d.second)
		d.answerFromTier(d.second, 404)
	}),
	Entry("a turn that is not continued after a final fault", tierrules.Lost, func(d *day) {
		d.addFault("", tierrules.FinalFault, 8000*ms, true)
		d.TrafficEnd = 20 * time.Second
		for i := range 5 {
			r, _ := d.addTurn(fmt.Sprint("new", i), "", 18*time.Second, "new\n")
			r.Program = r.ID
		}
		late, _ := d.addTurn("late", "second", 15*time.Second, "late\n")
		d.removeAnswerAndRuns(late)
		d.answerFromTier(late, 503)
	}),
	Entry("an old configuration after a final fault", tierrules.Lost, func(d *day) {
		d.addChange("newer", 3, 5, 7000*ms, 200, routes("alfa")...)
		d.addFault("", tierrules.FinalFault, 8000*ms, true)
		d.ConfigReads = []tierrules.ConfigRead{{Sent: 9000 * ms, Ended: 9100 * ms, Status: 200, Version: 3, Routes: routes("alfa")}}
	}),

	Entry("the former service runs a request after the bound", tierrules.Config, func(d *day) {
		d.addChange("moved", 3, 5, 2000*ms, 200, routes("beta")...)
	}),
	Entry("a 404 although the route exists", tierrules.Config, func(d *day) {
		d.removeAnswerAndRuns(d.read)
		d.answerFromTier(d.read, 404)
	}),
	Entry("a refused change is in force", tierrules.Config, func(d *day) {
		d.addChange("refused", 3, 5, 4000*ms, 412, routes("beta")...)
		d.orderRun.Service = "beta"
	}),
	Entry("two acknowledged changes of the same version", tierrules.Config, func(d *day) {
		d.addChange("one", 3, 5, 20000*ms, 200, routes("alfa")...)
		d.addChange("two", 3, 6, 20000*ms, 200, routes("alfa")...)
	}),
	Entry("an invalid change is acknowledged", tierrules.Config, func(d *day) {
		d.addChange("invalid", 3, 5, 20000*ms, 200, routes("alfa")...).Invalid = true
	}),
	Entry("a repeated change is refused", tierrules.Config, func(d *day) {
		d.initial.Attempts = append(d.initial.Attempts, tierrules.Attempt{Sent: 7000 * ms, Ended: 7100 * ms, Status: 412})
	}),
	Entry("a machine returns to an older version", tierrules.Config, func(d *day) {
		d.addChange("moved", 3, 5, 4900*ms, 200, routes("beta")...)
		d.orderRun.Service = "beta"
		d.addPlain("again", tierrules.Unsafe, 5500*ms)
	}),
	Entry("an older version is read back", tierrules.Config, func(d *day) {
		d.addChange("newer", 3, 5, 20000*ms, 200, routes("alfa")...)
		d.ConfigReads = []tierrules.ConfigRead{{Sent: 30000 * ms, Ended: 30100 * ms, Status: 200, Version: 3, Routes: routes("alfa")}}
	}),
	Entry("a configuration that was not sent is read back", tierrules.Config, func(d *day) {
		d.ConfigReads = []tierrules.ConfigRead{{Sent: 30000 * ms, Ended: 30100 * ms, Status: 200, Version: 3, Routes: routes("beta")}}
	}),
	Entry("no configuration is read back", tierrules.Config, func(d *day) {
		d.ConfigReads = []tierrules.ConfigRead{{Sent: 30000 * ms, Ended: 30100 * ms, Last: true}}
	}),

	Entry("an event is missing", tierrules.Order, func(d *day) {
		d.text.Answer.Events = append(d.text.Answer.Events[:1], d.text.Answer.Events[2:]...)
	}),
	Entry("an event comes twice", tierrules.Order, func(d *day) { d.text.Answer.Events[1] = d.text.Answer.Events[0] }),
	Entry("a stream looks complete before its last event", tierrules.Order, func(d *day) { d.text.Answer.Events = d.text.Answer.Events[:2] }),
	Entry("an event that no receiver wrote", tierrules.Order, func(d *day) { d.text.Answer.Events[2].Data = "made up" }),
	Entry("a stream joins the events of two runs", tierrules.Order, func(d *day) {
		other := d.addRun(d.text, "i-9", "model")
		other.FinalEventID = 3
		other.Events = []tierrules.Event{{ID: 1, Data: "other 1"}, {ID: 2, Data: "other 2"}, {ID: 3, Data: "other 3"}}
		d.text.Answer.Events[2] = other.Events[2]
	}),

	Entry(nil, tierrules.Recover, func(d *day) {
		d.addFault("", tierrules.FinalFault, 8000*ms, true)
		for i := range 4 {
			d.addRequest(fmt.Sprint("after", i), tierrules.Safe, 12000*ms, "/read/1")
		}
	}),
)

var _ = Describe("A verdict", func() {
	It("lists every rule and marks the broken ones", func() {
		d := calmDay()
		d.read.StrayBytes = true
		said := tierrules.Judge(d.History).String()
		for _, rule := range tierrules.Rules {
			Expect(said).To(ContainSubstring(string(rule) + " "))
		}
		Expect(said).To(ContainSubstring("MIXED    BROKEN 1 times"))
	})
})
