package dispatch

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The rows are the sentences of the design page, in its order.
var _ = ginkgo.DescribeTable("the design on the ordinary path",
	func(check func()) { check() },

	ginkgo.Entry("slots less the running and queued last reported, less calls sent since", func() {
		s := newDriver(plain("a", 8)).warmUp(10 * ms)
		s.report("a", Report{Running: 3, Queued: 1})
		for i := range 6 {
			s.submit(RequestID(fmt.Sprint(i)))
		}
		Expect(s.sends).To(HaveLen(4))
	}),
	ginkgo.Entry("own calls sent since that have ended are given back", func() {
		s := newDriver(plain("a", 8)).warmUp(10 * ms)
		s.report("a", Report{Running: 6})
		s.advance(ms)
		for i := range 3 {
			s.submit(RequestID(fmt.Sprint(i)))
		}
		Expect(s.sends).To(HaveLen(2))
		s.complete("0", 10*ms)
		Expect(s.sends).To(HaveLen(3))
	}),
	ginkgo.Entry("own calls that the report counts and that have ended since are given back", func() {
		s := newDriver(plain("a", 2)).warmUp(10 * ms)
		s.submit("0")
		s.submit("1")
		s.advance(ms)
		s.report("a", Report{Running: 2})
		s.submit("2")
		Expect(s.sends).To(HaveLen(2))
		s.complete("0", 10*ms)
		Expect(s.sendOrder()).To(Equal([]RequestID{"0", "1", "2"}))
	}),
	ginkgo.Entry("a report of a moment ago counts only what was out then", func() {
		s := newDriver(plain("a", 3)).warmUp(10 * ms)
		s.submit("0")
		s.advance(200 * ms)
		s.submit("1")
		s.report("a", Report{Running: 1, Age: 100 * ms}) // request 1 is not in it
		s.submit("2")
		s.submit("3")
		Expect(s.sendOrder()).To(Equal([]RequestID{"0", "1", "2"}))
	}),
	ginkgo.Entry("an older report than the last is old news", func() {
		s := newDriver(plain("a", 4)).warmUp(10 * ms)
		s.report("a", Report{Running: 4, Age: 10 * ms})
		s.report("a", Report{Running: 0, Age: 200 * ms})
		s.submit("0")
		Expect(s.sends).To(BeEmpty())
	}),
	ginkgo.Entry("where no report is to be had, own calls out against slots", func() {
		s := newDriver(plain("a", 3)).warmUp(10 * ms)
		for i := range 5 {
			s.submit(RequestID(fmt.Sprint(i)))
		}
		Expect(s.sends).To(HaveLen(3))
	}),
	ginkgo.Entry("at nought, calls are held for one second when none is told, then one looks", func() {
		s := newDriver(plain("a", 4)).warmUp(10 * ms)
		s.report("a", Report{Running: 4})
		s.submit("0")
		s.submit("1")
		s.advance(time.Second - ms)
		Expect(s.sends).To(BeEmpty())
		s.advance(ms)
		Expect(s.sendOrder()).To(Equal([]RequestID{"0"}))
	}),
	ginkgo.Entry("on a told wait, calls are held until it ends", func() {
		s := newDriver(plain("a", 4)).warmUp(10 * ms)
		s.submit("0")
		s.endAttempt("0", full(300*ms))
		s.advance(300*ms - ms)
		Expect(s.sends).To(HaveLen(1))
		s.advance(20 * ms)
		Expect(s.sendOrder()).To(Equal([]RequestID{"0", "0"}))
	}),
	ginkgo.Entry("for one second when none is told", func() {
		s := newDriver(plain("a", 4)).warmUp(10 * ms)
		s.submit("0")
		s.endAttempt("0", full(0))
		s.advance(time.Second - ms)
		Expect(s.sends).To(HaveLen(1))
		s.advance(20 * ms)
		Expect(s.sends).To(HaveLen(2))
	}),
	ginkgo.Entry("a told wait binds its own bucket only", func() {
		s := newDriver(plain("a", 4), plain("b", 4)).warmUp(10 * ms)
		s.submit("0")
		s.endAttempt("0", full(time.Minute))
		Expect(s.sends).To(HaveLen(2))
		Expect(s.sends[1].Instance).NotTo(Equal(s.sends[0].Instance))
	}),
	ginkgo.Entry("until the first answer one call is out", func() {
		s := newDriver(plain("a", 4))
		s.submit("0")
		s.submit("1")
		Expect(s.sends).To(HaveLen(1))
		s.advance(5 * ms)
		s.collect(s.ResponseStarted(s.now, "0"))
		Expect(s.sends).To(HaveLen(2))
	}),
	ginkgo.Entry("and then calls in flight follow the allowance left", func() {
		s := newDriver(plain("a", 3)).warmUp(10 * ms)
		for i := range 4 {
			s.submit(RequestID(fmt.Sprint(i)))
		}
		Expect(s.sends).To(HaveLen(3))
		s.complete("1", 10*ms)
		Expect(s.sends).To(HaveLen(4))
	}),
	ginkgo.Entry("each bucket's requests go in order", func() {
		s := newDriver(plain("a", 1)).warmUp(10 * ms)
		for i := range 4 {
			s.submit(RequestID(fmt.Sprint(i)))
		}
		for i := range 4 {
			s.complete(RequestID(fmt.Sprint(i)), 10*ms)
		}
		Expect(s.sendOrder()).To(Equal([]RequestID{"0", "1", "2", "3"}))
	}),
	ginkgo.Entry("a call refused as full rejoins the head", func() {
		s := newDriver(plain("a", 1)).warmUp(10 * ms)
		s.submit("0")
		s.submit("1")
		s.submit("2")
		s.endAttempt("0", full(100*ms))
		s.advance(200 * ms)
		s.complete("0", 10*ms)
		Expect(s.sendOrder()).To(Equal([]RequestID{"0", "0", "1"}))
	}),
	ginkgo.Entry("a refusal that proves nothing ran does not count as an attempt", func() {
		s := newDriver(plain("a", 1)).warmUp(10 * ms)
		s.submit("0", kind(Unsafe, 1))
		for range 3 {
			s.endAttempt("0", full(10*ms))
			s.advance(50 * ms)
		}
		Expect(s.sends).To(HaveLen(4))
		Expect(s.refusals).To(BeEmpty())
	}),
	ginkgo.Entry("a call takes the free receiver with most allowance left", func() {
		s := newDriver(plain("a", 8), plain("b", 8)).warmUp(10 * ms)
		s.report("a", Report{Running: 6})
		s.report("b", Report{Running: 1})
		s.submit("0")
		Expect(s.lastSend("0").Instance).To(Equal(InstanceID("b")))
	}),
	ginkgo.Entry("refused with the wait where wait plus a usual call passes its deadline, on arrival", func() {
		s := newDriver(plain("a", 1)).warmUp(100 * ms)
		s.submit("0")
		s.endAttempt("0", full(400*ms))
		s.submit("1", deadline(s, 450*ms))
		Expect(s.refusal("1")).NotTo(BeNil())
		Expect(s.refusal("1").Status).To(Equal(StatusServiceUnavailable))
		Expect(s.refusal("1").RetryAfter).To(BeNumerically(">=", 400*ms))
		Expect(s.refusal("1").MayHaveRun).To(BeFalse())
		Expect(s.refusal("0")).To(BeNil())
	}),
	ginkgo.Entry("and at each release", func() {
		s := newDriver(plain("a", 1)).warmUp(100 * ms)
		s.submit("0")
		s.submit("1", deadline(s, 600*ms))
		s.advance(600*ms - 101*ms)
		s.complete("0", ms) // just too late for a usual call of 100 ms
		s.advance(ms)
		Expect(s.sendOrder()).To(Equal([]RequestID{"0"}))
		Expect(s.refusal("1")).NotTo(BeNil())
	}),
	ginkgo.Entry("the end of the process is a deadline too, of what is held and of what arrives", func() {
		s := newDriver(plain("a", 1)).warmUp(100 * ms)
		s.submit("0")
		s.submit("1", deadline(s, time.Minute))
		s.collect(s.StopBy(s.now, s.now.Add(150*ms))) // a usual call after that of 0 would end at 200 ms
		Expect(s.refusal("1")).NotTo(BeNil())
		Expect(s.refusal("1").MayHaveRun).To(BeFalse())
		s.submit("2", deadline(s, time.Minute))
		Expect(s.refusal("2")).NotTo(BeNil())
		s.complete("0", 10*ms)
		s.submit("3", deadline(s, time.Minute)) // there is time for one
		Expect(s.lastSend("3").Timeout).To(Equal(140 * ms))
		Expect(s.sendOrder()).To(Equal([]RequestID{"0", "3"}))
	}),
	ginkgo.Entry("given up is answered at once, never held near the deadline", func() {
		s := newDriver(plain("a", 1)).warmUp(100 * ms)
		s.submit("0")
		s.endAttempt("0", full(time.Minute))
		Expect(s.refusal("0")).NotTo(BeNil())
		s.submit("1")
		Expect(s.refusal("1")).NotTo(BeNil())
		Expect(s.requests).To(BeEmpty())
	}),
	ginkgo.Entry("failed in every other case: what may have run gets no promise", func() {
		s := newDriver(plain("a", 4)).warmUp(10 * ms)
		s.submit("0", kind(Unsafe, 3))
		s.submit("1", kind(Unsafe, 3))
		s.submit("2", kind(Streaming, 3))
		s.endAttempt("0", Outcome{Kind: TransportError})
		s.endAttempt("1", Outcome{Kind: TimedOut})
		s.endAttempt("2", Outcome{Kind: TransportError})
		Expect(s.sends).To(HaveLen(3))
		Expect(*s.refusal("0")).To(Equal(Refusal{Request: "0", Status: StatusBadGateway, MayHaveRun: true, Reason: Unrepeatable}))
		Expect(*s.refusal("1")).To(Equal(Refusal{Request: "1", Status: StatusGatewayTimeout, MayHaveRun: true, Reason: Unrepeatable}))
		Expect(*s.refusal("2")).To(Equal(Refusal{Request: "2", Status: StatusBadGateway, MayHaveRun: true, Reason: Unrepeatable}))
	}),
)

var _ = ginkgo.DescribeTable("what may go again",
	func(change func(*Request), o Outcome, started bool, sends int) {
		s := newDriver(plain("a", 4), plain("b", 4), plain("c", 4)).warmUp(10 * ms)
		s.submit("0", change)
		if started {
			s.collect(s.ResponseStarted(s.now, "0"))
		}
		s.endAttempt("0", o)
		Expect(s.sends).To(HaveLen(sends))
		if sends == 2 {
			Expect(s.sends[1].Instance).NotTo(Equal(s.sends[0].Instance))
			Expect(s.refusals).To(BeEmpty())
		}
	},
	ginkgo.Entry("unsafe, broken: no", kind(Unsafe, 3), Outcome{Kind: TransportError}, false, 1),
	ginkgo.Entry("unsafe, timed out: no", kind(Unsafe, 3), Outcome{Kind: TimedOut}, false, 1),
	ginkgo.Entry("unsafe, not connected: yes", kind(Unsafe, 1), Outcome{Kind: NotConnected}, false, 2),
	ginkgo.Entry("unsafe, elsewhere: yes", kind(Unsafe, 1), Outcome{Kind: Misdirected}, false, 2),
	ginkgo.Entry("unsafe, full: yes", kind(Unsafe, 1), full(time.Second), false, 2),
	ginkgo.Entry("safe, broken: yes", kind(Safe, 2), Outcome{Kind: TransportError}, false, 2),
	ginkgo.Entry("safe, timed out: yes", kind(Safe, 2), Outcome{Kind: TimedOut}, false, 2),
	ginkgo.Entry("safe, broken, with one attempt: no", kind(Safe, 1), Outcome{Kind: TransportError}, false, 1),
	ginkgo.Entry("safe, broken after part of the answer went: no", kind(Safe, 2), Outcome{Kind: TransportError}, true, 1),
	ginkgo.Entry("stream, broken: no", kind(Streaming, 2), Outcome{Kind: TransportError}, false, 1),
	ginkgo.Entry("resumable stream, broken: yes", resumable, Outcome{Kind: TransportError}, false, 2),
	ginkgo.Entry("resumable stream, broken midway: yes", resumable, Outcome{Kind: TransportError}, true, 2),
	ginkgo.Entry("an error answer is the answer", kind(Safe, 2), Outcome{Kind: ErrorResponse}, false, 1),
	ginkgo.Entry("called off: no", kind(Safe, 2), Outcome{Kind: Cancelled}, false, 1),
)

var _ = ginkgo.Describe("receivers", func() {
	ginkgo.It("never get a request while they drain, or of another service", func() {
		s := newDriver(plain("a", 4, draining), plain("b", 4, func(r *Receiver) { r.Service = "other" }))
		s.submit("0")
		Expect(s.sends).To(BeEmpty())
		Expect(s.refusal("0")).NotTo(BeNil())
	})
	ginkgo.It("that begin to drain get nothing of what is held", func() {
		s := newDriver(plain("a", 1)).warmUp(10 * ms)
		s.submit("0")
		s.submit("1")
		s.setReceivers(plain("a", 1, draining), plain("b", 1))
		Expect(s.lastSend("1").Instance).To(Equal(InstanceID("b")))
		s.submit("2")
		s.complete("0", 10*ms)
		Expect(s.sendOrder()).To(Equal([]RequestID{"0", "1"}))
	})
	ginkgo.It("that are not known yet are waited for as long as it costs nothing", func() {
		s := newDriver()
		s.submit("0", objective(200*ms))
		s.submit("1", objective(200*ms))
		s.advance(40 * ms)
		s.setReceivers(plain("a", 4))
		Expect(s.sendOrder()).To(Equal([]RequestID{"0"}))
		s.setReceivers()
		s.advance(50 * ms)
		Expect(s.refusal("1").Status).To(Equal(StatusServiceUnavailable))
		Expect(s.refusal("1").RetryAfter).To(BeNumerically(">=", time.Second))
	})
	ginkgo.It("that are silent are the last choice", func() {
		s := newDriver(plain("a", 1, silent), plain("b", 1), plain("c", 1)).warmUp(10 * ms)
		s.setReceivers(plain("a", 9, silent), plain("b", 1), plain("c", 1))
		s.submit("0")
		s.submit("1")
		s.submit("2")
		Expect(s.sends).To(HaveLen(2))
		Expect(s.sends).NotTo(ContainElement(HaveField("Instance", InstanceID("a"))))
	})
	ginkgo.It("that are all silent are used as if they were not", func() {
		s := newDriver(plain("a", 3, silent), plain("b", 3, silent)).warmUp(10 * ms)
		for i := range 7 {
			s.submit(RequestID(fmt.Sprint(i)))
		}
		Expect(s.sends).To(HaveLen(6))
	})
	ginkgo.It("of whom another instance has the address get nothing until the list moves them", func() {
		s := newDriver(plain("a", 1)).warmUp(10 * ms)
		s.submit("0", objective(2*time.Second))
		s.endAttempt("0", Outcome{Kind: Misdirected})
		s.setReceivers(plain("a", 1))
		Expect(s.sends).To(HaveLen(1))
		s.setReceivers(plain("a", 1, func(r *Receiver) { r.Address = "10.0.0.2:1" }))
		Expect(s.lastSend("0").Address).To(Equal("10.0.0.2:1"))
	})
	ginkgo.It("that are listed again are bound by the wait that they told", func() {
		s := newDriver(plain("a", 2)).warmUp(10 * ms)
		s.submit("0")
		s.endAttempt("0", full(300*ms))
		s.setReceivers()
		s.setReceivers(plain("a", 2))
		s.submit("1")
		Expect(s.sends).To(HaveLen(1))
		s.advance(400 * ms)
		s.setReceivers()
		Expect(s.endpoints).To(HaveLen(1)) // its call is out
		s.complete("0", 10*ms)
		s.complete("1", 10*ms)
		s.advance(time.Second)
		s.setReceivers()
		Expect(s.endpoints).To(BeEmpty())
	})
	ginkgo.It("that are listed again are not asked for a second run", func() {
		s := newDriver(plain("a", 1)).warmUp(10 * ms)
		s.submit("0", kind(Safe, 2), objective(time.Second))
		s.setReceivers(plain("b", 1, draining))
		s.endAttempt("0", Outcome{Kind: TransportError})
		s.advance(100 * ms)
		s.setReceivers(plain("b", 1, draining)) // a is forgotten
		s.setReceivers(plain("a", 1), plain("b", 1, draining))
		Expect(s.sends).To(HaveLen(1))
		Expect(s.refusal("0").MayHaveRun).To(BeTrue())
	})
	ginkgo.It("rest after two failures in a row, longer each time, and come back with one call", func() {
		s := newDriver(plain("a", 4), plain("b", 4), plain("c", 4)).warmUp(10 * ms)
		e := s.endpoints["a"]
		backoffs := []time.Duration{}
		for range 4 {
			e.recordFailure(s.now, 0.5)
			backoffs = append(backoffs, max(0, e.backoffUntil.Sub(s.now)))
		}
		Expect(backoffs).To(Equal([]time.Duration{0, 500 * ms, time.Second, 2 * time.Second}))
		for i := range 9 {
			s.submit(RequestID(fmt.Sprint(i)))
		}
		Expect(s.sends).NotTo(ContainElement(HaveField("Instance", InstanceID("a"))))
		Expect(s.sends).To(HaveLen(8))
		s.advance(2 * time.Second)
		s.submit("9")
		toA := 0
		for _, send := range s.sends {
			if send.Instance == "a" {
				toA++
			}
		}
		Expect(toA).To(Equal(1))
	})
	ginkgo.It("of which all rest are tried, the least bad, with one call at a time", func() {
		s := newDriver(plain("a", 4), plain("b", 4)).warmUp(10 * ms)
		for range 4 {
			s.endpoints["a"].recordFailure(s.now, 0.5)
			s.endpoints["b"].recordFailure(s.now, 0.5)
		}
		for i := range 5 {
			s.submit(RequestID(fmt.Sprint(i)))
		}
		Expect(s.sends).To(HaveLen(2))
	})
	ginkgo.It("that answer others are crowded, not failing, when one connection is not made", func() {
		s := newDriver(plain("a", 4)).warmUp(10 * ms)
		for i := range 3 {
			s.submit(RequestID(fmt.Sprint(i)))
		}
		s.complete("2", 10*ms)
		s.endAttempt("0", Outcome{Kind: NotConnected})
		s.endAttempt("1", Outcome{Kind: NotConnected})
		Expect(s.endpoints["a"].consecutiveFailures).To(BeZero())
	})
	ginkgo.It("that answer with failures are avoided while others do not", func() {
		s := newDriver(plain("a", 9), plain("b", 9)).warmUp(10 * ms)
		failing := s.endpoints["a"]
		for range 5 {
			failing.recordError(s.now)
		}
		for i := range 9 {
			s.submit(RequestID(fmt.Sprint(i)))
		}
		Expect(s.sends).To(HaveEach(HaveField("Instance", InstanceID("b"))))
	})
	ginkgo.It("are used up to a learned number of calls after a refusal that no report explains", func() {
		s := newDriver(plain("a", 8)).warmUp(10 * ms)
		for i := range 8 {
			s.submit(RequestID(fmt.Sprint(i)))
		}
		s.endAttempt("7", full(10*ms))
		s.endAttempt("6", full(10*ms)) // of the same moment: counts once
		Expect(s.endpoints["a"].window).To(BeNumerically("==", 4))
	})
})

var _ = ginkgo.Describe("the ends of requests", func() {
	ginkgo.It("withdraws what is held", func() {
		s := newDriver(plain("a", 1)).warmUp(10 * ms)
		s.submit("0")
		s.submit("1")
		s.collect(s.Cancel(s.now, "1"))
		s.complete("0", 10*ms)
		Expect(s.sendOrder()).To(Equal([]RequestID{"0"}))
		Expect(s.requests).To(BeEmpty())
	})
	ginkgo.It("keeps the place of a withdrawn call until its end is told", func() {
		s := newDriver(plain("a", 1)).warmUp(10 * ms)
		s.submit("0")
		s.submit("1")
		s.collect(s.Cancel(s.now, "0"))
		Expect(s.sends).To(HaveLen(1))
		s.endAttempt("0", Outcome{Kind: Cancelled})
		Expect(s.sendOrder()).To(Equal([]RequestID{"0", "1"}))
		Expect(s.refusals).To(BeEmpty())
	})
	ginkgo.It("drops news of an attempt that is not the one out", func() {
		s := newDriver(plain("a", 4)).warmUp(10 * ms)
		s.submit("0", kind(Safe, 3))
		s.collect(s.AttemptEnded(s.now, "0", 2, Outcome{Kind: TransportError}))
		s.collect(s.AttemptEnded(s.now, "unknown", 1, Outcome{Kind: TransportError}))
		Expect(s.sends).To(HaveLen(1))
		Expect(s.refusals).To(BeEmpty())
	})
	ginkgo.It("takes the end of a call to a receiver that is listed no more", func() {
		s := newDriver(plain("a", 1)).warmUp(10 * ms)
		s.submit("0")
		s.setReceivers()
		s.complete("0", 10*ms)
		Expect(s.requests).To(BeEmpty())
		s.setReceivers()
		Expect(s.services).To(BeEmpty())
	})
	ginkgo.It("stops on a second request of an unfinished id", func() {
		s := newDriver(plain("a", 1))
		s.submit("0")
		Expect(func() { s.submit("0") }).To(PanicWith(ContainSubstring("unfinished")))
	})
	ginkgo.It("gives a call the time that the request has, or less where another receiver may follow a silent one", func() {
		s := newDriver(plain("a", 4), plain("b", 4)).warmUp(100 * ms)
		s.submit("0", kind(Unsafe, 3))
		s.submit("1", kind(Safe, 2))
		s.submit("2", kind(Safe, 2), func(r *Request) { r.Timeout = time.Second })
		Expect(s.lastSend("0").Timeout).To(Equal(5 * time.Second))
		Expect(s.lastSend("1").Timeout).To(BeNumerically("~", 1500*ms, ms))
		Expect(s.lastSend("2").Timeout).To(Equal(time.Second))
	})
	ginkgo.It("makes a wake good that another event comes after", func() {
		s := newDriver(plain("a", 4), plain("b", 4, func(r *Receiver) { r.Service = "other" })).warmUp(10 * ms)
		s.report("a", Report{Running: 4})
		s.submit("0")
		s.now = s.wakeAt.Add(time.Millisecond) // the tick is late
		s.collect(s.Submit(s.now, Request{ID: "x", Service: "other", Deadline: s.now.Add(time.Second)}))
		Expect(s.sendOrder()).To(ContainElement(RequestID("0")))
	})
})
