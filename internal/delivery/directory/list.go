// Package directory follows the list of receivers: the whole of it, then a watch that tells changes.
package directory

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"

	"emberquay/control"
	"emberquay/internal/delivery/config"
)

// wireList is the list, or what changed of it, as it is written on the wire.
type wireList struct {
	Version int64             `json:"version"`
	Full    bool              `json:"full"`
	Servers []json.RawMessage `json:"servers"`

	entries []wireEntry // those that make sense
}

type wireEntry struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   int64   `json:"cell"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
}

// Update is what the list tells at once; Whole: what is not in it is gone.
type Update struct {
	Complete bool
	Entries  []Entry
}

// Entry is one line of it.
type Entry struct {
	control.ReceiverEntry
	Addr string
}

// parseList reads a list. An entry that makes no sense is left out: the others must not be lost with it.
func parseList(raw []byte) (*wireList, error) {
	l := &wireList{}
	if err := json.Unmarshal(raw, l); err != nil {
		return nil, err
	}
	for _, one := range l.Servers {
		var h wireEntry
		err := json.Unmarshal(one, &h)
		if err == nil {
			err = h.validate()
		}
		if err != nil {
			slog.Warn("bad_entry", "part", "directory", "version", l.Version, "err", err)
			continue
		}
		l.entries = append(l.entries, h)
	}
	return l, nil
}

func (h *wireEntry) validate() error {
	_, _, err := net.SplitHostPort(h.Addr)
	switch {
	case h.ID == "":
		return errors.New("a server without id")
	case h.State != "active" && h.State != "leaving" && h.State != "left":
		return fmt.Errorf("server %s: state %q is not known", h.ID, h.State)
	case err != nil && h.State != "left":
		return fmt.Errorf("server %s: addr %q is no host:port", h.ID, h.Addr)
	case h.Weight < 0:
		return fmt.Errorf("server %s: weight %v is under nought", h.ID, h.Weight)
	}
	return nil
}

// idAllocator gives every id a number, the same for as long as the list names it and a while longer: it may come
// back, and what is known of it must be found again. Those gone longest are forgotten past a bound, so that the
// numbers of a sender that runs for long do not add up.
type idAllocator struct {
	ids     map[string]control.ReceiverID
	removed []string // oldest first
	lastID  control.ReceiverID
}

// maxRemoved is how many ids that are gone keep their numbers.
const maxRemoved = 256

func newIDAllocator() *idAllocator { return &idAllocator{ids: map[string]control.ReceiverID{}} }

func (n *idAllocator) idOf(id string) control.ReceiverID {
	if n.ids[id] == 0 {
		n.lastID++
		n.ids[id] = n.lastID
	}
	return n.ids[id]
}

func (n *idAllocator) update(l *wireList) Update {
	update := Update{Complete: l.Full}
	listed := map[string]bool{}
	for _, h := range l.entries {
		e := control.ReceiverEntry{Receiver: n.idOf(h.ID), Rate: h.Weight, Destination: h.Cell, Kind: config.NormalizeName(h.Kind), Zone: config.NormalizeName(h.Zone)}
		switch h.State {
		case "leaving":
			e.State = control.Draining
		case "left":
			e.State = control.Removed
		}
		listed[h.ID] = e.State != control.Removed
		update.Entries = append(update.Entries, Entry{e, h.Addr})
	}
	n.releaseRemoved(listed, l.Full)
	return update
}

// releaseRemoved notes which ids are gone and which are back.
func (n *idAllocator) releaseRemoved(listed map[string]bool, complete bool) {
	n.removed = slices.DeleteFunc(n.removed, func(id string) bool { _, mentioned := listed[id]; return mentioned })
	for _, id := range slices.Sorted(maps.Keys(n.ids)) {
		if present, mentioned := listed[id]; mentioned && !present || !mentioned && complete && !slices.Contains(n.removed, id) {
			n.removed = append(n.removed, id)
		}
	}
	for ; len(n.removed) > maxRemoved; n.removed = n.removed[1:] {
		delete(n.ids, n.removed[0])
	}
}
