package dispatch

// Stats is what a dispatcher holds at a moment.
type Stats struct {
	Queued    int // requests that are held
	InFlight  int // calls that are out
	Receivers int // listed
	Allowance int // calls that all receivers together may get now
}

// Stats looks at what the dispatcher holds. It changes nothing.
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
