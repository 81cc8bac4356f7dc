package budget

// Decision is what an attempt wants next.
type Decision int

// The actions.
const (
	// Pending: more reports are needed.
	Pending Decision = iota
	// Granted: the turn may run.
	Granted
	// Exhausted: settled turns alone reach the budget.
	Exhausted
	// Undecided: turns that are still open decide, or the turn itself was settled before.
	Undecided
)

// Attempt decides on one turn. Members are numbered from 0.
type Attempt struct {
	budget  int64
	members int
	quorum  int

	reports  []Report
	reported []bool
	kept     int  // members that keep the reservation and whose report counts
	second   bool // the reports were asked for after a quorum had kept the reservation
	whole    bool // Recheck asked for whole lists
}

// NewAttempt begins an attempt at a budget of tokens; quorum is how many of the members have to keep the reservation.
func NewAttempt(budget int64, members, quorum int) *Attempt {
	return &Attempt{
		budget:   budget,
		members:  members,
		quorum:   quorum,
		reports:  make([]Report, members),
		reported: make([]bool, members),
	}
}

// AddReport takes the report of a member that is complete: it knows all that it should. In the first round the member has
// to have the reservation on its disk. A report that was asked for before Recheck must not be given after it.
func (a *Attempt) AddReport(member int, r Report) {
	if a.reported[member] {
		return
	}
	a.reported[member] = true
	a.reports[member] = r
	a.kept++
}

// HasReported says whether a member has reported in this round.
func (a *Attempt) HasReported(member int) bool { return a.reported[member] }

// HasQuorum says whether a quorum has reported in this round. In the first round, Next waits for all members then; the
// caller may end that by Recheck.
func (a *Attempt) HasQuorum() bool { return a.kept >= a.quorum }

// StartSecondRound begins a second round: every member is to be asked once more. It says whether whole lists are needed. It must
// only be called when Quorate.
func (a *Attempt) StartSecondRound() (whole bool) {
	if !a.HasQuorum() {
		panic("budget: recheck without a quorum")
	}
	a.whole = !a.union().exact
	a.second = true
	a.kept = 0
	clear(a.reports)
	clear(a.reported)
	return a.whole
}

// NeedsWholeLists says that all that can be known has come, but not exactly enough: another Recheck brings whole lists.
func (a *Attempt) NeedsWholeLists() bool {
	if !a.enough() {
		return false
	}
	u := a.union()
	return !u.exact && u.settled+u.open >= a.budget
}

// enough says whether the reports of this round would do for a grant.
func (a *Attempt) enough() bool {
	return a.kept == a.members && a.kept >= a.quorum || a.second && a.HasQuorum()
}

// Decide says what follows from the reports so far.
func (a *Attempt) Decide() Decision {
	for _, r := range a.reports {
		if r.TurnClosed {
			return Undecided
		}
		if r.SettledTokens >= a.budget {
			return Exhausted // what one store knows to be used is used
		}
	}
	if !a.HasQuorum() {
		return Pending
	}
	u := a.union()
	switch {
	case u.exact && u.settled >= a.budget:
		return Exhausted
	case !a.enough():
		return Pending // the others may know that some of the open ones have ended
	case u.settled+u.open < a.budget:
		return Granted
	case u.exact:
		return Undecided
	}
	return Pending
}

// union is what the reports know together.
type union struct {
	settled, open int64
	exact         bool // else both are upper bounds
}

func (a *Attempt) union() union {
	whole, alike := a.shapes()
	if whole {
		return a.listed()
	}
	u := union{exact: alike}
	open := map[TurnKey]int64{}
	for at, r := range a.reports {
		if !a.reported[at] {
			continue
		}
		if alike {
			u.settled = r.SettledTokens
		} else {
			u.settled += r.SettledTokens // a turn may count more than once
		}
		for _, e := range r.Entries {
			if e.Open {
				open[e.Turn] = max(open[e.Turn], e.Tokens)
			}
		}
	}
	for _, tokens := range open {
		u.open += tokens
	}
	return u
}

// shapes says whether all reports list all entries, and whether all know the same settled entries.
func (a *Attempt) shapes() (whole, alike bool) {
	whole, alike = true, true
	first := -1
	for at, r := range a.reports {
		if !a.reported[at] {
			continue
		}
		if first < 0 {
			first = at
		}
		whole = whole && r.Whole
		alike = alike && r.Digest == a.reports[first].Digest
	}
	return whole, alike
}

// listed is the union of whole lists.
func (a *Attempt) listed() union {
	var together Ledger
	for at, r := range a.reports {
		if !a.reported[at] {
			continue
		}
		for _, e := range r.Entries {
			together.Merge(e)
		}
	}
	u := union{settled: together.settled, exact: true}
	for _, s := range together.entries {
		if s < 0 {
			u.open += int64(^s)
		}
	}
	return u
}
