// Package directory follows the list of receivers: it reads the full list, then watches its changes.
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

// wireList is the list, or changes to it, as encoded on the wire.
type wireList struct {
	Version int64             `json:"version"`
	Full    bool              `json:"full"`
	Servers []json.RawMessage `json:"servers"`

	entries []wireEntry // the valid ones
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

// Update is one list or change; if Complete, receivers that are not in it are removed.
type Update struct {
	Complete bool
	Entries  []Entry
}

// Entry is one entry of the list.
type Entry struct {
	control.ReceiverEntry
	Addr string
}

// parseList parses a list. An invalid entry is skipped so that the others are not lost with it.
func parseList(raw []byte) (*wireList, error) {
	l := &wireList{}
	if err := json.Unmarshal(raw, l); err != nil {
		return nil, err
	}
	for _, raw := range l.Servers {
		var entry wireEntry
		err := json.Unmarshal(raw, &entry)
		if err == nil {
			err = entry.validate()
		}
		if err != nil {
			slog.Warn("bad_entry", "part", "directory", "version", l.Version, "err", err)
			continue
		}
		l.entries = append(l.entries, entry)
	}
	return l, nil
}

func (entry *wireEntry) validate() error {
	_, _, err := net.SplitHostPort(entry.Addr)
	switch {
	case entry.ID == "":
		return errors.New("server without id")
	case entry.State != "active" && entry.State != "leaving" && entry.State != "left":
		return fmt.Errorf("server %s: unknown state %q", entry.ID, entry.State)
	case err != nil && entry.State != "left":
		return fmt.Errorf("server %s: addr %q is not host:port", entry.ID, entry.Addr)
	case entry.Weight < 0:
		return fmt.Errorf("server %s: weight %v is negative", entry.ID, entry.Weight)
	}
	return nil
}

// idAllocator gives each id a number, which it keeps while it is listed and for some time after, since a receiver may
// come back and what is known of it must be found again. Beyond a limit the ids removed longest ago are dropped, so that
// the map does not grow without bound in a sender that runs for long.
type idAllocator struct {
	ids     map[string]control.ReceiverID
	removed []string // oldest first
	lastID  control.ReceiverID
}

// maxRemoved is how many removed ids keep their numbers.
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
	for _, entry := range l.entries {
		receiver := control.ReceiverEntry{Receiver: n.idOf(entry.ID), Rate: entry.Weight, Destination: entry.Cell, Kind: config.NormalizeName(entry.Kind), Zone: config.NormalizeName(entry.Zone)}
		switch entry.State {
		case "leaving":
			receiver.State = control.Draining
		case "left":
			receiver.State = control.Removed
		}
		listed[entry.ID] = receiver.State != control.Removed
		update.Entries = append(update.Entries, Entry{receiver, entry.Addr})
	}
	n.releaseRemoved(listed, l.Full)
	return update
}

// releaseRemoved updates which ids are removed, and drops the oldest beyond maxRemoved.
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
