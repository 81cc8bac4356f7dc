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

func beat(sequence uint64) registration.Heartbeat {
	return registration.Heartbeat{Service: "models", Address: "10.1.0.9:8080", Zone: "a", Slots: 24, Sequence: sequence}
}

func draining(sequence uint64) registration.Heartbeat {
	b := beat(sequence)
	b.Draining = true
	return b
}

func always(string) bool { return true }
func never(string) bool  { return false }

var _ = Describe("heartbeats", func() {
	var table *registration.Table
	BeforeEach(func() { table = registration.New("front-1", interval) })

	It("of a new receiver are news, the same again are not", func() {
		first := table.Heartbeat(0, "i-1", beat(1), nil)
		Expect(first.Publish).To(BeTrue())
		Expect(first.NeedsConfirmation).To(BeFalse())
		Expect(table.Heartbeat(interval, "i-1", beat(2), &first.Record).Publish).To(BeFalse())
	})

	It("that come late change nothing", func() {
		last := table.Heartbeat(0, "i-1", draining(5), nil)
		Expect(last.NeedsConfirmation).To(BeTrue())
		Expect(table.Heartbeat(1, "i-1", beat(4), &last.Record)).To(Equal(registration.Change{}))
	})

	It("that were heard elsewhere are not undone by an older one here", func() {
		known := registration.New("front-2", interval).Heartbeat(0, "i-1", draining(9), nil).Record
		Expect(table.Heartbeat(0, "i-1", beat(8), &known).Publish).To(BeFalse())
	})

	It("stamp a record above what was said of the silence after the one before", func() {
		first := table.Heartbeat(0, "i-1", beat(1), nil)
		known := []records.ReceiverRecord{first.Record}
		quiet := table.Tick(3*interval, known, always)
		Expect(quiet).To(HaveLen(1))
		Expect(quiet[0].Record.State).To(Equal(records.ReceiverSilent))
		Expect(quiet[0].Stamp.After(first.Stamp)).To(BeTrue())
		back := table.Heartbeat(3*interval, "i-1", beat(2), &quiet[0].Record)
		Expect(back.Publish).To(BeTrue())
		Expect(back.Stamp.After(quiet[0].Stamp)).To(BeTrue())
	})

	It("after a word of leaving are not heeded", func() {
		first := table.Heartbeat(0, "i-1", draining(1), nil)
		left := table.Leave("i-1", &first.Record)
		Expect(left.Publish && left.NeedsConfirmation).To(BeTrue())
		Expect(left.Stamp.After(first.Stamp)).To(BeTrue())
		Expect(table.Heartbeat(0, "i-1", beat(2), &left.Record).Publish).To(BeFalse())
		Expect(table.Leave("i-1", &left.Record).Publish).To(BeFalse())
	})
})

// A receiver's word that it ends may be acknowledged only once a majority has heard it; what was heard here alone is
// not enough, however often it comes.
var _ = Describe("the word that a receiver ends", func() {
	var table *registration.Table
	BeforeEach(func() { table = registration.New("front-1", interval) })

	It("is to be confirmed again where it was not the first time", func() {
		first := table.Heartbeat(0, "i-1", draining(1), nil)
		Expect(first.Publish && first.NeedsConfirmation).To(BeTrue())
		again := table.Heartbeat(1, "i-1", draining(2), &first.Record)
		Expect(again.Publish).To(BeFalse())
		Expect(again.NeedsConfirmation).To(BeTrue())
		Expect(again.Record.State).To(Equal(records.ReceiverDraining))
		table.MarkConfirmed(again.Record)
		Expect(table.Heartbeat(2, "i-1", draining(3), &first.Record)).To(Equal(registration.Change{}))
	})

	It("is to be confirmed where another node spread it, late or not", func() {
		known := registration.New("front-2", interval).Heartbeat(0, "i-1", draining(9), nil).Record
		Expect(table.Heartbeat(0, "i-1", draining(8), &known).NeedsConfirmation).To(BeTrue())
		Expect(table.Heartbeat(0, "i-1", draining(10), &known).NeedsConfirmation).To(BeTrue())
		Expect(table.Heartbeat(0, "i-1", beat(8), &known)).To(Equal(registration.Change{}))
	})

	It("of leaving is to be confirmed apart from that of draining", func() {
		first := table.Heartbeat(0, "i-1", draining(1), nil)
		table.MarkConfirmed(first.Record)
		left := table.Leave("i-1", &first.Record)
		Expect(left.Publish && left.NeedsConfirmation).To(BeTrue())
		Expect(table.Leave("i-1", &left.Record).NeedsConfirmation).To(BeTrue())
		Expect(table.Heartbeat(1, "i-1", draining(2), &left.Record).NeedsConfirmation).To(BeFalse()) // the first confirmation covers it
		table.MarkConfirmed(left.Record)
		Expect(table.Leave("i-1", &left.Record)).To(Equal(registration.Change{Record: left.Record}))
	})

	It("is not remembered longer than the receiver", func() {
		first := table.Heartbeat(0, "i-1", draining(1), nil)
		table.MarkConfirmed(first.Record)
		table.Tick(1, nil, always)
		Expect(table.Heartbeat(2, "i-1", draining(2), &first.Record).NeedsConfirmation).To(BeTrue())
	})

	DescribeTable("has a majority", func(voters, holders []string, enough bool) {
		Expect(registration.HasMajority(voters, holders)).To(Equal(enough))
	},
		Entry("with two of three", []string{"a", "b", "c"}, []string{"a", "c"}, true),
		Entry("not with one of three and others that do not vote", []string{"a", "b", "c"}, []string{"a", "x", "y"}, false),
		Entry("not with half", []string{"a", "b", "c", "d"}, []string{"a", "b"}, false),
		Entry("alone", []string{"a"}, []string{"a"}, true),
		Entry("not where no voter is known", nil, []string{"a"}, false),
	)
})

var _ = Describe("silence", func() {
	It("of a receiver whose owner lives is the owner's matter", func() {
		known := []records.ReceiverRecord{registration.New("front-2", interval).Heartbeat(0, "i-1", beat(1), nil).Record}
		table := registration.New("front-1", interval)
		Expect(table.Tick(0, known, always)).To(BeEmpty())
		Expect(table.Tick(100*interval, known, always)).To(BeEmpty())
	})

	It("is watched from the moment on in which the owner is found dead", func() {
		known := []records.ReceiverRecord{registration.New("front-2", interval).Heartbeat(0, "i-1", beat(1), nil).Record}
		table := registration.New("front-1", interval)
		Expect(table.Tick(50*interval, known, never)).To(BeEmpty())
		Expect(table.Tick(52*interval, known, never)).To(BeEmpty())
		Expect(table.Tick(53*interval, known, never)).To(HaveLen(1))
	})

	It("for long ends with the receiver gone, a draining one too", func() {
		table := registration.New("front-1", interval)
		known := []records.ReceiverRecord{table.Heartbeat(0, "i-1", draining(1), nil).Record}
		Expect(table.Tick(3*interval, known, always)).To(BeEmpty())
		last := table.Tick(13*interval, known, always)
		Expect(last).To(HaveLen(1))
		Expect(last[0].Record.State).To(Equal(records.ReceiverGone))
	})
})
