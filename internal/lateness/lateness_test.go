package lateness

import (
	"testing"
	"testing/synctest"
	"time"
)

// The result is the maximum of the current and of the previous window.
func TestObserve(t *testing.T) {
	start := time.Unix(1, 0)
	w := windows{start: start}
	for _, c := range []struct{ at, late, want time.Duration }{
		{0, time.Millisecond, InitialMax}, // InitialMax until the first window is complete
		{time.Second, 40 * time.Millisecond, 40 * time.Millisecond},
		{9 * time.Second, 0, 40 * time.Millisecond},
		{10 * time.Second, time.Millisecond, 40 * time.Millisecond}, // maximum of the previous window
		{19 * time.Second, 2 * time.Millisecond, 40 * time.Millisecond},
		{20 * time.Second, 0, 2 * time.Millisecond},
		{30 * time.Second, 0, 0},
	} {
		if got := w.observe(start.Add(c.at), c.late); got != c.want {
			t.Errorf("after %v, %v late: max %v, want %v", c.at, c.late, got, c.want)
		}
	}
}

// With synctest's clock no timer is late.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stop := make(chan struct{})
		m := StartMonitor(stop)
		first := m.Max()
		<-time.After(Window + 2*SampleInterval)
		synctest.Wait()
		if first != InitialMax || m.Max() != 0 {
			t.Errorf("max %v at first, %v after a window", first, m.Max())
		}
		close(stop)
	})
}
