package proxy

import (
	"testing"

	"emberquay/admission/dispatch"
)

func TestReportsAreAskedForOftenWhereTheAllowanceDecides(t *testing.T) {
	cases := []struct {
		name            string
		running, queued int
		skip            int
	}{
		{"idle", 0, 0, 1},
		{"under half of its slots", 11, 0, 1},
		{"half of its slots", 12, 0, 0},
		{"half with what waits", 9, 3, 0},
		{"full", 24, 10, 0},
	}
	for _, c := range cases {
		if got := roundsToSkip(dispatch.Report{Running: c.running, Queued: c.queued}, 24); got != c.skip {
			t.Errorf("%s: %d rounds are skipped, not %d", c.name, got, c.skip)
		}
	}
}
