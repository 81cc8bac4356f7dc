package store

import "context"

// Status is what a store is and holds at one instant.
type Status struct {
	Complete  bool
	Retiring  bool
	Member    bool  // of the view by which it works
	Epoch     int64 // of that view; 0: none is known
	Members   int   // of that view
	Turns     int
	TurnBytes int64 // of the turns' records on the disk
	Programs  int
	Entries   int   // reservations of all programs, settled ones too
	RingBytes int64 // of all segments that the ring may have
	FreeBytes int64 // of those that hold nothing
}

// Status looks at the store. Errors: the context's, or ErrClosed.
func (s *Store) Status(ctx context.Context) (Status, error) {
	var status Status
	err := s.do(ctx, func(t *table) bool {
		status = t.status()
		return false
	})
	if err != nil {
		return Status{}, err // the command may still run
	}
	return status, nil
}

func (t *table) status() Status {
	status := Status{
		Complete: t.meta.Complete, Retiring: t.retiring(), Member: t.self >= 0,
		Epoch: t.meta.View.Epoch, Members: len(t.meta.View.Members),
		Turns: len(t.turns), Programs: len(t.programs), Entries: t.entryCount,
		RingBytes: t.segmentBytes * segmentCount, FreeBytes: t.segmentBytes * int64(t.journal.FreeSegments()),
	}
	for _, bytes := range t.liveTurnBytes {
		status.TurnBytes += bytes
	}
	return status
}
