package controlplane

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/registration/snapshot"
	"emberquay/internal/vfs"
)

// keepInterval is the least time between two writings of what is kept, unless somebody waits for one.
const keepInterval = 300 * time.Millisecond

// keepTimeout bounds the wait for the own disk, beside confirmTimeout within a receiver's patience of a second.
const keepTimeout = 200 * time.Millisecond

// keptPrefixes are the keys of the entries that are kept over a stop.
var keptPrefixes = []string{cluster.ConfigurationKey, cluster.StoresKey, cluster.ReceiverPrefix}

// errNotKept: the process ended first.
var errNotKept = eris.New("ended before it was on the disk")

// keeper keeps entries of the cluster's table on the machine's disk. One goroutine owns it and its file.
type keeper struct {
	file    snapshot.File
	entries func() []cluster.Entry // what is to be kept now
	changed chan struct{}          // holds one while something has changed
	waiting chan keepCommand
	done    chan struct{} // closed when the owner has ended

	saved map[string]cluster.Stamp // what the file holds; the owner's
}

// keepCommand asks for an entry, or a newer one of its key, to be on the disk.
type keepCommand struct {
	key    string
	stamp  cluster.Stamp
	result chan error
}

func newKeeper(file snapshot.File, entries func() []cluster.Entry) *keeper {
	return &keeper{file: file, entries: entries, changed: make(chan struct{}, 1), waiting: make(chan keepCommand), done: make(chan struct{})}
}

// note says that something has changed.
func (k *keeper) note() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// keep returns nil once an entry that is in the table is on the disk. Errors: those of the disk, and of ctx.
func (k *keeper) keep(ctx context.Context, key string, stamp cluster.Stamp) error {
	command := keepCommand{key: key, stamp: stamp, result: make(chan error, 1)}
	select {
	case k.waiting <- command:
	case <-ctx.Done():
		return ctx.Err()
	case <-k.done:
		return errNotKept
	}
	select {
	case err := <-command.result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run writes what has changed, at once where somebody waits for it, until ctx ends. failed is told of what the disk refuses.
func (k *keeper) run(ctx context.Context, failed func(error)) {
	defer close(k.done)
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case command := <-k.waiting:
			command.result <- k.has(command, failed)
			continue
		case <-pause.C:
		case <-ctx.Done():
			return
		}
		select {
		case command := <-k.waiting:
			command.result <- k.has(command, failed)
			pause.Reset(0)
		case <-k.changed:
			_ = k.save(failed)
			pause.Reset(keepInterval)
		case <-ctx.Done():
			return
		}
	}
}

// has writes what is there unless the file has what is asked for.
func (k *keeper) has(command keepCommand, failed func(error)) error {
	if stamp, some := k.saved[command.key]; some && !command.stamp.After(stamp) {
		return nil
	}
	return k.save(failed)
}

func (k *keeper) save(failed func(error)) error {
	entries := k.entries()
	if err := k.file.Save(entries); err != nil {
		failed(err)
		return err
	}
	k.saved = make(map[string]cluster.Stamp, len(entries))
	for _, e := range entries {
		k.saved[e.Key] = e.Stamp
	}
	return nil
}

// kept gives the entries to keep.
func (p *Plane) kept() []cluster.Entry {
	var entries []cluster.Entry
	for _, prefix := range keptPrefixes {
		entries = append(entries, p.base.Cluster.List(prefix)...)
	}
	return entries
}

func (p *Plane) keptFile() snapshot.File {
	return snapshot.File{Files: vfs.OS{}, Dir: p.base.Settings.DataDir}
}

// recall puts what the last run knew into the cluster's table. If all of the tier was down, nobody else knows the
// receivers before each has sent a heartbeat, nor the configuration and the stores before the chain has committed its
// newest entry once more. What was kept had been committed; newer entries of others win by their stamps.
func (p *Plane) recall() {
	if !p.base.Settings.HasDisk() {
		return
	}
	entries, err := p.keptFile().Load()
	if err != nil {
		p.base.Log.WithError(err).Warn("what the last run kept cannot be read")
		return
	}
	for _, e := range entries {
		p.base.Cluster.Publish(e)
	}
}

// keepKnown writes what recall reads whenever it has changed, and before this node says of an entry that it has it, until
// the plane ends.
func (p *Plane) keepKnown(ctx context.Context) {
	if !p.base.Settings.HasDisk() {
		return
	}
	p.keeper = newKeeper(p.keptFile(), p.kept)
	for _, prefix := range keptPrefixes {
		p.base.Cluster.Watch(prefix, func(cluster.Entry) { p.keeper.note() })
	}
	p.base.Cluster.SetPersistFunc(p.keeper.keep)
	go p.keeper.run(ctx, func(err error) { p.base.Log.WithError(err).Warn("what is known is not kept") })
}

// keptHere returns nil once this node's newest entry of a key is as safe as the machine can make it.
func (p *Plane) keptHere(ctx context.Context, key string) error {
	if p.keeper == nil {
		return nil
	}
	entry, known := p.base.Cluster.Get(key)
	if !known {
		return errUnconfirmed
	}
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	return p.keeper.keep(ctx, key, entry.Stamp)
}
