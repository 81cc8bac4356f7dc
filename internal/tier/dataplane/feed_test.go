package dataplane

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestThrottledUpdate runs in a bubble with a clock of its own.
func TestThrottledUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := 0
		var updates []int
		u := newThrottledUpdate(func() { updates = append(updates, state) })
		go u.run()
		synctest.Wait()

		state = 1
		u.trigger()
		synctest.Wait()
		if len(updates) != 1 || updates[0] != 1 {
			t.Fatalf("a change after a pause is not handed over at once: %v", updates)
		}

		for state < 600 {
			state++
			u.trigger()
			synctest.Wait()
		}
		time.Sleep(minUpdateInterval)
		synctest.Wait()
		if len(updates) != 2 || updates[1] != 600 {
			t.Fatalf("changes that follow each other are not handed over together, the last among them: %v", updates)
		}

		u.close()
		synctest.Wait()
		u.trigger()
		time.Sleep(10 * minUpdateInterval)
		synctest.Wait()
		if len(updates) != 2 {
			t.Fatalf("handed over after the end: %v", updates)
		}
	})
}
