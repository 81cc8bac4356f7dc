package tierworld

import "math/rand/v2"

// DefaultSoakTier returns the tier of a soak unless another one is requested.
func DefaultSoakTier() Tier { return Tier{ControlPlanes: 3, Stores: 3, Proxies: 3} }

const (
	// soakRandStream is the PCG stream of a soak; it keeps its draws independent of others with the same seed.
	soakRandStream = 0x50a4
	// restartSeconds is roughly how long a process is unavailable during a graceful restart.
	restartSeconds = 4.0
	// One in unplannedSeedInterval seeds also has unplanned trouble. The rules excuse failures caused by such trouble, so
	// most days have planned work only.
	unplannedSeedInterval = 3
	// Of the other seeds, those with a remainder of 1 when divided by cpuShareSeedInterval limit each proxy to the share
	// soakCPUShare of a processor.
	cpuShareSeedInterval = 5
	soakCPUShare         = 0.35
	// One in killAllSeedInterval seeds ends with kill_all; one in retireSeedInterval retires a store.
	killAllSeedInterval = 4
	retireSeedInterval  = 7
	// killAllSpanSeconds is the time reserved for kill_all at the end of a day, after the last planned work;
	// killAllOffsetSeconds is the time from its start to the fault.
	killAllSpanSeconds, killAllOffsetSeconds = 15.0, 4.0
)

// Soak draws a day of series of overlapping planned work: processes receive SIGTERM, also while they stop or start,
// settings files change, the configuration changes about once a second, and receivers are replaced, under a load that
// never leaves the tier without requests. Outages may overlap, so Check may reject the world; Schedule accepts it. The
// same seed draws the same day.
func Soak(seed uint64, seconds float64, tier Tier) *World {
	w := Default()
	w.Seconds, w.Tier, w.Trouble = seconds, tier, nil
	proxies := float64(tier.Proxies)
	w.Traffic.PlainPerS = min(300, 5*proxies)
	w.Traffic.TextsPerS = min(50, 7*proxies)
	w.Traffic.OutTokens = []int{120, 390}
	w.Traffic.Clients = 200 // so many that most connections are idle when a notice ends
	w.Programs.PerS = min(8, proxies)
	w.Receivers.Alfa.Count, w.Receivers.Beta.Count, w.Receivers.Model.Count = 6, 4, 12
	w.Receivers.Model.Slots = 12
	builder := soakBuilder{world: w, rng: rand.New(rand.NewPCG(seed, soakRandStream))}
	builder.plannedEndSeconds = seconds
	if seed%killAllSeedInterval == 0 && seconds >= 2*killAllSpanSeconds {
		builder.plannedEndSeconds = seconds - killAllSpanSeconds
		w.Trouble = append(w.Trouble, Trouble{Kind: KillAll, AtS: builder.plannedEndSeconds + killAllOffsetSeconds, ForS: 1})
	}
	builder.addSeries(0.1, 1, builder.drawConfigChange)
	builder.addSeries(0.3, 1.7, builder.drawSettingsReload)
	builder.addSeries(0.3*2*restartSeconds/proxies, 1.7*2*restartSeconds/proxies, builder.drawProxyRestart)
	builder.addSeries(restartSeconds, 2*restartSeconds, builder.drawDiskRoleRestart)
	builder.addSeries(3, 9, builder.drawReceiverReplacement)
	builder.addSeries(4, 12, builder.drawAddedLoad)
	switch {
	case seed%unplannedSeedInterval == 0:
		builder.addSeries(4, 10, builder.drawUnplannedTrouble)
	case seed%cpuShareSeedInterval == 1:
		w.Tier.ProcessorShare = soakCPUShare
	}
	if seed%retireSeedInterval == 0 {
		w.Trouble = append(w.Trouble, Trouble{Kind: Retire, Target: Store, Index: 0, AtS: builder.uniform(1, builder.plannedEndSeconds/2)})
	}
	return w
}

// soakBuilder holds the state while a day is drawn.
type soakBuilder struct {
	world             *World
	rng               *rand.Rand
	plannedEndSeconds float64 // time by which planned work has ended
}

// addSeries adds troubles at intervals drawn between two bounds, in seconds, until one would end after
// plannedEndSeconds.
func (s *soakBuilder) addSeries(least, most float64, draw func() Trouble) {
	for at := s.uniform(least/2, most); ; at += s.uniform(least, most) {
		t := draw()
		t.AtS = at
		if at+t.ForS >= s.plannedEndSeconds {
			return
		}
		s.world.Trouble = append(s.world.Trouble, t)
	}
}

func (s *soakBuilder) uniform(least, most float64) float64 {
	return least + (most-least)*s.rng.Float64()
}

func (s *soakBuilder) drawConfigChange() Trouble {
	kinds := []TroubleKind{AddRoute, RemoveRoute, MoveRoute, ChangeIdle, ChangeIdle, ChangeTimeout, Race, Invalid, Repeat}
	return Trouble{Kind: kinds[s.rng.IntN(len(kinds))]}
}

func (s *soakBuilder) drawSettingsReload() Trouble {
	role, count := s.drawRole()
	what := Reload
	if s.rng.IntN(4) == 0 {
		what = Rewrite
	}
	return Trouble{Kind: what, Target: role, Index: s.rng.IntN(count)}
}

func (s *soakBuilder) drawRole() (name string, count int) {
	tier := s.world.Tier
	switch s.rng.IntN(4) {
	case 0:
		return ControlPlane, tier.ControlPlanes
	case 1:
		return Store, tier.Stores
	}
	return Proxy, tier.Proxies
}

// drawProxyRestart may choose a proxy that is stopping or starting, which then receives several signals in a row.
func (s *soakBuilder) drawProxyRestart() Trouble {
	what := Restart
	if s.rng.IntN(3) == 0 {
		what = RestartMachine
	}
	return Trouble{Kind: what, Target: Proxy, Index: s.rng.IntN(s.world.Tier.Proxies), ForS: s.uniform(0.05, 1)}
}

// drawDiskRoleRestart restarts a process that stores data on disk. The interval of its series makes these restarts
// happen one after the other.
func (s *soakBuilder) drawDiskRoleRestart() Trouble {
	if s.rng.IntN(2) == 0 {
		return Trouble{Kind: Restart, Target: Store, Index: s.rng.IntN(s.world.Tier.Stores), ForS: s.uniform(0.05, 1)}
	}
	return Trouble{Kind: Restart, Target: ControlPlane, Index: s.rng.IntN(s.world.Tier.ControlPlanes), ForS: s.uniform(0.05, 1)}
}

func (s *soakBuilder) drawReceiverReplacement() Trouble {
	service := services[s.rng.IntN(len(services))]
	return Trouble{Kind: Drain, Target: service, Index: s.rng.IntN(s.world.Receivers.receiverCount(service)), ForS: 2.2}
}

// drawAddedLoad makes graceful stops harder by more arrivals or by a slow receiver.
func (s *soakBuilder) drawAddedLoad() Trouble {
	if s.rng.IntN(2) == 0 {
		return Trouble{Kind: Burst, Factor: s.uniform(1.3, 2.5), ForS: s.uniform(1, 4)}
	}
	no := s.rng.IntN(s.world.Receivers.receiverCount(Model))
	return Trouble{Kind: Slow, Target: Model, Index: no, Factor: s.uniform(2, 5), ForS: s.uniform(2, 5)}
}

func (s *soakBuilder) drawUnplannedTrouble() Trouble {
	if s.rng.IntN(2) == 0 {
		return Trouble{Kind: Kill, Target: Proxy, Index: s.rng.IntN(s.world.Tier.Proxies), ForS: s.uniform(0.1, 1)}
	}
	return Trouble{Kind: Freeze, Target: Proxy, Index: s.rng.IntN(s.world.Tier.Proxies), ForS: s.uniform(0.2, 1.5)}
}
