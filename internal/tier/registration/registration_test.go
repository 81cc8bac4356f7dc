package registration_test

import (
	"testing"
	"time"

	"emberquay/internal/tier/cluster/records"
	"emberquay/internal/tier/registration"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRegistration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "registration")
}

const interval = time.Second

func heartbeat(sequence uint64) registration.Heartbeat {
	return registration.Heartbeat{Service: "models", Address: "10.1.0.9:8080", Zone: "a", Slots: 24, Sequence: sequence}
}

func drainingHeartbeat(sequence uint64) registration.Heartbeat {
	b := heartbeat(sequence)
	b.Draining = true
	return b
}

func allAlive(string) bool  { return true }
func noneAlive(string) bool { return false }

var _ = Describe("heartbeats", func() {
	var table *registration.Table
	BeforeEach(func() { table = registration.New("front-1", interval) })

	It("are published for a new receiver, and not when repeated unchanged", func() {
		first := table.Heartbeat(0, "i-1", heartbeat(1), nil)
		Expect(first.Publish).To(BeTrue())
		Expect(first.NeedsConfirmation).To(BeFalse())
		Expect(table.Heartbeat(interval, "i-1", heartbeat(2), &first.Record).Publish).To(BeFalse())
	})

	It("that arrive late change nothing", func() {
		last := table.Heartbeat(0, "i-1", drainingHeartbeat(5), nil)
		Expect(last.NeedsConfirmation).To(BeTrue())
		Expect(table.Heartbeat(1, "i-1", heartbeat(4), &last.Record)).To(Equal(registration.Change{}))
	})

	It("received by another node are not overridden by an older one received here", func() {
		known := registration.New("front-2", interval).Heartbeat(0, "i-1", drainingHeartbeat(9), nil).Record
		Expect(table.Heartbeat(0, "i-1", heartbeat(8), &known).Publish).To(BeFalse())
	})

	It("have a stamp above that of the silence recorded before them", func() {
		first := table.Heartbeat(0, "i-1", heartbeat(1), nil)
		known := []records.ReceiverRecord{first.Record}
		silences := table.Tick(3*interval, known, allAlive)
		Expect(silences).To(HaveLen(1))
		Expect(silences[0].Record.State).To(Equal(records.ReceiverSilent))
		Expect(silences[0].Stamp.After(first.Stamp)).To(BeTrue())
		back := table.Heartbeat(3*interval, "i-1", heartbeat(2), &silences[0].Record)
		Expect(back.Publish).To(BeTrue())
		Expect(back.Stamp.After(silences[0].Stamp)).To(BeTrue())
	})

	It("are ignored after the receiver has left", func() {
		first := table.Heartbeat(0, "i-1", drainingHeartbeat(1), nil)
		left := table.Leave("i-1", &first.Record)
		Expect(left.Publish && left.NeedsConfirmation).To(BeTrue())
		Expect(left.Stamp.After(first.Stamp)).To(BeTrue())
		Expect(table.Heartbeat(0, "i-1", heartbeat(2), &left.Record).Publish).To(BeFalse())
		Expect(table.Leave("i-1", &left.Record).Publish).To(BeFalse())
	})
})

// A receiver's call that it drains or leaves may be acknowledged only once a majority has the record; that this node
// alone has it is not enough, however often the call is repeated.
var _ = Describe("the end of a receiver", func() {
	var table *registration.Table
	BeforeEach(func() { table = registration.New("front-1", interval) })

	It("needs confirmation again when the first call was not confirmed", func() {
		first := table.Heartbeat(0, "i-1", drainingHeartbeat(1), nil)
		Expect(first.Publish && first.NeedsConfirmation).To(BeTrue())
		again := table.Heartbeat(1, "i-1", drainingHeartbeat(2), &first.Record)
		Expect(again.Publish).To(BeFalse())
		Expect(again.NeedsConfirmation).To(BeTrue())
		Expect(again.Record.State).To(Equal(records.ReceiverDraining))
		table.MarkConfirmed(again.Record)
		Expect(table.Heartbeat(2, "i-1", drainingHeartbeat(3), &first.Record)).To(Equal(registration.Change{}))
	})

	It("needs confirmation when another node published it, for late heartbeats too", func() {
		known := registration.New("front-2", interval).Heartbeat(0, "i-1", drainingHeartbeat(9), nil).Record
		Expect(table.Heartbeat(0, "i-1", drainingHeartbeat(8), &known).NeedsConfirmation).To(BeTrue())
		Expect(table.Heartbeat(0, "i-1", drainingHeartbeat(10), &known).NeedsConfirmation).To(BeTrue())
		Expect(table.Heartbeat(0, "i-1", heartbeat(8), &known)).To(Equal(registration.Change{}))
	})

	It("by leaving needs a confirmation of its own after that of draining", func() {
		first := table.Heartbeat(0, "i-1", drainingHeartbeat(1), nil)
		table.MarkConfirmed(first.Record)
		left := table.Leave("i-1", &first.Record)
		Expect(left.Publish && left.NeedsConfirmation).To(BeTrue())
		Expect(table.Leave("i-1", &left.Record).NeedsConfirmation).To(BeTrue())
		Expect(table.Heartbeat(1, "i-1", drainingHeartbeat(2), &left.Record).NeedsConfirmation).To(BeFalse()) // covered by the confirmation of draining
		table.MarkConfirmed(left.Record)
		Expect(table.Leave("i-1", &left.Record)).To(Equal(registration.Change{Record: left.Record}))
	})

	It("has its confirmation dropped with the receiver", func() {
		first := table.Heartbeat(0, "i-1", drainingHeartbeat(1), nil)
		table.MarkConfirmed(first.Record)
		table.Tick(1, nil, allAlive)
		Expect(table.Heartbeat(2, "i-1", drainingHeartbeat(2), &first.Record).NeedsConfirmation).To(BeTrue())
	})

	DescribeTable("is held by a majority", func(voters, holders []string, enough bool) {
		Expect(registration.HasMajority(voters, holders)).To(Equal(enough))
	},
		Entry("with two of three", []string{"a", "b", "c"}, []string{"a", "c"}, true),
		Entry("not with one of three and non-voters", []string{"a", "b", "c"}, []string{"a", "x", "y"}, false),
		Entry("not with half", []string{"a", "b", "c", "d"}, []string{"a", "b"}, false),
		Entry("alone", []string{"a"}, []string{"a"}, true),
		Entry("not without voters", nil, []string{"a"}, false),
	)
})

var _ = Describe("the heartbeat timeout", func() {
	It("is left to the owner while the owner is alive", func() {
		known := []records.ReceiverRecord{registration.New("front-2", interval).Heartbeat(0, "i-1", heartbeat(1), nil).Record}
		table := registration.New("front-1", interval)
		Expect(table.Tick(0, known, allAlive)).To(BeEmpty())
		Expect(table.Tick(100*interval, known, allAlive)).To(BeEmpty())
	})

	It("starts when the owner is found dead", func() {
		known := []records.ReceiverRecord{registration.New("front-2", interval).Heartbeat(0, "i-1", heartbeat(1), nil).Record}
		table := registration.New("front-1", interval)
		Expect(table.Tick(50*interval, known, noneAlive)).To(BeEmpty())
		Expect(table.Tick(52*interval, known, noneAlive)).To(BeEmpty())
		Expect(table.Tick(53*interval, known, noneAlive)).To(HaveLen(1))
	})

	It("ends with the receiver gone, for a draining one too", func() {
		table := registration.New("front-1", interval)
		known := []records.ReceiverRecord{table.Heartbeat(0, "i-1", drainingHeartbeat(1), nil).Record}
		Expect(table.Tick(3*interval, known, allAlive)).To(BeEmpty())
		last := table.Tick(13*interval, known, allAlive)
		Expect(last).To(HaveLen(1))
		Expect(last[0].Record.State).To(Equal(records.ReceiverGone))
	})
})
