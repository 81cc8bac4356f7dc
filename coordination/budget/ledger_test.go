package budget_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/coordination/budget"
	"emberquay/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

func TestBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "budget")
}

func open(turn budget.TurnKey, tokens int64) budget.Entry {
	return budget.Entry{Turn: turn, Tokens: tokens, Open: true}
}

func settled(turn budget.TurnKey, tokens int64) budget.Entry {
	return budget.Entry{Turn: turn, Tokens: tokens}
}

var _ = Describe("a ledger", func() {
	var ledger *budget.Ledger
	BeforeEach(func() { ledger = &budget.Ledger{} })

	It("opens a turn once", func() {
		Expect(ledger.Reserve(1, 10)).To(Equal(budget.Opened))
		Expect(ledger.Reserve(1, 10)).To(Equal(budget.AlreadyOpen))
		Expect(ledger.Len()).To(Equal(1))
	})

	It("never opens a turn again that was settled or withdrawn, even before it was opened", func() {
		ledger.Merge(settled(1, 0))
		Expect(ledger.Reserve(1, 10)).To(Equal(budget.Closed))
		ledger.Reserve(2, 10)
		ledger.Merge(settled(2, 4))
		Expect(ledger.Reserve(2, 10)).To(Equal(budget.Closed))
		Expect(ledger.Merge(open(2, 10))).To(BeFalse())
		Expect(ledger.SettledTokens()).To(Equal(int64(4)))
	})

	It("reports the others, not the turn that asks", func() {
		ledger.Reserve(1, 10)
		ledger.Reserve(2, 7)
		ledger.Merge(settled(3, 5))
		report := ledger.Report(1, false)
		Expect(report.Whole).To(BeTrue())
		Expect(report.SettledTokens).To(Equal(int64(5)))
		Expect(report.Entries).To(ConsistOf(open(2, 7), settled(3, 5)))
		Expect(ledger.Report(3, false).SettledTokens).To(BeZero())
		Expect(ledger.Report(3, false).TurnClosed).To(BeTrue())
	})

	It("lists only what is open once it is long, unless all is wanted", func() {
		for turn := range budget.TurnKey(100) {
			ledger.Merge(settled(turn, 1))
		}
		ledger.Reserve(200, 3)
		report := ledger.Report(300, false)
		Expect(report.Whole).To(BeFalse())
		Expect(report.SettledTokens).To(Equal(int64(100)))
		Expect(report.Entries).To(Equal([]budget.Entry{open(200, 3)}))
		Expect(ledger.Report(300, true).Entries).To(HaveLen(101))
	})

	It("has a digest of what it holds, not of how it came", func() {
		ledger.Reserve(1, 10)
		ledger.Merge(settled(1, 4))
		ledger.Merge(settled(2, 3))
		var other budget.Ledger
		other.Merge(settled(2, 3))
		other.Merge(settled(1, 4))
		Expect(ledger.Digest()).To(Equal(other.Digest()))
		other.Merge(settled(1, 5))
		Expect(ledger.Digest()).NotTo(Equal(other.Digest()))
	})

	It("is bounded, but loses nothing that counts", func() {
		for turn := range budget.TurnKey(budget.MaxEntries) {
			ledger.Reserve(turn, 1)
		}
		Expect(ledger.Reserve(1<<40, 1)).To(Equal(budget.LedgerFull))
		Expect(ledger.Merge(settled(1<<40, 0))).To(BeFalse())
		Expect(ledger.Merge(open(1<<41, 9))).To(BeTrue())
		Expect(ledger.Merge(settled(1<<42, 9))).To(BeTrue())
		Expect(ledger.Merge(settled(5, 0))).To(BeTrue())
	})

	It("takes tokens below zero for none", func() {
		ledger.Reserve(1, -5)
		ledger.Merge(settled(2, -5))
		Expect(ledger.Report(9, true).Entries).To(ConsistOf(open(1, 0), settled(2, 0)))
	})

	It("packs its entries", func() {
		ledger.Reserve(1, 1<<40)
		ledger.Reserve(2, 0)
		ledger.Merge(settled(1<<63, 0))
		data := budget.EncodeEntries(nil, ledger.Entries(nil))
		Expect(budget.DecodeEntries(data)).To(ConsistOf(open(1, 1<<40), open(2, 0), settled(1<<63, 0)))
		_, err := budget.DecodeEntries(data[:len(data)-1])
		Expect(err).To(MatchError(budget.ErrMalformedEntries))
	})
})

// reportOf makes the report of a store that knows these entries.
func reportOf(whole bool, entries ...budget.Entry) budget.Report {
	var ledger budget.Ledger
	for _, e := range entries {
		ledger.Merge(e)
	}
	report := ledger.Report(1<<50, true)
	if whole {
		return report
	}
	report.Whole = false
	var openOnly []budget.Entry
	for _, e := range report.Entries {
		if e.Open {
			openOnly = append(openOnly, e)
		}
	}
	report.Entries = openOnly
	return report
}

// compact marks reports that list only what is open.
const compact = false

var _ = DescribeTable("one round of three stores, budget 10",
	func(action budget.Decision, reports ...budget.Report) {
		attempt := budget.NewAttempt(10, 3, 2)
		for member, report := range reports {
			attempt.AddReport(member, report)
		}
		Expect(attempt.Decide()).To(Equal(action))
	},
	Entry("none has answered", budget.Pending),
	Entry("one has answered", budget.Pending, reportOf(true)),
	Entry("a quorum alone does not grant", budget.Pending, reportOf(true), reportOf(true)),
	Entry("all do", budget.Granted, reportOf(true), reportOf(true), reportOf(true)),
	Entry("one below the budget", budget.Granted, reportOf(true, settled(1, 9)), reportOf(true), reportOf(true)),
	Entry("one store knows it to be spent", budget.Exhausted, reportOf(true, settled(1, 10))),
	Entry("spent by what they know together", budget.Exhausted,
		reportOf(true, settled(1, 5)), reportOf(true, settled(2, 5)), reportOf(true)),
	Entry("open turns decide", budget.Undecided, reportOf(true, open(1, 10)), reportOf(true), reportOf(true)),
	Entry("a turn that some know to be settled counts as settled", budget.Granted,
		reportOf(true, open(1, 10)), reportOf(true, settled(1, 2)), reportOf(true, open(1, 10))),
	Entry("the turn itself was closed", budget.Undecided, budget.Report{TurnClosed: true, Whole: true}),
	Entry("long lists that are alike", budget.Granted, reportOf(compact, settled(1, 4), open(2, 5)),
		reportOf(compact, settled(1, 4)), reportOf(compact, settled(1, 4), open(2, 5))),
	Entry("long lists that are alike and spent with what is open", budget.Undecided,
		reportOf(compact, settled(1, 4), open(2, 5)), reportOf(compact, settled(1, 4), open(3, 5)),
		reportOf(compact, settled(1, 4))),
	Entry("long lists that differ, but are small enough", budget.Granted,
		reportOf(compact, settled(1, 4)), reportOf(compact, settled(1, 4), settled(2, 1)), reportOf(compact)),
	Entry("long lists that differ and may hold the same", budget.Pending,
		reportOf(compact, settled(1, 4)), reportOf(compact, settled(1, 4), settled(2, 3)), reportOf(compact)),
)

var _ = Describe("a second round", func() {
	It("grants by a quorum", func() {
		attempt := budget.NewAttempt(10, 3, 2)
		attempt.AddReport(0, reportOf(true))
		attempt.AddReport(1, reportOf(true))
		Expect(attempt.StartSecondRound()).To(BeFalse())
		Expect(attempt.Decide()).To(Equal(budget.Pending))
		attempt.AddReport(2, reportOf(true, open(1, 9)))
		attempt.AddReport(1, reportOf(true))
		Expect(attempt.Decide()).To(Equal(budget.Granted))
	})

	It("asks for whole lists where digests do not tell enough", func() {
		attempt := budget.NewAttempt(10, 3, 2)
		attempt.AddReport(0, reportOf(compact, settled(1, 4)))
		attempt.AddReport(1, reportOf(compact, settled(1, 4), settled(2, 3)))
		attempt.AddReport(2, reportOf(compact, settled(1, 4)))
		Expect(attempt.NeedsWholeLists()).To(BeTrue())
		Expect(attempt.StartSecondRound()).To(BeTrue())
		attempt.AddReport(0, reportOf(true, settled(1, 4)))
		attempt.AddReport(1, reportOf(true, settled(1, 4), settled(2, 3)))
		Expect(attempt.Decide()).To(Equal(budget.Granted))
	})

	It("must not begin without a quorum", func() {
		attempt := budget.NewAttempt(10, 3, 2)
		attempt.AddReport(0, reportOf(true))
		Expect(func() { attempt.StartSecondRound() }).To(Panic())
	})
})

func BenchmarkReserveAndReport(b *testing.B) {
	var ledger budget.Ledger
	for turn := range budget.TurnKey(50) {
		ledger.Merge(settled(turn, 10))
	}
	b.ReportAllocs()
	for at := range b.N {
		turn := budget.TurnKey(1000 + at%50)
		ledger.Reserve(turn, 10)
		ledger.Report(turn, false)
	}
}

func BenchmarkAttempt(b *testing.B) {
	report := reportOf(true, settled(1, 10), settled(2, 20), open(3, 30))
	b.ReportAllocs()
	for range b.N {
		attempt := budget.NewAttempt(1000, 3, 2)
		for member := range 3 {
			attempt.AddReport(member, report)
		}
		if attempt.Decide() != budget.Granted {
			b.Fatal("not granted")
		}
	}
}
