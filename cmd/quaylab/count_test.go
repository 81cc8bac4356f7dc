package main

import (
	"strings"
	"testing"
)

const fleetLog = `0.012 time=2026-12-01T10:00:00.500Z level=INFO event=ready part=serve name=n1
1.000 time=2026-12-01T10:00:01.400Z level=INFO event=counted part=sender over=1s taken=5 refused=2 delivered=4 nacked=1 undeliverable=0 submits=6 full=2 crowded=1 no_connection=0 no_answer=0 errored=0 unsent=0 dials=3 held=1 out=0 conns=2
the supervisor says something
time=nonsense event=ready
time=2026-12-01T10:00:01.900Z level=WARN event=watch_ended part=directory version=7 err="dial: time=1 event=ready"
` + "time=2026-12-01T10:00:01.950Z event=listed " + `
time=2026-12-01T10:00:01.100Z level=INFO event=counted part=sender over=1s taken=1 refused=0 delivered=1 submits=1 full=0 dials=1
time=2026-12-01T13:00:00.000Z level=INFO event=repeat part=sender text=1 no=2 to=3 after=1s
`

// The counts of two senders are summed per second; foreign, malformed and overlong lines are skipped, and a gap of hours
// is a single row.
func TestCountAddsUpAFleet(t *testing.T) {
	var sum fleetTotals
	long := "time=2026-12-01T10:00:01.000Z event=ready " + strings.Repeat("x", 3*maxLineBytes) + "\n"
	if err := sum.readLog(strings.NewReader(long + fleetLog)); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	sum.printTable(&out)
	var got []string
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n")[1:] {
		got = append(got, strings.Join(strings.Fields(line), " "))
	}
	want := []string{
		"0 0 0 0 0 0 0 0 0 0 0 0 0 0 0 0 1",
		"1 8 5 2 1 0 7 2 1 0 0 0 4 1 1 0 0",
		"...",
		"10800 0 0 0 0 0 0 0 0 0 0 0 0 0 0 1 0",
		"all 8 5 2 1 0 7 2 1 0 0 0 4 1 1 1 1",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if !sum.hasCounts {
		t.Error("no event=counted line was recognized")
	}
}
