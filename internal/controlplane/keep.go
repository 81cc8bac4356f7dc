package controlplane

import (
	"context"
	"time"

	"emberquay/internal/cluster"
	"emberquay/internal/registration/snapshot"
	"emberquay/internal/vfs"
)

// keepInterval is the least time between two writings of what is kept.
const keepInterval = 300 * time.Millisecond

// keptPrefixes are the keys of the entries that are kept over a stop.
var keptPrefixes = []string{cluster.ConfigurationKey, cluster.StoresKey, cluster.ReceiverPrefix}

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

// keep writes what recall reads whenever it has changed, until the plane ends.
func (p *Plane) keep(ctx context.Context) {
	if !p.base.Settings.HasDisk() {
		return
	}
	changed := make(chan struct{}, 1)
	note := func(cluster.Entry) {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
	for _, prefix := range keptPrefixes {
		p.base.Cluster.Watch(prefix, note)
	}
	for {
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		if err := p.keptFile().Save(p.kept()); err != nil {
			p.base.Log.WithError(err).Warn("what is known is not kept")
		}
		select {
		case <-time.After(keepInterval):
		case <-ctx.Done():
			return
		}
	}
}
