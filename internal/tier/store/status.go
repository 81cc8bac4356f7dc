package store

import "context"

// Status is a snapshot of a store's state and contents.
type Status struct {
	Complete  bool
	Retiring  bool
	Member    bool  // of the current view
	Epoch     int64 // of the current view; 0: none is known
	Members   int   // of the current view
	Turns     int
	TurnBytes int64 // of the records of held turns
	Programs  int
	Entries   int   // reservations of all programs, settled ones included
	RingBytes int64 // capacity of all segments of the journal
	FreeBytes int64 // of the free segments
}

// Status returns the store's status. Errors: the context's, or ErrClosed.
func (s *Store) Status(ctx context.Context) (Status, error) {
	var status Status
	err := s.do(ctx, func(t *table) bool {
		status = t.status()
		return false
	})
	if err != nil {
		return Status{}, err // the command may still run and write to status
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
