package tierworld

import "math/rand/v2"

// SoakTier is the tier of a soak where nothing else is asked for.
func SoakTier() Tier { return Tier{ControlPlanes: 3, Stores: 3, Proxies: 3} }

const (
	// soakStream separates the draws of a soak from others of the same seed.
	soakStream = 0x50a4
	// restartTakes is about how long a process is away that is told to stop and started again, in seconds.
	restartTakes = 4.0
	// soakRough is one in how many seeds meets unplanned trouble too: such trouble excuses what it strikes, so most days
	// are of planned work alone.
	soakRough = 3
	// soakRationed is one in how many of the others has proxies with a share of a processor, soakShare.
	soakRationed = 5
	soakShare    = 0.35
	// soakFinal is one in how many seeds ends with the final fault, soakRetire one in how many has a store emptied.
	soakFinal  = 4
	soakRetire = 7
	// finalSpan is the end of a day that the final fault takes, from the last planned work on, in seconds; finalAt is when
	// in it the fault strikes.
	finalSpan, finalAt = 15.0, 4.0
)

// Soak draws a day of planned work that comes in series and overlaps: processes are told to stop, also while they stop or
// start, settings files change, the configuration changes about each second, receivers are replaced, under a load that
// leaves no moment without requests. It has no length of outages to keep to, so that Check does not pass it; Schedule does
// what a day needs. The same seed draws the same day.
func Soak(seed uint64, seconds float64, tier Tier) *World {
	w := Default()
	w.Seconds, w.Tier, w.Trouble = seconds, tier, nil
	proxies := float64(tier.Proxies)
	w.Traffic.PlainPerS = min(300, 5*proxies)
	w.Traffic.TextsPerS = min(50, 7*proxies)
	w.Traffic.OutTokens = []int{120, 390}
	w.Traffic.Clients = 200 // so many that most connections are at rest when a notice ends
	w.Programs.PerS = min(8, proxies)
	w.Receivers.Alfa.Count, w.Receivers.Beta.Count, w.Receivers.Model.Count = 6, 4, 12
	w.Receivers.Model.Slots = 12
	s := soak{world: w, chance: rand.New(rand.NewPCG(seed, soakStream))}
	s.until = seconds
	if seed%soakFinal == 0 && seconds >= 2*finalSpan {
		s.until = seconds - finalSpan
		w.Trouble = append(w.Trouble, Trouble{What: KillAll, AtS: s.until + finalAt, ForS: 1})
	}
	s.series(0.1, 1, s.change)
	s.series(0.3, 1.7, s.reload)
	s.series(0.3*2*restartTakes/proxies, 1.7*2*restartTakes/proxies, s.restartProxy)
	s.series(restartTakes, 2*restartTakes, s.restartKeeper)
	s.series(3, 9, s.replaceReceiver)
	s.series(4, 12, s.load)
	switch {
	case seed%soakRough == 0:
		s.series(4, 10, s.unplanned)
	case seed%soakRationed == 1:
		w.Tier.ProcessorShare = soakShare
	}
	if seed%soakRetire == 0 {
		w.Trouble = append(w.Trouble, Trouble{What: Retire, On: Store, No: 0, AtS: s.between(1, s.until/2)})
	}
	return w
}

// soak is a day being drawn.
type soak struct {
	world  *World
	chance *rand.Rand
	until  float64 // planned work ends by then
}

// series adds troubles at intervals drawn between two bounds, in seconds, as long as one of them ends in time.
func (s *soak) series(least, most float64, draw func() Trouble) {
	for at := s.between(least/2, most); ; at += s.between(least, most) {
		t := draw()
		t.AtS = at
		if at+t.ForS >= s.until {
			return
		}
		s.world.Trouble = append(s.world.Trouble, t)
	}
}

func (s *soak) between(least, most float64) float64 { return least + (most-least)*s.chance.Float64() }

func (s *soak) change() Trouble {
	kinds := []What{AddRoute, RemoveRoute, MoveRoute, ChangeIdle, ChangeIdle, ChangeTimeout, Race, Invalid, Repeat}
	return Trouble{What: kinds[s.chance.IntN(len(kinds))]}
}

func (s *soak) reload() Trouble {
	role, count := s.role()
	what := Reload
	if s.chance.IntN(4) == 0 {
		what = Rewrite
	}
	return Trouble{What: what, On: role, No: s.chance.IntN(count)}
}

func (s *soak) role() (name string, count int) {
	tier := s.world.Tier
	switch s.chance.IntN(4) {
	case 0:
		return ControlPlane, tier.ControlPlanes
	case 1:
		return Store, tier.Stores
	}
	return Proxy, tier.Proxies
}

// restartProxy may choose one that stops or starts just now: then signals come in series.
func (s *soak) restartProxy() Trouble {
	what := Restart
	if s.chance.IntN(3) == 0 {
		what = RestartMachine
	}
	return Trouble{What: what, On: Proxy, No: s.chance.IntN(s.world.Tier.Proxies), ForS: s.between(0.05, 1)}
}

// restartKeeper stops one of those that keep disks, one after the other.
func (s *soak) restartKeeper() Trouble {
	if s.chance.IntN(2) == 0 {
		return Trouble{What: Restart, On: Store, No: s.chance.IntN(s.world.Tier.Stores), ForS: s.between(0.05, 1)}
	}
	return Trouble{What: Restart, On: ControlPlane, No: s.chance.IntN(s.world.Tier.ControlPlanes), ForS: s.between(0.05, 1)}
}

func (s *soak) replaceReceiver() Trouble {
	service := services[s.chance.IntN(len(services))]
	return Trouble{What: Drain, On: service, No: s.chance.IntN(s.world.Receivers.count(service)), ForS: 2.2}
}

// load makes the stops hard: more arrives, or receivers turn slow.
func (s *soak) load() Trouble {
	if s.chance.IntN(2) == 0 {
		return Trouble{What: Burst, Factor: s.between(1.3, 2.5), ForS: s.between(1, 4)}
	}
	no := s.chance.IntN(s.world.Receivers.count(Model))
	return Trouble{What: Slow, On: Model, No: no, Factor: s.between(2, 5), ForS: s.between(2, 5)}
}

func (s *soak) unplanned() Trouble {
	if s.chance.IntN(2) == 0 {
		return Trouble{What: Kill, On: Proxy, No: s.chance.IntN(s.world.Tier.Proxies), ForS: s.between(0.1, 1)}
	}
	return Trouble{What: Freeze, On: Proxy, No: s.chance.IntN(s.world.Tier.Proxies), ForS: s.between(0.2, 1.5)}
}
