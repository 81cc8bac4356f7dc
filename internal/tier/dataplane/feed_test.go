package dataplane

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestThrottledUpdate runs on the synthetic clock of synctest.
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
			t.Fatalf("first change: updates %v, want [1] at once", updates)
		}

		for state < 600 {
			state++
			u.trigger()
			synctest.Wait()
		}
		time.Sleep(minUpdateInterval)
		synctest.Wait()
		if len(updates) != 2 || updates[1] != 600 {
			t.Fatalf("changes in quick succession: updates %v, want one more, with 600", updates)
		}

		u.close()
		synctest.Wait()
		u.trigger()
		time.Sleep(10 * minUpdateInterval)
		synctest.Wait()
		if len(updates) != 2 {
			t.Fatalf("update after close: %v", updates)
		}
	})
}
