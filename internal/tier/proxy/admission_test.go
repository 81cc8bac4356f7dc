package proxy

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/admission/dispatch"
)

// scriptedDispatcher sends each request on arrival and refuses it after its first attempt.
type scriptedDispatcher struct {
	outcomes  []dispatch.Outcome
	withdrawn []dispatch.RequestID
	ticks     int
}

func (s *scriptedDispatcher) SetReceivers(dispatch.Instant, []dispatch.Receiver) dispatch.Effects {
	return dispatch.Effects{}
}

func (s *scriptedDispatcher) ApplyReport(dispatch.Instant, dispatch.InstanceID, dispatch.Report) dispatch.Effects {
	return dispatch.Effects{}
}

func (s *scriptedDispatcher) Submit(_ dispatch.Instant, r dispatch.Request) dispatch.Effects {
	return dispatch.Effects{Sends: []dispatch.Send{{Request: r.ID, Attempt: 1, Instance: "i"}}}
}

func (s *scriptedDispatcher) ResponseStarted(dispatch.Instant, dispatch.RequestID) dispatch.Effects {
	return dispatch.Effects{}
}

func (s *scriptedDispatcher) AttemptEnded(_ dispatch.Instant, id dispatch.RequestID, _ int, o dispatch.Outcome) dispatch.Effects {
	s.outcomes = append(s.outcomes, o)
	return dispatch.Effects{Refusals: []dispatch.Refusal{{Request: id, Status: 503, Reason: dispatch.Unrepeatable}}}
}

func (s *scriptedDispatcher) Cancel(_ dispatch.Instant, id dispatch.RequestID) dispatch.Effects {
	s.withdrawn = append(s.withdrawn, id)
	return dispatch.Effects{}
}

func (s *scriptedDispatcher) Tick(dispatch.Instant) dispatch.Effects {
	s.ticks++
	return dispatch.Effects{}
}

func (s *scriptedDispatcher) Stats(dispatch.Instant) dispatch.Stats { return dispatch.Stats{} }

func (s *scriptedDispatcher) StopBy(dispatch.Instant, dispatch.Instant) dispatch.Effects {
	return dispatch.Effects{}
}

var _ = Describe("Admission", func() {
	// Commands are applied one by one, so that the test determines the order of events.
	step := func(a *admission) {
		c := <-a.commands
		a.deliver(c.apply(a, a.now()))
	}

	It("reports a send decided before the withdrawal as not connected", func() {
		s := &scriptedDispatcher{}
		a := newAdmission(s)
		t := a.submit(dispatch.Request{})
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, ok := a.await(ctx, t, time.Now().Add(time.Minute))
		Expect(ok).To(BeFalse())
		step(a) // the arrival: nobody receives its send
		step(a) // the withdrawal
		Expect(s.withdrawn).To(Equal([]dispatch.RequestID{t.id}))
		Expect(s.outcomes).To(Equal([]dispatch.Outcome{{Kind: dispatch.NotConnected}}))
		Expect(a.pending).To(BeEmpty())
	})

	It("delivers the decisions and drops the request once it has ended", func() {
		s := &scriptedDispatcher{}
		a := newAdmission(s)
		t := a.submit(dispatch.Request{})
		step(a)
		d, ok := a.await(context.Background(), t, time.Now().Add(time.Minute))
		Expect(ok).To(BeTrue())
		Expect(d.send.Instance).To(Equal(dispatch.InstanceID("i")))
		a.attemptEnded(d.send, dispatch.Outcome{Kind: dispatch.Full})
		step(a)
		d, ok = a.await(context.Background(), t, time.Now().Add(time.Minute))
		Expect(ok).To(BeTrue())
		Expect(d.send).To(BeNil())
		Expect(d.refusal.Status).To(Equal(503))
		Expect(a.pending).To(BeEmpty())
	})
})

var _ = Describe("Memory budget of bodies", func() {
	DescribeTable("buffers a body or returns the reason for not doing so",
		func(body string, length, limit int64, wanted error) {
			m := &memoryBudget{limitBytes: 100 << 10}
			h, err := m.readBody(strings.NewReader(body), length, limit)
			if wanted != nil {
				Expect(errors.Is(err, wanted)).To(BeTrue())
			} else {
				Expect(err).NotTo(HaveOccurred())
				Expect(string(h.bytes())).To(Equal(body))
			}
			h.release()
			Expect(m.usedBytes.Load()).To(BeZero())
		},
		Entry("known length", "body", int64(4), int64(4), nil),
		Entry("unknown length", "body", int64(-1), int64(4), nil),
		Entry("empty", "", int64(0), int64(4), nil),
		Entry("unknown length, empty", "", int64(-1), int64(4), nil),
		Entry("too long", "body!", int64(5), int64(4), errTooLarge),
		Entry("unknown length, too long", "body!", int64(-1), int64(4), errTooLarge),
		Entry("shorter than announced", "bod", int64(4), int64(4), io.ErrUnexpectedEOF),
		Entry("larger than the budget", strings.Repeat("x", 200<<10), int64(200<<10), int64(1<<20), errMemoryLimit),
		Entry("unknown length, larger than the budget", strings.Repeat("x", 200<<10), int64(-1), int64(1<<20), errMemoryLimit),
	)

	It("keeps the bytes read of a body that exceeds the limit", func() {
		m := &memoryBudget{limitBytes: 1 << 20}
		h, err := m.readBody(iotest.HalfReader(strings.NewReader(strings.Repeat("x", 70<<10))), -1, 64<<10)
		Expect(err).To(MatchError(errTooLarge))
		Expect(h.bytes()).To(HaveLen(64<<10 + 1))
	})
})
