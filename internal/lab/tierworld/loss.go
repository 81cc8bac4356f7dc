package tierworld

import "math/rand/v2"

const (
	// lossRandStream is the PCG stream of LossSoak.
	lossRandStream = 0x1055
	// lossStartSeconds is the earliest time of the first loss; lossIntervalSeconds is the least time between two, in which
	// a process with an empty disk has recovered; lossJudgedSeconds is left after the last one and the time for recovery.
	lossStartSeconds, lossIntervalSeconds, lossJudgedSeconds = 3.0, 6.0, 4.0
	// maxRestartSeconds is the longest time within which all processes are started again after a loss of power.
	maxRestartSeconds = 2.5
	// smallIdleRoutes, middleIdleRoutes and manyIdleRoutes make configurations of some 5 kB, 0.4 MB and 3.6 MB.
	smallIdleRoutes, middleIdleRoutes, manyIdleRoutes = 8, 1_200, 10_800
	// One in largeSeedInterval seeds has a configuration of each of the larger sizes.
	largeSeedInterval = 4
)

// LossSoak draws a day on which the configuration changes about once a second, while power and disks are lost around the
// acknowledgements: all processes at once, with or without one disk, before or after an acknowledgement, and single control
// planes that have just given one. The last loss is one of all power, after which there is time for the recovery, which is in
// seconds as well. The load is low. The same seed draws the same day.
func LossSoak(seed uint64, seconds, recovery float64, tier Tier) *World {
	w := Default()
	w.Seconds, w.Tier, w.Trouble = seconds, tier, nil
	w.Traffic.PlainPerS, w.Traffic.TextsPerS, w.Programs.PerS = 40, 4, 2
	w.Traffic.Clients = 60
	w.Tier.IdleRoutes = smallIdleRoutes
	switch seed % largeSeedInterval {
	case 1:
		w.Tier.IdleRoutes = middleIdleRoutes
	case 3:
		w.Tier.IdleRoutes = manyIdleRoutes
	}
	b := soakBuilder{world: w, rng: rand.New(rand.NewPCG(seed, lossRandStream))}
	b.plannedEndSeconds = seconds
	b.addSeries(0.4, 1.4, b.drawConfigChange)
	last := seconds - recovery - lossJudgedSeconds - maxRestartSeconds
	for at := b.uniform(lossStartSeconds, lossStartSeconds+2); at+lossIntervalSeconds < last; at += lossIntervalSeconds + b.uniform(0, 2) {
		b.addLoss(at)
	}
	b.addPowerLoss(last)
	return w
}

// addLoss adds a loss in the course of the day.
func (s *soakBuilder) addLoss(at float64) {
	index := s.rng.IntN(s.world.Tier.ControlPlanes)
	switch s.rng.IntN(4) {
	case 0:
		s.addTrouble(Trouble{Kind: LoseAcknowledger, AtS: at, ForS: s.uniform(0.2, 2)})
	case 1: // a control plane misses changes, and returns while another one's disk is lost
		down := s.uniform(1.5, 3)
		s.addTrouble(Trouble{Kind: Kill, Target: ControlPlane, Index: index, AtS: at, ForS: down + s.uniform(0, 1)})
		other := (index + 1) % s.world.Tier.ControlPlanes
		s.addTrouble(Trouble{Kind: LosePower, Target: ControlPlane, Index: other, AtS: at + down, ForS: s.uniform(0.2, maxRestartSeconds)})
	case 2:
		s.addTrouble(Trouble{Kind: Freeze, Target: ControlPlane, Index: index, AtS: at, ForS: s.uniform(0.5, 3)})
	default:
		s.addPowerLoss(at)
	}
}

// addPowerLoss adds a loss of all power, of one disk or none.
func (s *soakBuilder) addPowerLoss(at float64) {
	t := Trouble{Kind: LosePower, AtS: at, ForS: s.uniform(0.2, maxRestartSeconds)}
	if s.rng.IntN(3) == 0 {
		t.Kind = LosePowerEarly
	}
	switch s.rng.IntN(4) {
	case 0:
	case 1:
		t.Target, t.Index = Store, s.rng.IntN(s.world.Tier.Stores)
	default:
		t.Target, t.Index = ControlPlane, s.rng.IntN(s.world.Tier.ControlPlanes)
	}
	s.addTrouble(t)
}

func (s *soakBuilder) addTrouble(t Trouble) { s.world.Trouble = append(s.world.Trouble, t) }
