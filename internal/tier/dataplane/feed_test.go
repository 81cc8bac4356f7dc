package dataplane

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestFeed runs in a bubble with a clock of its own.
func TestFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := 0
		var handed []int
		f := newFeed(func() { handed = append(handed, state) })
		go f.run()
		synctest.Wait()

		state = 1
		f.changed()
		synctest.Wait()
		if len(handed) != 1 || handed[0] != 1 {
			t.Fatalf("a change after a pause is not handed over at once: %v", handed)
		}

		for state < 600 {
			state++
			f.changed()
			synctest.Wait()
		}
		time.Sleep(feedInterval)
		synctest.Wait()
		if len(handed) != 2 || handed[1] != 600 {
			t.Fatalf("changes that follow each other are not handed over together, the last among them: %v", handed)
		}

		f.close()
		synctest.Wait()
		f.changed()
		time.Sleep(10 * feedInterval)
		synctest.Wait()
		if len(handed) != 2 {
			t.Fatalf("handed over after the end: %v", handed)
		}
	})
}
