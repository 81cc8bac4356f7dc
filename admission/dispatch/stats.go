package dispatch

// Stats is a snapshot of a dispatcher's state.
type Stats struct {
	Queued    int // requests waiting to be sent
	InFlight  int // calls
	Receivers int // listed receivers
	Allowance int // calls that all receivers together may get now
}

// Stats returns a snapshot of the dispatcher's state at now. It does not change the decisions.
func (d *Dispatcher) Stats(now Instant) Stats {
	var stats Stats
	for _, s := range d.services {
		stats.Queued += len(s.queue)
		stats.InFlight += s.inFlight
		stats.Receivers += len(s.endpoints)
		for _, e := range s.endpoints {
			stats.Allowance += e.allowance(now)
		}
	}
	return stats
}
