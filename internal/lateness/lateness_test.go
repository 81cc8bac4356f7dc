package lateness

import (
	"testing"
	"testing/synctest"
	"time"
)

// What counts is the worst of the window under way and of the one before it.
func TestObserve(t *testing.T) {
	start := time.Unix(1, 0)
	w := windows{start: start}
	for _, c := range []struct{ at, late, want time.Duration }{
		{0, time.Millisecond, InitialMax}, // a few looks show little
		{time.Second, 40 * time.Millisecond, 40 * time.Millisecond},
		{9 * time.Second, 0, 40 * time.Millisecond},
		{10 * time.Second, time.Millisecond, 40 * time.Millisecond}, // the window before
		{19 * time.Second, 2 * time.Millisecond, 40 * time.Millisecond},
		{20 * time.Second, 0, 2 * time.Millisecond},
		{30 * time.Second, 0, 0},
	} {
		if got := w.observe(start.Add(c.at), c.late); got != c.want {
			t.Errorf("after %v, %v late: worst %v, want %v", c.at, c.late, got, c.want)
		}
	}
}

// In a bubble no timer is late.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stop := make(chan struct{})
		m := StartMonitor(stop)
		first := m.Max()
		<-time.After(Window + 2*SampleInterval)
		synctest.Wait()
		if first != InitialMax || m.Max() != 0 {
			t.Errorf("worst %v at first, %v after a window", first, m.Max())
		}
		close(stop)
	})
}
