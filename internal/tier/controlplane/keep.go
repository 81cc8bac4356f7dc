package controlplane

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/registration/snapshot"
	"emberquay/internal/vfs"
)

// saveInterval is the minimum time between two saves, unless a caller waits for one.
const saveInterval = 300 * time.Millisecond

// saveTimeout bounds the wait for the local disk. The sum of saveTimeout and confirmTimeout is below the second after which a
// receiver goes on to another node.
const saveTimeout = 200 * time.Millisecond

// configurationFileName is the name of the file of the configuration. It has a file of its own, so that saving the end of a
// receiver, for which the receiver waits, does not write a document of megabytes.
const configurationFileName = "known-configuration"

// savedPrefixes are the key prefixes of the cluster entries that are saved across restarts, by the name of their file.
var savedPrefixes = map[string][]string{
	configurationFileName: {cluster.ConfigurationKey},
	snapshot.FileName:     {cluster.StoresKey, cluster.ReceiverPrefix},
}

// errNotSaved says that the saver stopped before the entry was saved.
var errNotSaved = eris.New("stopped before the entry was saved")

// entrySaver saves entries of the cluster's table on the machine's disk. The goroutine of run owns its file.
type entrySaver struct {
	file        snapshot.File
	listEntries func() []cluster.Entry // returns the entries to save
	changed     chan struct{}          // holds a token while there are unsaved changes
	requests    chan saveRequest
	done        chan struct{} // closed when run has returned

	savedStamps map[string]cluster.Stamp // stamps of the saved entries by key; owned by run
}

// saveRequest asks that an entry, or a newer one with its key, is on the disk.
type saveRequest struct {
	key    string
	stamp  cluster.Stamp
	result chan error
}

func newEntrySaver(file snapshot.File, listEntries func() []cluster.Entry) *entrySaver {
	return &entrySaver{file: file, listEntries: listEntries, changed: make(chan struct{}, 1),
		requests: make(chan saveRequest), done: make(chan struct{})}
}

// markChanged notifies the saver of a change.
func (s *entrySaver) markChanged() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// waitSaved waits until an entry of the table is on the disk. It returns the error of the disk or of ctx, or errNotSaved.
func (s *entrySaver) waitSaved(ctx context.Context, key string, stamp cluster.Stamp) error {
	request := saveRequest{key: key, stamp: stamp, result: make(chan error, 1)}
	select {
	case s.requests <- request:
	case <-ctx.Done():
		return ctx.Err()
	case <-s.done:
		return errNotSaved
	}
	select {
	case err := <-request.result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run saves changes until ctx ends, at once if a caller waits for them. It passes the errors of the disk to onError.
func (s *entrySaver) run(ctx context.Context, onError func(error)) {
	defer close(s.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case request := <-s.requests:
			request.result <- s.ensureSaved(request, onError)
			continue
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		select {
		case request := <-s.requests:
			request.result <- s.ensureSaved(request, onError)
			timer.Reset(0)
		case <-s.changed:
			_ = s.save(onError)
			timer.Reset(saveInterval)
		case <-ctx.Done():
			return
		}
	}
}

// ensureSaved saves all entries unless the file has the requested one already.
func (s *entrySaver) ensureSaved(request saveRequest, onError func(error)) error {
	if stamp, found := s.savedStamps[request.key]; found && !request.stamp.After(stamp) {
		return nil
	}
	return s.save(onError)
}

func (s *entrySaver) save(onError func(error)) error {
	entries := s.listEntries()
	if err := s.file.Save(entries); err != nil {
		onError(err)
		return err
	}
	s.savedStamps = make(map[string]cluster.Stamp, len(entries))
	for _, e := range entries {
		s.savedStamps[e.Key] = e.Stamp
	}
	return nil
}

// entriesWith returns the entries of the cluster's table whose keys have one of the prefixes.
func (p *Plane) entriesWith(prefixes []string) []cluster.Entry {
	var entries []cluster.Entry
	for _, prefix := range prefixes {
		entries = append(entries, p.base.Cluster.List(prefix)...)
	}
	return entries
}

func (p *Plane) entryFile(name string) snapshot.File {
	return snapshot.File{FS: vfs.OS{}, Dir: p.base.Settings.DataDir, Name: name}
}

// loadSavedEntries publishes the entries that the previous process saved. If the whole tier was down, no other node knows
// the receivers before each has sent a heartbeat, nor the configuration and the stores before the chain has committed its
// newest entry again. The saved entries of the control state had been committed, and newer entries of other nodes win by
// their stamps.
func (p *Plane) loadSavedEntries() {
	if !p.base.Settings.HasDisk() {
		return
	}
	version, count := uint64(0), 0
	for name := range savedPrefixes { // a file of an earlier release holds the configuration beside the others
		entries, err := p.entryFile(name).Load()
		if err != nil {
			p.base.Log.WithError(err).WithField("file", name).Warn("cannot read the entries saved by the previous process")
			continue
		}
		for _, e := range entries {
			if e.Key == cluster.ConfigurationKey {
				version = max(version, e.Stamp.Epoch)
			}
			p.base.Cluster.Publish(e)
		}
		count += len(entries)
	}
	p.base.Log.WithField("entries", count).WithField("version", version).Info("saved entries loaded")
}

// startEntrySaver saves the entries for loadSavedEntries whenever they change, and before this node confirms that it has an
// entry, until the plane stops.
func (p *Plane) startEntrySaver(ctx context.Context) {
	if !p.base.Settings.HasDisk() {
		return
	}
	savers := map[string]*entrySaver{} // by prefix
	for name, prefixes := range savedPrefixes {
		saver := newEntrySaver(p.entryFile(name), func() []cluster.Entry { return p.entriesWith(prefixes) })
		for _, prefix := range prefixes {
			savers[prefix] = saver
			p.base.Cluster.Watch(prefix, func(cluster.Entry) { saver.markChanged() })
		}
		go saver.run(ctx, func(err error) {
			p.base.Log.WithError(err).WithField("file", name).Warn("cannot save the cluster entries")
		})
	}
	p.saver = savers[cluster.ReceiverPrefix]
	p.base.Cluster.SetPersistFunc(func(ctx context.Context, key string, stamp cluster.Stamp) error {
		if key == cluster.ConfigurationKey {
			return savers[key].waitSaved(ctx, key, stamp)
		}
		return p.saver.waitSaved(ctx, key, stamp)
	})
}

// waitSavedLocally waits until this node's newest entry of a key is on its disk. Without a disk it returns nil at once.
func (p *Plane) waitSavedLocally(ctx context.Context, key string) error {
	if p.saver == nil {
		return nil
	}
	entry, known := p.base.Cluster.Get(key)
	if !known {
		return errUnconfirmed
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	return p.saver.waitSaved(ctx, key, entry.Stamp)
}
