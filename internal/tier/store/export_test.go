package store

// Round does one round of repair, with the other store whose turn it is.
func (s *Store) Round(turn int) (urgent bool) { return s.round(turn) }

// Turns counts the turns held.
func (s *Store) Turns() int {
	count := 0
	if err := s.do(s.ctx, func(t *table) bool { count = len(t.turns); return false }); err != nil {
		return 0
	}
	return count
}

// Programs counts the programs known.
func (s *Store) ProgramsKnown() int {
	count := 0
	if err := s.do(s.ctx, func(t *table) bool { count = len(t.programs); return false }); err != nil {
		return 0
	}
	return count
}

// Oldest is the oldest segment of the journal.
func (s *Store) Oldest() uint64 { return s.journal.Oldest() }
