package hashing_test

import (
	"testing"

	"emberquay/coordination/hashing"
)

// The results must not change, because stores of different builds compare digests. The expected values are the first
// three outputs of splitmix64 from the seed 0, as published by its authors.
func TestValuesAreFixed(t *testing.T) {
	state := uint64(0)
	for i, want := range []uint64{0xe220a8397b1dcdaf, 0x6e789e6aa1b965f4, 0x06c45d188009454f} {
		state += hashing.GoldenGamma
		if got := hashing.Mix(state); got != want {
			t.Errorf("output %d of splitmix64: %#x, not %#x", i, got, want)
		}
	}
	if a, b := hashing.Pair(1, 2), hashing.Pair(2, 1); a == b {
		t.Errorf("swapping key and value gives the same hash: %#x", a)
	}
}
