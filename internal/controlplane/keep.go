package controlplane

import (
	"context"
	"time"

	"emberquay/internal/cluster"
	"emberquay/internal/registration/snapshot"
	"emberquay/internal/vfs"
)

// keepInterval is the least time between two writings of the list of receivers.
const keepInterval = 300 * time.Millisecond

func (p *Plane) receiverFile() snapshot.File {
	return snapshot.File{Files: vfs.OS{}, Dir: p.settings.DataDir}
}

// recallReceivers puts the receivers of the last run into the cluster's table: if all of the tier was down, nobody
// else knows them before each has sent a heartbeat. Newer entries of others win by their stamps.
func (p *Plane) recallReceivers() {
	if !p.settings.HasDisk() {
		return
	}
	entries, err := p.receiverFile().Load()
	if err != nil {
		p.log.WithError(err).Warn("the kept list of receivers cannot be read")
		return
	}
	for _, e := range entries {
		p.cluster.Publish(e)
	}
}

// keepReceivers writes the list whenever it has changed, until the plane ends.
func (p *Plane) keepReceivers(ctx context.Context) {
	if !p.settings.HasDisk() {
		return
	}
	changed := make(chan struct{}, 1)
	p.cluster.Watch(cluster.ReceiverPrefix, func(cluster.Entry) {
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	for {
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		if err := p.receiverFile().Save(p.cluster.List(cluster.ReceiverPrefix)); err != nil {
			p.log.WithError(err).Warn("the list of receivers is not kept")
		}
		select {
		case <-time.After(keepInterval):
		case <-ctx.Done():
			return
		}
	}
}
