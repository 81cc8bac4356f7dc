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

// list is the list, or what changed of it, as it is written on the wire.
type list struct {
	Version int64             `json:"version"`
	Full    bool              `json:"full"`
	Servers []json.RawMessage `json:"servers"`

	hosts []host // those that make sense
}

type host struct {
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

// parse reads a list. An entry that makes no sense is left out: the others must not be lost with it.
func parse(raw []byte) (*list, error) {
	l := &list{}
	if err := json.Unmarshal(raw, l); err != nil {
		return nil, err
	}
	for _, one := range l.Servers {
		var h host
		err := json.Unmarshal(one, &h)
		if err == nil {
			err = h.check()
		}
		if err != nil {
			slog.Warn("bad_entry", "part", "directory", "version", l.Version, "err", err)
			continue
		}
		l.hosts = append(l.hosts, h)
	}
	return l, nil
}

func (h *host) check() error {
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

// numbers gives every id a number, the same for as long as the list names it and a while longer: it may come
// back, and what is known of it must be found again. Those gone longest are forgotten past a bound, so that the
// numbers of a sender that runs for long do not add up.
type numbers struct {
	of    map[string]control.ReceiverID
	gone  []string // oldest first
	given control.ReceiverID
}

// mostGone is how many ids that are gone keep their numbers.
const mostGone = 256

func newNumbers() *numbers { return &numbers{of: map[string]control.ReceiverID{}} }

func (n *numbers) number(id string) control.ReceiverID {
	if n.of[id] == 0 {
		n.given++
		n.of[id] = n.given
	}
	return n.of[id]
}

func (n *numbers) news(l *list) Update {
	news := Update{Complete: l.Full}
	named := map[string]bool{}
	for _, h := range l.hosts {
		e := control.ReceiverEntry{Receiver: n.number(h.ID), Rate: h.Weight, Destination: h.Cell, Kind: config.NormalizeName(h.Kind), Zone: config.NormalizeName(h.Zone)}
		switch h.State {
		case "leaving":
			e.State = control.Draining
		case "left":
			e.State = control.Removed
		}
		named[h.ID] = e.State != control.Removed
		news.Entries = append(news.Entries, Entry{e, h.Addr})
	}
	n.forget(named, l.Full)
	return news
}

// forget notes which ids are gone and which are back.
func (n *numbers) forget(named map[string]bool, whole bool) {
	n.gone = slices.DeleteFunc(n.gone, func(id string) bool { _, told := named[id]; return told })
	for _, id := range slices.Sorted(maps.Keys(n.of)) {
		if here, told := named[id]; told && !here || !told && whole && !slices.Contains(n.gone, id) {
			n.gone = append(n.gone, id)
		}
	}
	for ; len(n.gone) > mostGone; n.gone = n.gone[1:] {
		delete(n.of, n.gone[0])
	}
}
