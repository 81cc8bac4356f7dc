package budget

// Decision is the state of an attempt after the reports so far.
type Decision int

// Possible decisions.
const (
	// Pending means that more reports are needed.
	Pending Decision = iota
	// Granted means that the turn may run.
	Granted
	// Exhausted means that the settled turns alone use up the budget.
	Exhausted
	// Undecided means that whether the budget suffices depends on turns that are still open, or that the turn itself is
	// already settled.
	Undecided
)

// Attempt decides whether one turn may run. Members are numbered from 0.
type Attempt struct {
	budgetTokens int64
	members      int
	quorum       int

	reports        []Report
	reported       []bool
	reportCount    int  // members with a valid report in this round
	secondRound    bool // the reports were requested after a quorum had stored the reservation
	wholeRequested bool // StartSecondRound requested whole lists
}

// NewAttempt returns an attempt to reserve from a budget of tokens. The quorum is the number of members that must store
// the reservation.
func NewAttempt(budgetTokens int64, members, quorum int) *Attempt {
	return &Attempt{
		budgetTokens: budgetTokens,
		members:      members,
		quorum:       quorum,
		reports:      make([]Report, members),
		reported:     make([]bool, members),
	}
}

// AddReport adds the report of a complete member, one that holds all the entries it is responsible for. In the first round
// the member must have the reservation on disk. A report requested before StartSecondRound must not be added after it.
func (a *Attempt) AddReport(member int, report Report) {
	if a.reported[member] {
		return
	}
	a.reported[member] = true
	a.reports[member] = report
	a.reportCount++
}

// HasReported reports whether a member has reported in this round.
func (a *Attempt) HasReported(member int) bool { return a.reported[member] }

// HasQuorum reports whether a quorum has reported in this round. With a quorum in the first round, Decide waits for all
// members before it grants; the caller may stop waiting by calling StartSecondRound.
func (a *Attempt) HasQuorum() bool { return a.reportCount >= a.quorum }

// StartSecondRound discards the reports so far; the caller then asks every member again. It reports whether whole lists are
// needed. It panics unless HasQuorum.
func (a *Attempt) StartSecondRound() (whole bool) {
	if !a.HasQuorum() {
		panic("budget: second round started without a quorum")
	}
	a.wholeRequested = !a.combine().exact
	a.secondRound = true
	a.reportCount = 0
	clear(a.reports)
	clear(a.reported)
	return a.wholeRequested
}

// NeedsWholeLists reports whether all expected reports are in but their upper bounds are too coarse to decide. Another call
// of StartSecondRound then requests whole lists.
func (a *Attempt) NeedsWholeLists() bool {
	if !a.reportsSuffice() {
		return false
	}
	total := a.combine()
	return !total.exact && total.settledTokens+total.openTokens >= a.budgetTokens
}

// reportsSuffice reports whether the reports of this round suffice for a grant: those of all members, or in the second round
// those of a quorum.
func (a *Attempt) reportsSuffice() bool {
	return a.reportCount == a.members && a.reportCount >= a.quorum || a.secondRound && a.HasQuorum()
}

// Decide evaluates the reports so far.
func (a *Attempt) Decide() Decision {
	for _, r := range a.reports {
		if r.TurnClosed {
			return Undecided
		}
		if r.SettledTokens >= a.budgetTokens {
			return Exhausted // usage known to a single store is enough
		}
	}
	if !a.HasQuorum() {
		return Pending
	}
	total := a.combine()
	switch {
	case total.exact && total.settledTokens >= a.budgetTokens:
		return Exhausted
	case !a.reportsSuffice():
		return Pending // other members may know that some open turns are settled
	case total.settledTokens+total.openTokens < a.budgetTokens:
		return Granted
	case total.exact:
		return Undecided
	}
	return Pending
}

// totals holds the token sums over all reports of a round.
type totals struct {
	settledTokens, openTokens int64
	exact                     bool // otherwise both sums are upper bounds
}

func (a *Attempt) combine() totals {
	allWhole, sameSettled := a.compareReports()
	if allWhole {
		return a.combineWholeLists()
	}
	total := totals{exact: sameSettled}
	openByTurn := map[TurnKey]int64{}
	for member, r := range a.reports {
		if !a.reported[member] {
			continue
		}
		if sameSettled {
			total.settledTokens = r.SettledTokens
		} else {
			total.settledTokens += r.SettledTokens // may count a turn more than once
		}
		for _, e := range r.Entries {
			if e.Open {
				openByTurn[e.Turn] = max(openByTurn[e.Turn], e.Tokens)
			}
		}
	}
	for _, tokens := range openByTurn {
		total.openTokens += tokens
	}
	return total
}

// compareReports reports whether all reports list all entries, and whether all cover the same settled entries.
func (a *Attempt) compareReports() (allWhole, sameSettled bool) {
	allWhole, sameSettled = true, true
	first := -1
	for member, r := range a.reports {
		if !a.reported[member] {
			continue
		}
		if first < 0 {
			first = member
		}
		allWhole = allWhole && r.Whole
		sameSettled = sameSettled && r.Digest == a.reports[first].Digest
	}
	return allWhole, sameSettled
}

// combineWholeLists merges whole lists and sums them up.
func (a *Attempt) combineWholeLists() totals {
	var merged Ledger
	for member, r := range a.reports {
		if !a.reported[member] {
			continue
		}
		for _, e := range r.Entries {
			merged.Merge(e)
		}
	}
	total := totals{settledTokens: merged.settledTokens, exact: true}
	for _, s := range merged.entries {
		if s < 0 {
			total.openTokens += int64(^s)
		}
	}
	return total
}
