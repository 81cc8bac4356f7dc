package dispatch

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The entries follow the sentences of the design page, in its order.
var _ = ginkgo.DescribeTable("the specified rules",
	func(check func()) { check() },

	ginkgo.Entry("allowance: slots minus the load last reported and the calls sent since", func() {
		s := newDriver(plain("a", 8)).warmUp(10 * ms)
		s.report("a", Report{Running: 3, Queued: 1})
		for i := range 6 {
			s.submit(RequestID(fmt.Sprint(i)))
		}
		Expect(s.sends).To(HaveLen(4))
	}),
	ginkgo.Entry("allowance: calls sent since the report are added back when they end", func() {
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
	ginkgo.Entry("allowance: calls counted in the report are added back when they end", func() {
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
	ginkgo.Entry("a delayed report counts only the calls that were in flight at its time", func() {
		s := newDriver(plain("a", 3)).warmUp(10 * ms)
		s.submit("0")
		s.advance(200 * ms)
		s.submit("1")
		s.report("a", Report{Running: 1, Age: 100 * ms}) // does not count request 1
		s.submit("2")
		s.submit("3")
		Expect(s.sendOrder()).To(Equal([]RequestID{"0", "1", "2"}))
	}),
	ginkgo.Entry("a report older than the last one is ignored", func() {
		s := newDriver(plain("a", 4)).warmUp(10 * ms)
		s.report("a", Report{Running: 4, Age: 10 * ms})
		s.report("a", Report{Running: 0, Age: 200 * ms})
		s.submit("0")
		Expect(s.sends).To(BeEmpty())
	}),
	ginkgo.Entry("allowance without a report: slots minus own calls in flight", func() {
		s := newDriver(plain("a", 3)).warmUp(10 * ms)
		for i := range 5 {
			s.submit(RequestID(fmt.Sprint(i)))
		}
		Expect(s.sends).To(HaveLen(3))
	}),
	ginkgo.Entry("without allowance, calls wait for one second, then one call probes the receiver", func() {
		s := newDriver(plain("a", 4)).warmUp(10 * ms)
		s.report("a", Report{Running: 4})
		s.submit("0")
		s.submit("1")
		s.advance(time.Second - ms)
		Expect(s.sends).To(BeEmpty())
		s.advance(ms)
		Expect(s.sendOrder()).To(Equal([]RequestID{"0"}))
	}),
	ginkgo.Entry("calls wait until the Retry-After has passed", func() {
		s := newDriver(plain("a", 4)).warmUp(10 * ms)
		s.submit("0")
		s.endAttempt("0", full(300*ms))
		s.advance(300*ms - ms)
		Expect(s.sends).To(HaveLen(1))
		s.advance(20 * ms)
		Expect(s.sendOrder()).To(Equal([]RequestID{"0", "0"}))
	}),
	ginkgo.Entry("or for one second if no Retry-After is given", func() {
		s := newDriver(plain("a", 4)).warmUp(10 * ms)
		s.submit("0")
		s.endAttempt("0", full(0))
		s.advance(time.Second - ms)
		Expect(s.sends).To(HaveLen(1))
		s.advance(20 * ms)
		Expect(s.sends).To(HaveLen(2))
	}),
	ginkgo.Entry("a Retry-After applies to its own endpoint only", func() {
		s := newDriver(plain("a", 4), plain("b", 4)).warmUp(10 * ms)
		s.submit("0")
		s.endAttempt("0", full(time.Minute))
		Expect(s.sends).To(HaveLen(2))
		Expect(s.sends[1].Instance).NotTo(Equal(s.sends[0].Instance))
	}),
	ginkgo.Entry("until the first response one call is in flight", func() {
		s := newDriver(plain("a", 4))
		s.submit("0")
		s.submit("1")
		Expect(s.sends).To(HaveLen(1))
		s.advance(5 * ms)
		s.collect(s.ResponseStarted(s.now, "0"))
		Expect(s.sends).To(HaveLen(2))
	}),
	ginkgo.Entry("and then the allowance limits the calls in flight", func() {
		s := newDriver(plain("a", 3)).warmUp(10 * ms)
		for i := range 4 {
			s.submit(RequestID(fmt.Sprint(i)))
		}
		Expect(s.sends).To(HaveLen(3))
		s.complete("1", 10*ms)
		Expect(s.sends).To(HaveLen(4))
	}),
	ginkgo.Entry("the requests of an endpoint are sent in order", func() {
		s := newDriver(plain("a", 1)).warmUp(10 * ms)
		for i := range 4 {
			s.submit(RequestID(fmt.Sprint(i)))
		}
		for i := range 4 {
			s.complete(RequestID(fmt.Sprint(i)), 10*ms)
		}
		Expect(s.sendOrder()).To(Equal([]RequestID{"0", "1", "2", "3"}))
	}),
	ginkgo.Entry("a request rejected by a full receiver returns to the head of the queue", func() {
		s := newDriver(plain("a", 1)).warmUp(10 * ms)
		s.submit("0")
		s.submit("1")
		s.submit("2")
		s.endAttempt("0", full(100*ms))
		s.advance(200 * ms)
		s.complete("0", 10*ms)
		Expect(s.sendOrder()).To(Equal([]RequestID{"0", "0", "1"}))
	}),
	ginkgo.Entry("a rejection that proves that nothing ran does not count as an attempt", func() {
		s := newDriver(plain("a", 1)).warmUp(10 * ms)
		s.submit("0", kind(Unsafe, 1))
		for range 3 {
			s.endAttempt("0", full(10*ms))
			s.advance(50 * ms)
		}
		Expect(s.sends).To(HaveLen(4))
		Expect(s.refusals).To(BeEmpty())
	}),
	ginkgo.Entry("a call goes to the free receiver with the largest allowance", func() {
		s := newDriver(plain("a", 8), plain("b", 8)).warmUp(10 * ms)
		s.report("a", Report{Running: 6})
		s.report("b", Report{Running: 1})
		s.submit("0")
		Expect(s.lastSend("0").Instance).To(Equal(InstanceID("b")))
	}),
	ginkgo.Entry("a request is refused with a Retry-After on submission if its wait plus an expected call exceeds its deadline", func() {
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
	ginkgo.Entry("and whenever queued requests are sent", func() {
		s := newDriver(plain("a", 1)).warmUp(100 * ms)
		s.submit("0")
		s.submit("1", deadline(s, 600*ms))
		s.advance(600*ms - 101*ms)
		s.complete("0", ms) // just too late for an expected call of 100 ms
		s.advance(ms)
		Expect(s.sendOrder()).To(Equal([]RequestID{"0"}))
		Expect(s.refusal("1")).NotTo(BeNil())
	}),
	ginkgo.Entry("the end of the process is a deadline of queued and of new requests", func() {
		s := newDriver(plain("a", 1)).warmUp(100 * ms)
		s.submit("0")
		s.submit("1", deadline(s, time.Minute))
		s.collect(s.StopBy(s.now, s.now.Add(150*ms))) // an expected call after that of 0 would end at 200 ms
		Expect(s.refusal("1")).NotTo(BeNil())
		Expect(s.refusal("1").MayHaveRun).To(BeFalse())
		s.submit("2", deadline(s, time.Minute))
		Expect(s.refusal("2")).NotTo(BeNil())
		s.complete("0", 10*ms)
		s.submit("3", deadline(s, time.Minute)) // enough time for one call
		Expect(s.lastSend("3").Timeout).To(Equal(140 * ms))
		Expect(s.sendOrder()).To(Equal([]RequestID{"0", "3"}))
	}),
	ginkgo.Entry("a request that cannot be answered in time is refused at once, not held until its deadline", func() {
		s := newDriver(plain("a", 1)).warmUp(100 * ms)
		s.submit("0")
		s.endAttempt("0", full(time.Minute))
		Expect(s.refusal("0")).NotTo(BeNil())
		s.submit("1")
		Expect(s.refusal("1")).NotTo(BeNil())
		Expect(s.requests).To(BeEmpty())
	}),
	ginkgo.Entry("a request that may have run fails with an error that does not deny it", func() {
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

var _ = ginkgo.DescribeTable("what may be retried",
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
	ginkgo.Entry("unsafe, transport error: no", kind(Unsafe, 3), Outcome{Kind: TransportError}, false, 1),
	ginkgo.Entry("unsafe, timed out: no", kind(Unsafe, 3), Outcome{Kind: TimedOut}, false, 1),
	ginkgo.Entry("unsafe, not connected: yes", kind(Unsafe, 1), Outcome{Kind: NotConnected}, false, 2),
	ginkgo.Entry("unsafe, misdirected: yes", kind(Unsafe, 1), Outcome{Kind: Misdirected}, false, 2),
	ginkgo.Entry("unsafe, full: yes", kind(Unsafe, 1), full(time.Second), false, 2),
	ginkgo.Entry("safe, transport error: yes", kind(Safe, 2), Outcome{Kind: TransportError}, false, 2),
	ginkgo.Entry("safe, timed out: yes", kind(Safe, 2), Outcome{Kind: TimedOut}, false, 2),
	ginkgo.Entry("safe, transport error, with one attempt: no", kind(Safe, 1), Outcome{Kind: TransportError}, false, 1),
	ginkgo.Entry("safe, transport error after part of the response was passed on: no", kind(Safe, 2), Outcome{Kind: TransportError}, true, 1),
	ginkgo.Entry("stream, transport error: no", kind(Streaming, 2), Outcome{Kind: TransportError}, false, 1),
	ginkgo.Entry("resumable stream, transport error: yes", resumable, Outcome{Kind: TransportError}, false, 2),
	ginkgo.Entry("resumable stream, transport error after part of the response was passed on: yes", resumable, Outcome{Kind: TransportError}, true, 2),
	ginkgo.Entry("an error response is final", kind(Safe, 2), Outcome{Kind: ErrorResponse}, false, 1),
	ginkgo.Entry("cancelled: no", kind(Safe, 2), Outcome{Kind: Cancelled}, false, 1),
)

var _ = ginkgo.Describe("receivers", func() {
	ginkgo.It("never get a request while draining, nor one of another service", func() {
		s := newDriver(plain("a", 4, draining), plain("b", 4, func(r *Receiver) { r.Service = "other" }))
		s.submit("0")
		Expect(s.sends).To(BeEmpty())
		Expect(s.refusal("0")).NotTo(BeNil())
	})
	ginkgo.It("that start draining get none of the queued requests", func() {
		s := newDriver(plain("a", 1)).warmUp(10 * ms)
		s.submit("0")
		s.submit("1")
		s.setReceivers(plain("a", 1, draining), plain("b", 1))
		Expect(s.lastSend("1").Instance).To(Equal(InstanceID("b")))
		s.submit("2")
		s.complete("0", 10*ms)
		Expect(s.sendOrder()).To(Equal([]RequestID{"0", "1"}))
	})
	ginkgo.It("that are not yet known are waited for as long as it costs nothing", func() {
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
	ginkgo.It("that are silent are used as a last resort", func() {
		s := newDriver(plain("a", 1, silent), plain("b", 1), plain("c", 1)).warmUp(10 * ms)
		s.setReceivers(plain("a", 9, silent), plain("b", 1), plain("c", 1))
		s.submit("0")
		s.submit("1")
		s.submit("2")
		Expect(s.sends).To(HaveLen(2))
		Expect(s.sends).NotTo(ContainElement(HaveField("Instance", InstanceID("a"))))
	})
	ginkgo.It("that are all silent are used normally", func() {
		s := newDriver(plain("a", 3, silent), plain("b", 3, silent)).warmUp(10 * ms)
		for i := range 7 {
			s.submit(RequestID(fmt.Sprint(i)))
		}
		Expect(s.sends).To(HaveLen(6))
	})
	ginkgo.It("whose address belongs to another instance get nothing until their address changes", func() {
		s := newDriver(plain("a", 1)).warmUp(10 * ms)
		s.submit("0", objective(2*time.Second))
		s.endAttempt("0", Outcome{Kind: Misdirected})
		s.setReceivers(plain("a", 1))
		Expect(s.sends).To(HaveLen(1))
		s.setReceivers(plain("a", 1, func(r *Receiver) { r.Address = "10.0.0.2:1" }))
		Expect(s.lastSend("0").Address).To(Equal("10.0.0.2:1"))
	})
	ginkgo.It("that are listed again keep their Retry-After", func() {
		s := newDriver(plain("a", 2)).warmUp(10 * ms)
		s.submit("0")
		s.endAttempt("0", full(300*ms))
		s.setReceivers()
		s.setReceivers(plain("a", 2))
		s.submit("1")
		Expect(s.sends).To(HaveLen(1))
		s.advance(400 * ms)
		s.setReceivers()
		Expect(s.endpoints).To(HaveLen(1)) // kept for its call in flight
		s.complete("0", 10*ms)
		s.complete("1", 10*ms)
		s.advance(time.Second)
		s.setReceivers()
		Expect(s.endpoints).To(BeEmpty())
	})
	ginkgo.It("that are listed again do not get a request that they may have run", func() {
		s := newDriver(plain("a", 1)).warmUp(10 * ms)
		s.submit("0", kind(Safe, 2), objective(time.Second))
		s.setReceivers(plain("b", 1, draining))
		s.endAttempt("0", Outcome{Kind: TransportError})
		s.advance(100 * ms)
		s.setReceivers(plain("b", 1, draining)) // forgets a
		s.setReceivers(plain("a", 1), plain("b", 1, draining))
		Expect(s.sends).To(HaveLen(1))
		Expect(s.refusal("0").MayHaveRun).To(BeTrue())
	})
	ginkgo.It("back off after two consecutive failures, longer each time, and are then probed by one call", func() {
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
	ginkgo.It("that are all in backoff get one call at a time", func() {
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
	ginkgo.It("that respond to other calls do not count as failing when a connection is refused", func() {
		s := newDriver(plain("a", 4)).warmUp(10 * ms)
		for i := range 3 {
			s.submit(RequestID(fmt.Sprint(i)))
		}
		s.complete("2", 10*ms)
		s.endAttempt("0", Outcome{Kind: NotConnected})
		s.endAttempt("1", Outcome{Kind: NotConnected})
		Expect(s.endpoints["a"].consecutiveFailures).To(BeZero())
	})
	ginkgo.It("that return errors are avoided while others do not", func() {
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
	ginkgo.It("get a reduced window after a rejection that no report explains", func() {
		s := newDriver(plain("a", 8)).warmUp(10 * ms)
		for i := range 8 {
			s.submit(RequestID(fmt.Sprint(i)))
		}
		s.endAttempt("7", full(10*ms))
		s.endAttempt("6", full(10*ms)) // sent before the first rejection: not counted again
		Expect(s.endpoints["a"].window).To(BeNumerically("==", 4))
	})
})

var _ = ginkgo.Describe("a dispatcher", func() {
	ginkgo.It("removes a cancelled request from the queue", func() {
		s := newDriver(plain("a", 1)).warmUp(10 * ms)
		s.submit("0")
		s.submit("1")
		s.collect(s.Cancel(s.now, "1"))
		s.complete("0", 10*ms)
		Expect(s.sendOrder()).To(Equal([]RequestID{"0"}))
		Expect(s.requests).To(BeEmpty())
	})
	ginkgo.It("keeps the slot of a cancelled call until its end is reported", func() {
		s := newDriver(plain("a", 1)).warmUp(10 * ms)
		s.submit("0")
		s.submit("1")
		s.collect(s.Cancel(s.now, "0"))
		Expect(s.sends).To(HaveLen(1))
		s.endAttempt("0", Outcome{Kind: Cancelled})
		Expect(s.sendOrder()).To(Equal([]RequestID{"0", "1"}))
		Expect(s.refusals).To(BeEmpty())
	})
	ginkgo.It("ignores the end of an attempt that is not in flight", func() {
		s := newDriver(plain("a", 4)).warmUp(10 * ms)
		s.submit("0", kind(Safe, 3))
		s.collect(s.AttemptEnded(s.now, "0", 2, Outcome{Kind: TransportError}))
		s.collect(s.AttemptEnded(s.now, "unknown", 1, Outcome{Kind: TransportError}))
		Expect(s.sends).To(HaveLen(1))
		Expect(s.refusals).To(BeEmpty())
	})
	ginkgo.It("accepts the end of a call to a receiver that is no longer listed", func() {
		s := newDriver(plain("a", 1)).warmUp(10 * ms)
		s.submit("0")
		s.setReceivers()
		s.complete("0", 10*ms)
		Expect(s.requests).To(BeEmpty())
		s.setReceivers()
		Expect(s.services).To(BeEmpty())
	})
	ginkgo.It("panics on a second request with the id of an unfinished one", func() {
		s := newDriver(plain("a", 1))
		s.submit("0")
		Expect(func() { s.submit("0") }).To(PanicWith(ContainSubstring("unfinished")))
	})
	ginkgo.It("gives a call the request's remaining time, or less if another receiver may run it afterwards", func() {
		s := newDriver(plain("a", 4), plain("b", 4)).warmUp(100 * ms)
		s.submit("0", kind(Unsafe, 3))
		s.submit("1", kind(Safe, 2))
		s.submit("2", kind(Safe, 2), func(r *Request) { r.Timeout = time.Second })
		Expect(s.lastSend("0").Timeout).To(Equal(5 * time.Second))
		Expect(s.lastSend("1").Timeout).To(BeNumerically("~", 1500*ms, ms))
		Expect(s.lastSend("2").Timeout).To(Equal(time.Second))
	})
	ginkgo.It("catches up on a due wake-up when another event comes first", func() {
		s := newDriver(plain("a", 4), plain("b", 4, func(r *Receiver) { r.Service = "other" })).warmUp(10 * ms)
		s.report("a", Report{Running: 4})
		s.submit("0")
		s.now = s.wakeAt.Add(time.Millisecond) // the tick is late
		s.collect(s.Submit(s.now, Request{ID: "x", Service: "other", Deadline: s.now.Add(time.Second)}))
		Expect(s.sendOrder()).To(ContainElement(RequestID("0")))
	})
})
