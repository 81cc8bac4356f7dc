package fleet

import (
	"os"
	"reflect"
	"testing"

	"emberquay/internal/lab/world"
)

// readDaysAtSize reads the described world of the documentation, which can also be run by hand.
func readDaysAtSize(t *testing.T) *world.World {
	t.Helper()
	raw, err := os.ReadFile("../../../docs/worlds/days-at-size.toml")
	if err != nil {
		t.Fatal(err)
	}
	w, err := world.Read(raw)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

func runDay(t *testing.T, w *world.World, seed uint64) (*Simulation, *world.Day) {
	t.Helper()
	day, err := w.Draw(seed)
	if err != nil {
		t.Fatal(err)
	}
	sim, err := New(day)
	if err != nil {
		t.Fatal(err)
	}
	sim.Run()
	for _, b := range sim.Referee.Breaches {
		t.Errorf("seed %d: %s\n%v", seed, b, b.Last)
	}
	return sim, day
}

// earnedAndRefused returns the revenue earned in time, as a share of what capacity alone would have allowed, and the
// refused calls per text.
func earnedAndRefused(sim *Simulation, day *world.Day) (earned, refused float64) {
	account, bound := sim.Referee.Account(), 0.0
	for _, worth := range day.BestRevenue() {
		bound += worth
	}
	texts, refusals := 0, 0
	for _, x := range account.Products {
		texts += x.Texts
	}
	for _, s := range sim.Seconds {
		refusals += s.Refused
	}
	inTime, _, _ := account.Revenue()
	return inTime / bound, float64(refusals) / float64(texts)
}

// deliveryRate returns the texts delivered per second in the seconds from (inclusive) to to (exclusive).
func deliveryRate(sim *Simulation, from, to int) float64 {
	sum := 0
	for _, s := range sim.Seconds[from:to] {
		sum += s.Delivered
	}
	return float64(sum) / float64(to-from)
}

// Runs eighty senders that share a few limits. The bounds lie just beyond what the module reaches; those on a burst also
// fail a module that sends calls until they are refused (0.809 earned, 0.214 refused).
func TestDaysAtSize(t *testing.T) {
	for _, c := range []struct {
		name       string
		trouble    []world.Trouble
		fate       []world.Fate
		minEarned  float64 // lower bound of the revenue earned in time, as a share of what capacity allows
		maxRefused float64 // upper bound of the refused calls per text
		overAt     int     // second in which the trouble is over; 0: recovery is not checked
	}{
		{"nothing", nil, nil, 0.98, 0.028, 0},
		{"a burst", []world.Trouble{{What: "flash", AtS: 6, ForS: 5, Factor: 0.6}}, nil, 0.85, 0.13, 11},
		{"limits halved", []world.Trouble{{What: "cut", AtS: 6, ForS: 9, Share: 0.6, Factor: 0.5}}, nil, 0.77, 0.16, 15},
		{"half down", []world.Trouble{{What: "refuse", AtS: 6, ForS: 5, Share: 0.5}}, nil, 0.84, 0.028, 0}, // the receivers are also cold for ten seconds; the loss comes from the return budget
		{"most killed", nil, []world.Fate{{What: "kill", Share: 0.7, AtS: 8, DownS: 1.5}}, 0.96, 0.042, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := readDaysAtSize(t)
			w.Trouble, w.Fate = c.trouble, c.fate
			for seed := uint64(1); seed <= 2; seed++ {
				sim, day := runDay(t, w, seed)
				earned, refused := earnedAndRefused(sim, day)
				t.Logf("seed %d: %.3f earned, %.3f calls refused for each text", seed, earned, refused)
				if earned < c.minEarned || refused > c.maxRefused {
					t.Errorf("seed %d: %.3f of the revenue earned in time, %.3f calls refused for each text", seed, earned, refused)
				}
				if c.overAt == 0 {
					continue
				}
				// Probes after a refusal come within three parts of a limit, about a second here: most receivers are back
				// after two seconds.
				calm, _ := runDay(t, readDaysAtSize(t), seed)
				if rate, calmRate := deliveryRate(sim, c.overAt+2, c.overAt+6), deliveryRate(calm, c.overAt+2, c.overAt+6); rate < 0.7*calmRate {
					t.Errorf("seed %d: %.0f texts a second once it is over, %.0f on a day without it", seed, rate, calmRate)
				}
			}
		})
	}
}

// The same day must give the same run each time, to the last call.
func TestSameDayGivesSameRun(t *testing.T) {
	w := readDaysAtSize(t)
	w.Seconds, w.Fate = 6, []world.Fate{{What: "kill", Share: 0.5, AtS: 2, DownS: 1}}
	first, _ := runDay(t, w, 3)
	second, _ := runDay(t, w, 3)
	if !reflect.DeepEqual(first.Seconds, second.Seconds) || !reflect.DeepEqual(first.Referee.Account(), second.Referee.Account()) || first.lastCallID != second.lastCallID || first.lastCallID == 0 {
		t.Errorf("%d calls the first time, %d the second", first.lastCallID, second.lastCallID)
	}
}
