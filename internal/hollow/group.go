package hollow

import (
	"errors"
	"sync"
)

// group runs steps at the same time and joins their errors.
type group struct {
	running sync.WaitGroup
	mutex   sync.Mutex
	failed  []error // guarded by mutex
}

func (g *group) Go(step func() error) {
	g.running.Go(func() {
		err := step()
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.failed = append(g.failed, err)
	})
}

func (g *group) Wait() error {
	g.running.Wait()
	return errors.Join(g.failed...)
}
