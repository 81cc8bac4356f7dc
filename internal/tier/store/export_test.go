package store

// RepairRound does one round of repair, with the other store whose turn it is.
func (s *Store) RepairRound(roundNumber int) (urgent bool) { return s.repairRound(roundNumber) }

// TurnCount counts the turns held.
func (s *Store) TurnCount() int {
	count := 0
	if err := s.do(s.ctx, func(t *table) bool { count = len(t.turns); return false }); err != nil {
		return 0
	}
	return count
}

// ProgramCount counts the programs known.
func (s *Store) ProgramCount() int {
	count := 0
	if err := s.do(s.ctx, func(t *table) bool { count = len(t.programs); return false }); err != nil {
		return 0
	}
	return count
}

// OldestSegment is the oldest segment of the journal.
func (s *Store) OldestSegment() uint64 { return s.journal.OldestSegment() }
