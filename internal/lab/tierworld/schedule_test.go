package tierworld_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/lab/tierworld"
)

var _ = Describe("Schedule", func() {
	It("is sorted by start and keeps the order of the file for equal starts", func() {
		w := &tierworld.World{Trouble: []tierworld.Trouble{
			{Kind: tierworld.Kill, AtS: 3, ForS: 0.5, Target: tierworld.Store, Index: 1},
			{Kind: tierworld.Race, AtS: 1},
			{Kind: tierworld.Repeat, AtS: 3},
			{Kind: tierworld.Drain, AtS: 2, ForS: 2.2, Target: tierworld.Alfa, Next: tierworld.Beta},
			{Kind: tierworld.Crash, AtS: 2, ForS: 1, Target: tierworld.Model, Index: 2},
		}}
		Expect(w.Schedule()).To(Equal(tierworld.Schedule{
			{Kind: tierworld.Race, From: 1 * s, To: 1 * s},
			{Kind: tierworld.Drain, From: 2 * s, To: 4200 * ms, Target: tierworld.Alfa, Next: tierworld.Beta},
			{Kind: tierworld.Crash, From: 2 * s, To: 3 * s, Target: tierworld.Model, Index: 2, Next: tierworld.Model},
			{Kind: tierworld.Kill, From: 3 * s, To: 3500 * ms, Target: tierworld.Store, Index: 1},
			{Kind: tierworld.Repeat, From: 3 * s, To: 3 * s},
		}))
	})

	It("describes each trouble in the terms of the world file", func() {
		schedule := (&tierworld.World{Trouble: []tierworld.Trouble{
			{Kind: tierworld.Drain, AtS: 1, ForS: 2.2, Target: tierworld.Alfa, Next: tierworld.Beta},
			{Kind: tierworld.Slow, AtS: 2, ForS: 3, Target: tierworld.Model, Index: 1, Factor: 4},
			{Kind: tierworld.Errors, AtS: 3, ForS: 3, Target: tierworld.Beta, Share: 0.5},
			{Kind: tierworld.Burst, AtS: 4, ForS: 1, Target: tierworld.TextCalls, Factor: 3},
			{Kind: tierworld.Race, AtS: 5},
		}}).Schedule()
		var names []string
		for _, scheduled := range schedule {
			names = append(names, scheduled.String())
		}
		Expect(names).To(Equal([]string{"drain alfa 0 then beta for 2.2s", "slow model 1 factor 4 for 3s",
			"errors beta 0 share 0.5 for 3s", "burst of texts factor 3 for 1s", "race"}))
	})

	It("combines the simultaneous troubles of a receiver", func() {
		schedule := tierworld.Schedule{
			{Kind: tierworld.Errors, From: 1 * s, To: 3 * s, Target: tierworld.Alfa, Index: 1, Share: 0.2},
			{Kind: tierworld.Errors, From: 2 * s, To: 4 * s, Target: tierworld.Alfa, Index: 1, Share: 0.5},
			{Kind: tierworld.LoseAnswers, From: 2 * s, To: 4 * s, Target: tierworld.Alfa, Index: 1, Share: 0.1},
			{Kind: tierworld.Hang, From: 2 * s, To: 5 * s, Target: tierworld.Alfa, Index: 1, Share: 1},
			{Kind: tierworld.Slow, From: 2 * s, To: 3 * s, Target: tierworld.Alfa, Index: 1, Factor: 2},
			{Kind: tierworld.Slow, From: 2 * s, To: 3 * s, Target: tierworld.Alfa, Index: 1, Factor: 3},
			{Kind: tierworld.Crash, From: 2 * s, To: 3 * s, Target: tierworld.Alfa, Index: 1},
		}
		normal := tierworld.ReceiverBehavior{Slowdown: 1}
		Expect(schedule.ReceiverBehavior(tierworld.Alfa, 1, 999*ms)).To(Equal(normal))
		Expect(schedule.ReceiverBehavior(tierworld.Alfa, 0, 2*s)).To(Equal(normal))
		Expect(schedule.ReceiverBehavior(tierworld.Beta, 1, 2*s)).To(Equal(normal))
		Expect(schedule.ReceiverBehavior(tierworld.Alfa, 1, 1*s)).To(Equal(tierworld.ReceiverBehavior{ErrorShare: 0.2, Slowdown: 1}))
		Expect(schedule.ReceiverBehavior(tierworld.Alfa, 1, 2*s)).To(
			Equal(tierworld.ReceiverBehavior{ErrorShare: 0.5, LoseShare: 0.1, HangShare: 1, HangEnd: 5 * s, Slowdown: 6}))
		Expect(schedule.ReceiverBehavior(tierworld.Alfa, 1, 5*s)).To(Equal(normal))
	})

	It("multiplies simultaneous bursts of a kind of arrivals", func() {
		schedule := tierworld.Schedule{
			{Kind: tierworld.Burst, From: 1 * s, To: 3 * s, Factor: 2},
			{Kind: tierworld.Burst, From: 2 * s, To: 4 * s, Target: tierworld.PlainCalls, Factor: 5},
		}
		Expect(schedule.ArrivalFactor(tierworld.PlainCalls, 0)).To(Equal(1.0))
		Expect(schedule.ArrivalFactor(tierworld.PlainCalls, 1*s)).To(Equal(2.0))
		Expect(schedule.ArrivalFactor(tierworld.PlainCalls, 2*s)).To(Equal(10.0))
		Expect(schedule.ArrivalFactor(tierworld.TextCalls, 2*s)).To(Equal(2.0))
		Expect(schedule.ArrivalFactor(tierworld.PlainCalls, 3*s)).To(Equal(5.0))
		Expect(schedule.MaxArrivalFactor(tierworld.PlainCalls)).To(Equal(10.0))
		Expect(schedule.MaxArrivalFactor(tierworld.AgentRuns)).To(Equal(2.0))
		Expect(tierworld.Schedule{}.MaxArrivalFactor(tierworld.TextCalls)).To(Equal(1.0))
	})
})

var _ = Describe("Indexes of receivers", func() {
	It("are grouped by service", func() {
		r := tierworld.Default().Receivers
		Expect(r.ServicePerReceiver()).To(HaveLen(8))
		Expect(r.ReceiverIndex(tierworld.Alfa, 0)).To(Equal(0))
		Expect(r.ReceiverIndex(tierworld.Beta, 1)).To(Equal(4))
		Expect(r.ReceiverIndex(tierworld.Model, 1)).To(Equal(6))
		Expect(r.ServicePerReceiver()[r.ReceiverIndex(tierworld.Model, 1)]).To(Equal(tierworld.Model))
	})
})
