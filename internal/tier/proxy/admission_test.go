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

// scriptedDispatcher is a dispatcher that sends each request as it arrives.
type scriptedDispatcher struct {
	outcomes  []dispatch.Outcome
	withdrawn []dispatch.RequestID
	ticks     int
}

func (s *scriptedDispatcher) SetReceivers(dispatch.Instant, []dispatch.Receiver) dispatch.Effects {
	return dispatch.Effects{}
}

func (s *scriptedDispatcher) Report(dispatch.Instant, dispatch.InstanceID, dispatch.Report) dispatch.Effects {
	return dispatch.Effects{}
}

func (s *scriptedDispatcher) Arrive(_ dispatch.Instant, r dispatch.Request) dispatch.Effects {
	return dispatch.Effects{Sends: []dispatch.Send{{Request: r.ID, Attempt: 1, Instance: "i"}}}
}

func (s *scriptedDispatcher) Started(dispatch.Instant, dispatch.RequestID) dispatch.Effects {
	return dispatch.Effects{}
}

func (s *scriptedDispatcher) Answered(_ dispatch.Instant, id dispatch.RequestID, _ int, o dispatch.Outcome) dispatch.Effects {
	s.outcomes = append(s.outcomes, o)
	return dispatch.Effects{Refusals: []dispatch.Refuse{{Request: id, Status: 503, Reason: dispatch.Unrepeatable}}}
}

func (s *scriptedDispatcher) Withdraw(_ dispatch.Instant, id dispatch.RequestID) dispatch.Effects {
	s.withdrawn = append(s.withdrawn, id)
	return dispatch.Effects{}
}

func (s *scriptedDispatcher) Tick(dispatch.Instant) dispatch.Effects {
	s.ticks++
	return dispatch.Effects{}
}

func (s *scriptedDispatcher) Stats(dispatch.Instant) dispatch.Stats { return dispatch.Stats{} }

func (s *scriptedDispatcher) EndBy(dispatch.Instant, dispatch.Instant) dispatch.Effects {
	return dispatch.Effects{}
}

var _ = Describe("Admission", func() {
	// The commands are applied by hand, so that the order of events is the test's.
	step := func(a *admission) {
		c := <-a.commands
		a.deliver(c.apply(a, a.now()))
	}

	It("ends a send that crosses its withdrawal as one that was not made", func() {
		s := &scriptedDispatcher{}
		a := newAdmission(s)
		t := a.submit(dispatch.Request{})
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, ok := a.await(ctx, t, time.Now().Add(time.Minute))
		Expect(ok).To(BeFalse())
		step(a) // the arrival: its send is on its way to nobody
		step(a) // the withdrawal
		Expect(s.withdrawn).To(Equal([]dispatch.RequestID{t.id}))
		Expect(s.outcomes).To(Equal([]dispatch.Outcome{{Kind: dispatch.NotConnected}}))
		Expect(a.pending).To(BeEmpty())
	})

	It("hands the decision on and forgets the request with its end", func() {
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

var _ = Describe("Memory of bodies", func() {
	DescribeTable("holds a body or says why not",
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
		Entry("known", "body", int64(4), int64(4), nil),
		Entry("unknown", "body", int64(-1), int64(4), nil),
		Entry("none", "", int64(0), int64(4), nil),
		Entry("unknown and none", "", int64(-1), int64(4), nil),
		Entry("too long", "body!", int64(5), int64(4), errTooLarge),
		Entry("unknown and too long", "body!", int64(-1), int64(4), errTooLarge),
		Entry("short", "bod", int64(4), int64(4), io.ErrUnexpectedEOF),
		Entry("more than there is", strings.Repeat("x", 200<<10), int64(200<<10), int64(1<<20), errMemoryLimit),
		Entry("unknown and more than there is", strings.Repeat("x", 200<<10), int64(-1), int64(1<<20), errMemoryLimit),
	)

	It("keeps what was read of a body that turns out too long", func() {
		m := &memoryBudget{limitBytes: 1 << 20}
		h, err := m.readBody(iotest.HalfReader(strings.NewReader(strings.Repeat("x", 70<<10))), -1, 64<<10)
		Expect(err).To(MatchError(errTooLarge))
		Expect(h.bytes()).To(HaveLen(64<<10 + 1))
	})
})
