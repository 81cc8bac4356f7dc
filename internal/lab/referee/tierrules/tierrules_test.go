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
	RunSpecs(t, "Referee of the tier")
}

const ms = time.Millisecond

// day is a calm one that keeps all rules: a few requests of each kind, one configuration, one program of two turns. Its
// parts are named so that tables can spoil them.
type day struct {
	*tierrules.History
	read, order, text, first, second                *tierrules.Request
	readRun, orderRun, textRun, firstRun, secondRun *tierrules.Run
	initial                                         *tierrules.ConfigChange
}

func calm() *day {
	d := &day{History: &tierrules.History{
		Bounds: tierrules.Bounds{Contact: 2000 * ms, Drain: 1000 * ms, Grace: 4000 * ms, LossSlack: 200 * ms, ConfigApply: 1000 * ms,
			RollbackSlack: 250 * ms, Recovery: 3000 * ms, Ack: 4000 * ms},
		TrafficEnd:    60 * time.Second,
		ProcessStarts: []tierrules.ProcessStart{{Machine: "m1"}, {Machine: "m2"}},
	}}
	d.initial = d.change("initial", 0, 3, 100*ms, http.StatusOK, routes("alfa")...)
	d.read, d.readRun = d.plain("read", tierrules.Safe, 5000*ms)
	d.order, d.orderRun = d.plain("order", tierrules.Unsafe, 5100*ms)
	d.text, d.textRun = d.stream("text", 5200*ms, 3)
	d.text.Resumable = true
	d.first, d.firstRun = d.turn("first", "", 5300*ms, "one\n")
	d.second, d.secondRun = d.turn("second", "first", 6000*ms, "two\n")
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

// change adds one that was answered so 50 ms after it was sent.
func (d *day) change(name string, base, version uint64, sent time.Duration, status int, list ...tierrules.Route) *tierrules.ConfigChange {
	c := &tierrules.ConfigChange{Name: name, BaseVersion: base, Version: version, Body: []byte(name), Routes: list,
		Attempts: []tierrules.Attempt{{Sent: sent, Ended: sent + 50*ms, Status: status}}}
	d.ConfigChanges = append(d.ConfigChanges, c)
	return c
}

func (d *day) request(id string, kind tierrules.RouteKind, sent time.Duration, path string) *tierrules.Request {
	r := &tierrules.Request{ID: id, Machine: "m1", Class: id, Kind: kind, Authority: "h", Target: path, Method: "POST", Body: []byte("body"),
		Deadline: 2000 * ms, Timeout: 2000 * ms, MaxAttempts: 1, Sent: sent, FullySent: sent + ms, Ended: sent + 100*ms}
	d.Requests = append(d.Requests, r)
	return r
}

func (d *day) run(r *tierrules.Request, instance, service string) *tierrules.Run {
	run := &tierrules.Run{RequestID: r.ID, Instance: instance, Service: service, Authority: "h", Target: r.Target, Method: r.Method,
		Body: r.Body, Began: r.Sent + 10*ms, Ended: r.Sent + 90*ms, Status: 200, Stamp: "stamp " + r.ID + instance, Answer: []byte("answer"), Complete: true}
	d.Runs = append(d.Runs, run)
	return run
}

func (d *day) plain(id string, kind tierrules.RouteKind, sent time.Duration) (*tierrules.Request, *tierrules.Run) {
	r := d.request(id, kind, sent, "/"+string(map[tierrules.RouteKind]string{tierrules.Safe: "read", tierrules.Unsafe: "order"}[kind])+"/1")
	run := d.run(r, "i-1", "alfa")
	r.Answer = &tierrules.Answer{Status: 200, Stamp: run.Stamp, RequestID: id, Body: []byte("answer"), Complete: true}
	return r, run
}

func (d *day) stream(id string, sent time.Duration, pieces int) (*tierrules.Request, *tierrules.Run) {
	r := d.request(id, tierrules.Streaming, sent, "/text/1")
	run := d.run(r, "i-2", "model")
	run.Answer, run.FinalEventID = nil, uint64(pieces)
	for n := range pieces {
		run.Events = append(run.Events, tierrules.Event{ID: uint64(n + 1), Data: fmt.Sprintf("%s piece %d", id, n+1), At: sent + 20*ms})
	}
	r.Answer = &tierrules.Answer{Status: 200, Stamp: run.Stamp, RequestID: id, Events: append([]tierrules.Event(nil), run.Events...), Complete: true}
	return r, run
}

func (d *day) turn(id, previous string, sent time.Duration, input string) (*tierrules.Request, *tierrules.Run) {
	r, run := d.stream(id, sent, 3)
	r.Target, run.Target = "/turn/1", "/turn/1"
	r.Retained, r.Retention, r.Previous = true, 60*time.Second, previous
	r.Program, r.TokenBudget, r.MaxTokens, r.TokensPerEvent = "p", 30, 9, 3
	r.Body, run.Body = []byte(input), []byte(input)
	return r, run
}

// unanswered takes a request's answer and runs away.
func (d *day) unanswered(r *tierrules.Request) {
	r.Answer = nil
	d.withoutRuns(r)
}

// cutAgain adds a request from a kept connection that is passed on, and whose connection is closed without an answer.
func (d *day) cutAgain(id string, sent time.Duration) {
	r, _ := d.plain(id, tierrules.Safe, sent)
	r.Answer, r.ReusedConnection = nil, true
}

// refusedAgain adds a turn that continues another and is refused so many times, beside first turns that are served.
func (d *day) refusedAgain(times int) {
	for i := range 10 {
		first, _ := d.turn(fmt.Sprint("first", i), "", 7000*ms+time.Duration(i)*50*ms, "new\n")
		first.Program = first.ID
	}
	for i := range times {
		r, _ := d.turn(fmt.Sprint("again", i), "second", 7000*ms+time.Duration(i)*100*ms, "three\n")
		d.unanswered(r)
		d.answered(r, 503)
	}
}

// requests finds the request of a numbered id.
func (d *day) requests(id string, no int) *tierrules.Request {
	for _, r := range d.Requests {
		if r.ID == fmt.Sprint(id, no) {
			return r
		}
	}
	return nil
}

func (d *day) withoutRuns(r *tierrules.Request) {
	var kept []*tierrules.Run
	for _, run := range d.Runs {
		if run.RequestID != r.ID {
			kept = append(kept, run)
		}
	}
	d.Runs = kept
}

// answered gives a request an answer of the tier's own.
func (d *day) answered(r *tierrules.Request, status int) {
	r.Answer = &tierrules.Answer{Status: status, Complete: true}
}

// strike is a trouble of a machine for 100 ms.
func (d *day) strike(machine string, what tierrules.FaultKind, from time.Duration, core bool) {
	d.Faults = append(d.Faults, tierrules.Fault{Machine: machine, Kind: what, From: from, To: from + 100*ms, Core: core})
}

func expectRules(d *day, rules ...tierrules.Rule) {
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

var _ = DescribeTable("What keeps the rules", func(change func(d *day)) {
	d := calm()
	change(d)
	expectRules(d)
},
	Entry("a calm day", func(*day) {}),
	Entry("a receiver's own failure, passed on", func(d *day) {
		d.orderRun.Status, d.order.Answer.Status = 500, 500
	}),
	Entry("a refusal of what did not run", func(d *day) {
		d.unanswered(d.order)
		d.answered(d.order, 503)
	}),
	Entry("a safe request that ran twice", func(d *day) { d.run(d.read, "i-9", "alfa") }),
	Entry("a stream taken up by another receiver where it had come to", func(d *day) {
		other := d.run(d.text, "i-9", "model")
		other.ResumedAfter, other.FinalEventID = 1, 3
		other.Events = []tierrules.Event{{ID: 2, Data: "other 2"}, {ID: 3, Data: "other 3"}}
		copy(d.text.Answer.Events[1:], other.Events)
	}),
	Entry("a stream that is cut short and does not look complete", func(d *day) {
		d.text.Answer.Complete = false
		d.text.Answer.Events = d.text.Answer.Events[:1]
	}),
	Entry("a race that one operator loses", func(d *day) {
		d.change("one", 3, 5, 9000*ms, 200, routes("beta")...)
		d.change("two", 3, 5, 9000*ms, 412, routes("gamma")...)
	}),
	Entry("the old service within the bound", func(d *day) {
		d.change("moved", 3, 5, 4500*ms, 200, routes("beta")...)
	}),
	Entry("the old service at a machine that is not in touch", func(d *day) {
		d.change("moved", 3, 5, 2000*ms, 200, routes("beta")...)
		d.strike("m1", tierrules.Killed, 3500*ms, false)
	}),
	Entry("a 404 where the route may be gone", func(d *day) {
		d.change("removed", 3, 5, 4900*ms, 0, routes("alfa")[1:]...)
		d.unanswered(d.read)
		d.answered(d.read, 404)
	}),
	Entry("a request to a draining receiver within the bound", func(d *day) {
		d.Departures = []tierrules.Departure{{Instance: "i-1", AckedAt: 4500 * ms, AckedBy: "m2"}}
	}),
	Entry("a cut at a kill, which nobody planned", func(d *day) {
		d.read.Answer = nil
		d.strike("m1", tierrules.Killed, 5000*ms, false)
	}),
	Entry("cut at the end of a stop, taken early and its receiver at work to the last", func(d *day) {
		d.strike("m1", tierrules.Terminated, 5000*ms, false)
		d.text.Timeout, d.text.Deadline = 9000*ms, 9000*ms
		d.text.Ended, d.textRun.Ended, d.textRun.Complete = 8500*ms, 8500*ms, false
		d.text.Answer.Complete = false
	}),
	Entry("cut after a SIGHUP that its request came long after", func(d *day) {
		d.strike("m1", tierrules.Reloaded, 3000*ms, false)
		d.read.Answer = nil
	}),
	Entry("cut beside a change, and no oftener than at other times", func(d *day) {
		d.change("newer", 3, 5, 5000*ms, 200, routes("alfa")...)
		d.order.Answer = nil
		d.cutAgain("again", 20000*ms)
	}),
	Entry("cut beside a change that was refused", func(d *day) {
		d.change("refused", 3, 5, 5000*ms, 412, routes("alfa")...)
		d.order.Answer = nil
	}),
	Entry("cut beside a change after seven tenths of its time", func(d *day) {
		d.change("newer", 3, 5, 5000*ms, 200, routes("alfa")...)
		d.order.Answer = nil
		d.order.Ended = d.order.Sent + 1401*ms
	}),
	Entry("cut beside a change at the end of the time that a newer configuration gives its route", func(d *day) {
		list := routes("alfa")
		list[1].Timeout = 90 * ms
		d.change("newer", 3, 5, 5000*ms, 200, list...)
		d.order.Answer = nil
	}),
	Entry("cut beside a change by a receiver that crashed", func(d *day) {
		d.change("newer", 3, 5, 5000*ms, 200, routes("alfa")...)
		d.order.Answer = nil
		d.Crashes = []tierrules.Crash{{Instance: "i-1", At: d.order.Ended}}
	}),
	Entry("three requests from kept connections closed without an answer", func(d *day) {
		for i := range 3 {
			d.cutAgain(fmt.Sprint("again", i), 20000*ms)
		}
	}),
	Entry("a turn that reaches no receiver in four tries", func(d *day) { d.refusedAgain(4) }),
	Entry("a turn that reaches no receiver while they are half full", func(d *day) {
		d.refusedAgain(5)
		d.Loads = []tierrules.Load{{At: 7100 * ms, InUse: 8, Slots: 16}}
	}),
	Entry("a turn that reaches no receiver, as first ones do not", func(d *day) {
		d.refusedAgain(5)
		for i := range 2 {
			first := d.requests("first", i)
			d.unanswered(first)
			d.answered(first, 503)
		}
	}),
	Entry("a turn that reaches no receiver by its program's aim", func(d *day) {
		d.refusedAgain(5)
		for _, r := range d.Requests {
			r.ProgramDeadline = 7450 * ms
		}
	}),
	Entry("cut during the stop of another process of the machine", func(d *day) {
		d.strike("m1", tierrules.Terminated, 5050*ms, false)
		d.Faults[0].OtherProcess = true
		d.read.Answer = nil
		d.readRun.Began = 5000 * ms
	}),
	Entry("cut at the end of a stop, its receiver at work, by a process that was started after an earlier stop", func(d *day) {
		d.strike("m1", tierrules.Terminated, 3800*ms, false)
		d.ProcessStarts = append(d.ProcessStarts, tierrules.ProcessStart{Machine: "m1", At: 4500 * ms})
		d.strike("m1", tierrules.Terminated, 5000*ms, false)
		d.textRun.Ended, d.textRun.Complete = 8400*ms, false
		d.text.Sent, d.text.FullySent, d.text.Ended = 6900*ms, 6901*ms, 8400*ms
		d.textRun.Began = 6910 * ms
		d.text.Answer.Complete = false
	}),
	Entry("a 404 to a turn that is beyond its retention", func(d *day) {
		d.unanswered(d.second)
		d.answered(d.second, 404)
		d.first.Retention = 500 * ms
	}),
	Entry("a program that ends by its budget", func(d *day) {
		d.unanswered(d.second)
		d.answered(d.second, 402)
	}),
)

var _ = DescribeTable("What breaks a rule", func(rule tierrules.Rule, change func(d *day)) {
	d := calm()
	change(d)
	expectRules(d, rule)
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
		d.run(&tierrules.Request{ID: "smuggled", Target: "/read/1", Method: "POST"}, "i-1", "alfa")
	}),
	Entry(nil, tierrules.Unasked, func(d *day) { d.secondRun.Body = []byte("two\n") }),
	Entry(nil, tierrules.Unasked, func(d *day) { d.second.Previous = "nothing" }),
	Entry(nil, tierrules.Unasked, func(d *day) { d.firstRun.Body = []byte("one\none\n") }),

	Entry(nil, tierrules.Twice, func(d *day) { d.run(d.order, "i-1", "alfa") }),
	Entry(nil, tierrules.Twice, func(d *day) {
		run := d.run(d.second, "i-9", "model")
		run.Body = d.secondRun.Body
	}),

	Entry(nil, tierrules.Refused, func(d *day) { d.answered(d.order, 503) }),
	Entry(nil, tierrules.Refused, func(d *day) { d.answered(d.order, 408) }),
	Entry(nil, tierrules.Refused, func(d *day) { d.answered(d.second, 402) }),

	Entry(nil, tierrules.Denied, func(d *day) {
		for i := range 7 {
			d.answered(d.request(fmt.Sprint("denied", i), tierrules.Safe, 7000*ms, "/read/1"), 400)
		}
	}),

	Entry(nil, tierrules.Budget, func(d *day) { d.first.TokenBudget, d.second.TokenBudget = 8, 8 }),
	Entry(nil, tierrules.Budget, func(d *day) {
		for i := range 4 {
			r, _ := d.plain(fmt.Sprint("often", i), tierrules.Safe, 7000*ms)
			d.run(r, "i-9", "alfa")
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

	Entry("cut by a stop", tierrules.Lost, func(d *day) {
		d.read.Answer = nil
		d.readRun.Began = 5000 * ms
		d.strike("m1", tierrules.Terminated, 5050*ms, false)
	}),
	Entry("never passed on at a stop", tierrules.Lost, func(d *day) {
		d.unanswered(d.read)
		d.read.Ended = 5500 * ms
		d.strike("m1", tierrules.Terminated, 5050*ms, false)
	}),
	Entry("cut by a stop, beside that of another machine", tierrules.Lost, func(d *day) {
		d.read.Answer = nil
		d.strike("m2", tierrules.Terminated, 4900*ms, true)
		d.strike("m1", tierrules.Terminated, 5050*ms, false)
	}),
	Entry("taken long after SIGTERM and cut at the end, its receiver at work", tierrules.Lost, func(d *day) {
		d.strike("m1", tierrules.Terminated, 5000*ms, false)
		d.textRun.Ended, d.textRun.Complete = 8500*ms, false
		d.text.Sent, d.text.FullySent, d.text.Ended = 8100*ms, 8101*ms, 8500*ms
		d.textRun.Began = 8110 * ms
		d.text.Answer.Complete = false
	}),
	Entry("taken long after SIGTERM by a process that was told to stop twice", tierrules.Lost, func(d *day) {
		d.strike("m1", tierrules.Terminated, 3800*ms, false)
		d.strike("m1", tierrules.Terminated, 5000*ms, false)
		d.textRun.Ended, d.textRun.Complete = 8400*ms, false
		d.text.Sent, d.text.FullySent, d.text.Ended = 6900*ms, 6901*ms, 8400*ms
		d.textRun.Began = 6910 * ms
		d.text.Answer.Complete = false
	}),
	Entry("cut before the last sixth of the grace", tierrules.Lost, func(d *day) {
		d.strike("m1", tierrules.Terminated, 5000*ms, false)
		d.text.Timeout, d.text.Deadline = 9000*ms, 9000*ms
		d.text.Ended, d.textRun.Ended, d.textRun.Complete = 8200*ms, 8200*ms, false
		d.text.Answer.Complete = false
	}),
	Entry("cut after a SIGHUP", tierrules.Lost, func(d *day) {
		d.strike("m1", tierrules.Reloaded, 4000*ms, false)
		d.read.Answer = nil
	}),
	Entry("never passed on after a SIGHUP", tierrules.Lost, func(d *day) {
		d.strike("m1", tierrules.Reloaded, 4000*ms, false)
		d.unanswered(d.read)
		d.read.Ended = 5500 * ms
	}),
	Entry("cut beside a change, at other times never", tierrules.Lost, func(d *day) {
		d.change("newer", 3, 5, 5000*ms, 200, routes("alfa")...)
		d.order.Answer = nil
	}),
	Entry("cut beside a change whose fate is open", tierrules.Lost, func(d *day) {
		d.change("newer", 3, 5, 5000*ms, 0, routes("alfa")...)
		d.order.Answer = nil
	}),
	Entry("cut beside a change over three times as often as at other times", tierrules.Lost, func(d *day) {
		d.change("newer", 3, 5, 5000*ms, 200, routes("alfa")...)
		d.order.Answer = nil
		d.cutAgain("again", 20000*ms)
		for i := range 20 {
			d.plain(fmt.Sprint("served", i), tierrules.Safe, 20000*ms)
		}
	}),
	Entry("four requests from kept connections closed without an answer, at any time", tierrules.Lost, func(d *day) {
		for i := range 4 {
			d.cutAgain(fmt.Sprint("again", i), 20000*ms)
		}
	}),
	Entry("a turn that reaches no receiver in five tries", tierrules.Lost, func(d *day) { d.refusedAgain(5) }),
	Entry("a turn that is forgotten", tierrules.Lost, func(d *day) {
		d.unanswered(d.second)
		d.answered(d.second, 404)
	}),
	Entry("a turn that is not continued after a final fault", tierrules.Lost, func(d *day) {
		d.strike("", tierrules.FinalFault, 8000*ms, true)
		d.TrafficEnd = 20 * time.Second
		for i := range 5 {
			r, _ := d.turn(fmt.Sprint("new", i), "", 18*time.Second, "new\n")
			r.Program = r.ID
		}
		late, _ := d.turn("late", "second", 15*time.Second, "late\n")
		d.unanswered(late)
		d.answered(late, 503)
	}),
	Entry("an old configuration after a final fault", tierrules.Lost, func(d *day) {
		d.change("newer", 3, 5, 7000*ms, 200, routes("alfa")...)
		d.strike("", tierrules.FinalFault, 8000*ms, true)
		d.ConfigReads = []tierrules.ConfigRead{{Sent: 9000 * ms, Ended: 9100 * ms, Status: 200, Version: 3, Routes: routes("alfa")}}
	}),

	Entry("the old service runs it after the bound", tierrules.Config, func(d *day) {
		d.change("moved", 3, 5, 2000*ms, 200, routes("beta")...)
	}),
	Entry("404 though the route is there", tierrules.Config, func(d *day) {
		d.unanswered(d.read)
		d.answered(d.read, 404)
	}),
	Entry("what was refused is in force", tierrules.Config, func(d *day) {
		d.change("refused", 3, 5, 4000*ms, 412, routes("beta")...)
		d.orderRun.Service = "beta"
	}),
	Entry("two on top of the same version", tierrules.Config, func(d *day) {
		d.change("one", 3, 5, 20000*ms, 200, routes("alfa")...)
		d.change("two", 3, 6, 20000*ms, 200, routes("alfa")...)
	}),
	Entry("an invalid one is acknowledged", tierrules.Config, func(d *day) {
		d.change("invalid", 3, 5, 20000*ms, 200, routes("alfa")...).Invalid = true
	}),
	Entry("a repeat is refused", tierrules.Config, func(d *day) {
		d.initial.Attempts = append(d.initial.Attempts, tierrules.Attempt{Sent: 7000 * ms, Ended: 7100 * ms, Status: 412})
	}),
	Entry("a machine goes back", tierrules.Config, func(d *day) {
		d.change("moved", 3, 5, 4900*ms, 200, routes("beta")...)
		d.orderRun.Service = "beta"
		d.plain("again", tierrules.Unsafe, 5500*ms)
	}),
	Entry("an old one is read back", tierrules.Config, func(d *day) {
		d.change("newer", 3, 5, 20000*ms, 200, routes("alfa")...)
		d.ConfigReads = []tierrules.ConfigRead{{Sent: 30000 * ms, Ended: 30100 * ms, Status: 200, Version: 3, Routes: routes("alfa")}}
	}),
	Entry("another one is read back", tierrules.Config, func(d *day) {
		d.ConfigReads = []tierrules.ConfigRead{{Sent: 30000 * ms, Ended: 30100 * ms, Status: 200, Version: 3, Routes: routes("beta")}}
	}),
	Entry("none is read back", tierrules.Config, func(d *day) {
		d.ConfigReads = []tierrules.ConfigRead{{Sent: 30000 * ms, Ended: 30100 * ms, Last: true}}
	}),

	Entry("a piece is missing", tierrules.Order, func(d *day) {
		d.text.Answer.Events = append(d.text.Answer.Events[:1], d.text.Answer.Events[2:]...)
	}),
	Entry("a piece comes twice", tierrules.Order, func(d *day) { d.text.Answer.Events[1] = d.text.Answer.Events[0] }),
	Entry("it ends as complete too early", tierrules.Order, func(d *day) { d.text.Answer.Events = d.text.Answer.Events[:2] }),
	Entry("a piece that no receiver gave", tierrules.Order, func(d *day) { d.text.Answer.Events[2].Data = "made up" }),
	Entry("it joins two runs", tierrules.Order, func(d *day) {
		other := d.run(d.text, "i-9", "model")
		other.FinalEventID = 3
		other.Events = []tierrules.Event{{ID: 1, Data: "other 1"}, {ID: 2, Data: "other 2"}, {ID: 3, Data: "other 3"}}
		d.text.Answer.Events[2] = other.Events[2]
	}),

	Entry(nil, tierrules.Recover, func(d *day) {
		d.strike("", tierrules.FinalFault, 8000*ms, true)
		for i := range 4 {
			d.request(fmt.Sprint("after", i), tierrules.Safe, 12000*ms, "/read/1")
		}
	}),
)

var _ = Describe("A verdict", func() {
	It("names every rule once, and says which are broken", func() {
		d := calm()
		d.read.StrayBytes = true
		said := tierrules.Judge(d.History).String()
		for _, rule := range tierrules.Rules {
			Expect(said).To(ContainSubstring(string(rule) + " "))
		}
		Expect(said).To(ContainSubstring("MIXED    BROKEN 1 times"))
	})
})
