package admission

import (
	"math"
	"testing"
)

func TestPCGIsSeeded(t *testing.T) {
	a, b, c := NewPCG(1), NewPCG(1), NewPCG(2)
	x, y, z := a.Uint32(), b.Uint32(), c.Uint32()
	if x != y || x == z {
		t.Fatalf("same seed %d %d, other seed %d", x, y, z)
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
			t.Errorf("%d came %d times in 10,000", n, count)
		}
	}
}

func TestMeansAreExponentiallyWeighted(t *testing.T) {
	var mean float64
	UpdateEWMA(&mean, 10)
	if mean != 10 {
		t.Errorf("the first of a series gave %v", mean)
	}
	UpdateEWMA(&mean, 20)
	if mean != 12 {
		t.Errorf("10 and 20 gave %v", mean)
	}
	var failed Fraction
	for range 50 {
		failed.Observe(true)
	}
	if failed < 0.99 || failed > 1 {
		t.Errorf("50 of 50 gave %v", failed)
	}
	failed.Observe(false)
	if math.Abs(float64(failed)-0.8) > 0.01 {
		t.Errorf("one more that had it not gave %v", failed)
	}
}

func TestDecayingCountApproximatesARate(t *testing.T) {
	var f DecayingCount
	for at := range int64(100) {
		f.Add(1, at*10, 100)
	}
	if rate := f.Add(0, 990, 100); math.Abs(rate-10) > 1 {
		t.Errorf("one each 10 gave %v in a span of 100", rate)
	}
}

func TestWindowHalvesAndGrows(t *testing.T) {
	w := ConcurrencyWindow(InitialWindow)
	w.OnRefusal(20)
	if w != 4 {
		t.Errorf("8, refused with 20 out, gave %v", w)
	}
	for range 4 {
		w.OnSuccess()
	}
	if w < 4.8 || w > 5 {
		t.Errorf("a windowful answered gave %v", w)
	}
	for range 9 {
		w.OnRefusal(0)
	}
	if w != 1 {
		t.Errorf("refused often gave %v", w)
	}
}

func TestBackoffAndJitter(t *testing.T) {
	for times, want := range []int64{5, 10, 20, 40, 40} {
		if got := Backoff(int64(5), times, 3); got != want {
			t.Errorf("doubled %d times: %d", times, got)
		}
	}
	for chance, want := range map[float64]int64{0: 75, 0.5: 100, 1: 125} {
		if got := Jitter(int64(100), 0.25, chance); got != want {
			t.Errorf("chance %v gave %d", chance, got)
		}
	}
}
