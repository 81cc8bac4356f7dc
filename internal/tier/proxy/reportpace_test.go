package proxy

import (
	"testing"

	"emberquay/admission/dispatch"
)

func TestReceiversWithFreeSlotsArePolledLessOften(t *testing.T) {
	cases := []struct {
		name            string
		running, queued int
		skip            int
	}{
		{"idle", 0, 0, 1},
		{"less than half of its slots", 11, 0, 1},
		{"half of its slots", 12, 0, 0},
		{"half of its slots, with queued requests", 9, 3, 0},
		{"full", 24, 10, 0},
	}
	for _, c := range cases {
		if got := roundsToSkip(dispatch.Report{Running: c.running, Queued: c.queued}, 24); got != c.skip {
			t.Errorf("%s: got %d rounds to skip, want %d", c.name, got, c.skip)
		}
	}
}
