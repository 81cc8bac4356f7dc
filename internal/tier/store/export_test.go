package store

// RepairRound runs one repair round.
func (s *Store) RepairRound(roundNumber int) (urgent bool) { return s.repairRound(roundNumber) }

// TurnCount returns the number of held turns.
func (s *Store) TurnCount() int {
	count := 0
	if err := s.do(s.ctx, func(t *table) bool { count = len(t.turns); return false }); err != nil {
		return 0
	}
	return count
}

// ProgramCount returns the number of known programs.
func (s *Store) ProgramCount() int {
	count := 0
	if err := s.do(s.ctx, func(t *table) bool { count = len(t.programs); return false }); err != nil {
		return 0
	}
	return count
}

// OldestSegment returns the oldest segment of the journal.
func (s *Store) OldestSegment() uint64 { return s.journal.OldestSegment() }
