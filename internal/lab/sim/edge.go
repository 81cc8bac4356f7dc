package sim

import (
	"strings"
	"time"

	"emberquay/internal/tier/cluster/core"
	"emberquay/internal/tier/cluster/records"
	"emberquay/internal/tier/routing"
	"emberquay/internal/tier/storewire"
)

// edge is what a proxy knows and does: the configuration in force, receivers, and its calls of stores.
type edge struct {
	life      *life
	version   uint64
	body      string
	receivers map[string]records.ReceiverState
	view      storewire.View
	pending   []*reserving // by the view that may change
}

func (l *life) startEdge() {
	l.edge = &edge{life: l, receivers: map[string]records.ReceiverState{}}
}

// learn takes an entry, as internal/tier/dataplane does.
func (e *edge) learn(entry gossipEntry) {
	switch {
	case entry.Key == core.ConfigurationKey:
		e.configure(entry)
	case entry.Key == core.StoresKey:
		if view, err := storewire.DecodeViewEntry(entry); err == nil {
			e.adopt(storewire.ViewOf(view))
		}
	case strings.HasPrefix(entry.Key, core.ReceiverPrefix):
		if record, err := records.ReceiverCodec.Decode(entry.Value); err == nil {
			e.receivers[record.ID] = record.State
			e.life.host.world.trace("%s learns that %s is %s, by %s, %v", e.life.host.name, record.ID, record.State, record.Owner, entry.Stamp)
		}
	}
}

func (e *edge) configure(entry gossipEntry) {
	w := e.life.host.world
	record, err := records.ConfigurationCodec.Decode(entry.Value)
	if err != nil {
		w.judge.breach(ConfigRule, "%s: a configuration that cannot be read: %v", e.life.host.name, err)
		return
	}
	snapshot, err := routing.Parse(record.Body)
	if err != nil {
		w.judge.breach(ConfigRule, "%s: an invalid configuration is spread: %v", e.life.host.name, err)
		return
	}
	e.apply(snapshot.Version, string(record.Body))
	if w.has(versionMayFall) && e.version > 1 {
		// What an old message brings later is taken as well.
		version, body := snapshot.Version, string(record.Body)
		e.life.later(w.between(0, 2*time.Second), func() { e.force(version, body) })
	}
}

func (e *edge) apply(version uint64, body string) {
	if version > e.version {
		e.force(version, body)
	}
}

// force puts a configuration in force.
func (e *edge) force(version uint64, body string) {
	before := e.version
	e.version, e.body = version, body
	e.life.host.world.trace("%s works by %d", e.life.host.name, version)
	e.life.host.world.judge.inForce(e, before)
}

// adopt takes a newer view of the stores; what was asked under the older one is asked again.
func (e *edge) adopt(v storewire.View) {
	if v.Epoch <= e.view.Epoch {
		return
	}
	e.view = v
	pending := e.pending
	e.pending = nil
	for _, r := range pending {
		r.viewChanged()
	}
}

// usable says whether there are stores enough to keep anything.
func (e *edge) usable() bool { return e.view.Epoch > 0 && e.view.ActiveCount() >= e.view.Copies() }

func (e *edge) header(m storewire.Member) storewire.Header {
	return storewire.Header{Epoch: e.view.Epoch, StoreID: m.ID}
}

// heed takes from a reply what it says of the view, and tells whether the rest counts.
func (e *edge) heed(r storewire.Reply) bool {
	if r.View.Epoch > 0 {
		e.adopt(r.View)
	}
	return r.Status == storewire.Served
}
