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

	It("reports all turns except the requesting one", func() {
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

	It("lists only open entries in long reports, unless the whole list is requested", func() {
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

	It("has a digest that depends on its entries only, not on how they arrived", func() {
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

	It("is bounded, but drops no open entry and none with tokens", func() {
		for turn := range budget.TurnKey(budget.MaxEntries) {
			ledger.Reserve(turn, 1)
		}
		Expect(ledger.Reserve(1<<40, 1)).To(Equal(budget.LedgerFull))
		Expect(ledger.Merge(settled(1<<40, 0))).To(BeFalse())
		Expect(ledger.Merge(open(1<<41, 9))).To(BeTrue())
		Expect(ledger.Merge(settled(1<<42, 9))).To(BeTrue())
		Expect(ledger.Merge(settled(5, 0))).To(BeTrue())
	})

	It("treats negative tokens as zero", func() {
		ledger.Reserve(1, -5)
		ledger.Merge(settled(2, -5))
		Expect(ledger.Report(9, true).Entries).To(ConsistOf(open(1, 0), settled(2, 0)))
	})

	It("encodes and decodes its entries", func() {
		ledger.Reserve(1, 1<<40)
		ledger.Reserve(2, 0)
		ledger.Merge(settled(1<<63, 0))
		data := budget.EncodeEntries(nil, ledger.Entries(nil))
		Expect(budget.DecodeEntries(data)).To(ConsistOf(open(1, 1<<40), open(2, 0), settled(1<<63, 0)))
		_, err := budget.DecodeEntries(data[:len(data)-1])
		Expect(err).To(MatchError(budget.ErrMalformedEntries))
	})
})

// reportOf returns the report of a store that has these entries. Unless whole is set, it omits settled entries.
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

// withoutSettled is the whole argument of reportOf for reports that list only open entries.
const withoutSettled = false

var _ = DescribeTable("one round of three stores, budget 10",
	func(action budget.Decision, reports ...budget.Report) {
		attempt := budget.NewAttempt(10, 3, 2)
		for member, report := range reports {
			attempt.AddReport(member, report)
		}
		Expect(attempt.Decide()).To(Equal(action))
	},
	Entry("no member has answered", budget.Pending),
	Entry("one member has answered", budget.Pending, reportOf(true)),
	Entry("a quorum alone does not suffice in the first round", budget.Pending, reportOf(true), reportOf(true)),
	Entry("all members have answered", budget.Granted, reportOf(true), reportOf(true), reportOf(true)),
	Entry("settled tokens one below the budget", budget.Granted, reportOf(true, settled(1, 9)), reportOf(true), reportOf(true)),
	Entry("exhausted by the settled turns of one store", budget.Exhausted, reportOf(true, settled(1, 10))),
	Entry("exhausted by the settled turns of several stores", budget.Exhausted,
		reportOf(true, settled(1, 5)), reportOf(true, settled(2, 5)), reportOf(true)),
	Entry("open turns fill the budget", budget.Undecided, reportOf(true, open(1, 10)), reportOf(true), reportOf(true)),
	Entry("a turn that is settled at one store counts as settled", budget.Granted,
		reportOf(true, open(1, 10)), reportOf(true, settled(1, 2)), reportOf(true, open(1, 10))),
	Entry("the turn itself is closed", budget.Undecided, budget.Report{TurnClosed: true, Whole: true}),
	Entry("abridged lists with equal settled entries", budget.Granted, reportOf(withoutSettled, settled(1, 4), open(2, 5)),
		reportOf(withoutSettled, settled(1, 4)), reportOf(withoutSettled, settled(1, 4), open(2, 5))),
	Entry("abridged lists with equal settled entries, where open turns fill the budget", budget.Undecided,
		reportOf(withoutSettled, settled(1, 4), open(2, 5)), reportOf(withoutSettled, settled(1, 4), open(3, 5)),
		reportOf(withoutSettled, settled(1, 4))),
	Entry("abridged lists with different settled entries whose upper bound is below the budget", budget.Granted,
		reportOf(withoutSettled, settled(1, 4)), reportOf(withoutSettled, settled(1, 4), settled(2, 1)), reportOf(withoutSettled)),
	Entry("abridged lists with different settled entries that may overlap", budget.Pending,
		reportOf(withoutSettled, settled(1, 4)), reportOf(withoutSettled, settled(1, 4), settled(2, 3)), reportOf(withoutSettled)),
)

var _ = Describe("a second round", func() {
	It("grants on the reports of a quorum", func() {
		attempt := budget.NewAttempt(10, 3, 2)
		attempt.AddReport(0, reportOf(true))
		attempt.AddReport(1, reportOf(true))
		Expect(attempt.StartSecondRound()).To(BeFalse())
		Expect(attempt.Decide()).To(Equal(budget.Pending))
		attempt.AddReport(2, reportOf(true, open(1, 9)))
		attempt.AddReport(1, reportOf(true))
		Expect(attempt.Decide()).To(Equal(budget.Granted))
	})

	It("requests whole lists if the upper bounds reach the budget", func() {
		attempt := budget.NewAttempt(10, 3, 2)
		attempt.AddReport(0, reportOf(withoutSettled, settled(1, 4)))
		attempt.AddReport(1, reportOf(withoutSettled, settled(1, 4), settled(2, 3)))
		attempt.AddReport(2, reportOf(withoutSettled, settled(1, 4)))
		Expect(attempt.NeedsWholeLists()).To(BeTrue())
		Expect(attempt.StartSecondRound()).To(BeTrue())
		attempt.AddReport(0, reportOf(true, settled(1, 4)))
		attempt.AddReport(1, reportOf(true, settled(1, 4), settled(2, 3)))
		Expect(attempt.Decide()).To(Equal(budget.Granted))
	})

	It("panics if started without a quorum", func() {
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
