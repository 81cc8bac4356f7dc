package admission

import (
	"math"
	"testing"
)

func TestPCGIsSeeded(t *testing.T) {
	a, b, c := NewPCG(1), NewPCG(1), NewPCG(2)
	x, y, z := a.Uint32(), b.Uint32(), c.Uint32()
	if x != y || x == z {
		t.Fatalf("same seed: %d and %d, other seed: %d", x, y, z)
	}
}

func TestNumbersAreUniform(t *testing.T) {
	g := NewPCG(7)
	var counts [10]int
	for range 10_000 {
		counts[g.IntN(10)]++
		if u := g.Float64(); u < 0 || u >= 1 {
			t.Fatalf("%v is not in [0, 1)", u)
		}
	}
	for n, count := range counts {
		if count < 900 || count > 1100 {
			t.Errorf("%d drawn %d times in 10,000", n, count)
		}
	}
}

func TestMeansAreExponentiallyWeighted(t *testing.T) {
	var mean float64
	UpdateEWMA(&mean, 10)
	if mean != 10 {
		t.Errorf("mean after the first value 10: %v", mean)
	}
	UpdateEWMA(&mean, 20)
	if mean != 12 {
		t.Errorf("mean after 10 and 20: %v", mean)
	}
	var failed Fraction
	for range 50 {
		failed.Observe(true)
	}
	if failed < 0.99 || failed > 1 {
		t.Errorf("share after 50 of 50: %v", failed)
	}
	failed.Observe(false)
	if math.Abs(float64(failed)-0.8) > 0.01 {
		t.Errorf("share after one more event without the property: %v", failed)
	}
}

func TestDecayingCountApproximatesARate(t *testing.T) {
	var f DecayingCount
	for at := range int64(100) {
		f.Add(1, at*10, 100)
	}
	if rate := f.Add(0, 990, 100); math.Abs(rate-10) > 1 {
		t.Errorf("count with one event each 10 and a time constant of 100: %v", rate)
	}
}

func TestWindowHalvesAndGrows(t *testing.T) {
	w := ConcurrencyWindow(InitialWindow)
	w.OnRefusal(20)
	if w != 4 {
		t.Errorf("window after a refusal with 20 in flight: %v", w)
	}
	for range 4 {
		w.OnSuccess()
	}
	if w < 4.8 || w > 5 {
		t.Errorf("window after one window of successes: %v", w)
	}
	for range 9 {
		w.OnRefusal(0)
	}
	if w != 1 {
		t.Errorf("window after many refusals: %v", w)
	}
}

func TestBackoffAndJitter(t *testing.T) {
	for times, want := range []int64{5, 10, 20, 40, 40} {
		if got := Backoff(int64(5), times, 3); got != want {
			t.Errorf("pause doubled %d times: %d", times, got)
		}
	}
	for chance, want := range map[float64]int64{0: 75, 0.5: 100, 1: 125} {
		if got := Jitter(int64(100), 0.25, chance); got != want {
			t.Errorf("pause with random number %v: %d", chance, got)
		}
	}
}
