package hollow

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rotisserie/eris"

	"emberquay/internal/controlplane"
	"emberquay/internal/dataplane"
	"emberquay/internal/settings"
)

// stopPatience bounds the planned end of a plane.
const stopPatience = 5 * time.Second

// Worker runs planes in this process. It implements Host.
type Worker struct {
	log       log.Interface
	sightings *sightings
	reporter  reporter

	mutex    sync.Mutex
	controls []*controlplane.Plane  // guarded by mutex
	proxies  map[string]*hollowNode // guarded by mutex
	closed   bool                   // guarded by mutex
	meter    meter                  // guarded by mutex
}

// hollowNode is a proxy's place: the plane in it changes with each restart.
type hollowNode struct {
	settings settings.Node
	plane    *dataplane.Plane // nil while it restarts
}

// NewWorker makes a worker without planes.
func NewWorker() *Worker {
	return &Worker{
		log:       &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		sightings: &sightings{},
		proxies:   map[string]*hollowNode{},
	}
}

// Start starts the planes that a request names.
func (w *Worker) Start(request StartRequest) error {
	for _, node := range request.Controls {
		if err := w.startControl(node); err != nil {
			return err
		}
	}
	for _, node := range request.Proxies {
		if err := w.startProxy(node); err != nil {
			return err
		}
		time.Sleep(request.Spacing)
	}
	return nil
}

func (w *Worker) startControl(node settings.Node) error {
	if err := os.MkdirAll(node.DataDir, 0o755); err != nil {
		return eris.Wrap(err, "hollow")
	}
	plane, err := controlplane.Start(&node, w.log)
	if err != nil {
		return eris.Wrap(err, node.Name)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.controls = append(w.controls, plane)
	return nil
}

func (w *Worker) startProxy(node settings.Node) error {
	plane, err := dataplane.Start(&node, w.log)
	if err != nil {
		return eris.Wrap(err, node.Name)
	}
	w.sightings.watch(node.Name, plane.Cluster())
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed {
		plane.Abort()
		return nil
	}
	w.proxies[node.Name] = &hollowNode{settings: node, plane: plane}
	return nil
}

// Restart ends proxies and starts them again, each in its own time.
func (w *Worker) Restart(request RestartRequest) error {
	var all sync.WaitGroup
	failures := make(chan error, len(request.Names))
	for _, name := range request.Names {
		node, plane := w.takeOut(name)
		if plane == nil {
			continue
		}
		all.Go(func() {
			end(plane, request.Abrupt)
			time.Sleep(request.Pause)
			if err := w.startProxy(node); err != nil {
				failures <- err
			}
		})
	}
	all.Wait()
	close(failures)
	var failed []error
	for err := range failures {
		failed = append(failed, err)
	}
	return errors.Join(failed...)
}

func end(plane *dataplane.Plane, abrupt bool) {
	if abrupt {
		plane.Abort()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopPatience)
	defer cancel()
	plane.Shutdown(ctx)
}

func (w *Worker) takeOut(name string) (settings.Node, *dataplane.Plane) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	node := w.proxies[name]
	if node == nil || node.plane == nil {
		return settings.Node{}, nil
	}
	plane := node.plane
	node.plane = nil
	return node.settings, plane
}

// running gives the proxies that run.
func (w *Worker) running() map[string]*dataplane.Plane {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	running := make(map[string]*dataplane.Plane, len(w.proxies))
	for name, node := range w.proxies {
		if node.plane != nil {
			running[name] = node.plane
		}
	}
	return running
}

// Status tells what the proxy knows that knows least.
func (w *Worker) Status() (Status, error) {
	w.mutex.Lock()
	status := Status{Running: len(w.controls)}
	w.mutex.Unlock()
	first := true
	for name, plane := range w.running() {
		status.Running++
		known := knowledgeOf(plane.Cluster())
		if first || known.below(status) {
			status.Configuration, status.Receivers, status.LiveNodes = known.Configuration, known.Receivers, known.LiveNodes
			status.Unsettled = name
		}
		first = false
	}
	return status, nil
}

func (s Status) below(other Status) bool {
	switch {
	case s.Configuration != other.Configuration:
		return s.Configuration < other.Configuration
	case s.LiveNodes != other.LiveNodes:
		return s.LiveNodes < other.LiveNodes
	}
	return s.Receivers < other.Receivers
}

// Sightings gives what was seen since the last call.
func (w *Worker) Sightings() ([]Sighting, error) { return w.sightings.take(), nil }

// Close ends all planes at once.
func (w *Worker) Close() error {
	w.reporter.stop()
	w.mutex.Lock()
	w.closed = true
	controls := w.controls
	w.controls = nil
	w.mutex.Unlock()
	for name := range w.running() {
		if _, plane := w.takeOut(name); plane != nil {
			plane.Abort()
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, plane := range controls {
		plane.Shutdown(ctx)
	}
	return nil
}
