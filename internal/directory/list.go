// Package directory follows the list of receivers: the whole of it, then a watch that tells changes.
package directory

import (
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"net"

	"emberquay/control"
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

// News is what the list tells at once; Whole: what is not in it is gone.
type News struct {
	Whole bool
	Hosts []Host
}

// Host is one line of it.
type Host struct {
	control.Entry
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
			log.Printf("part=directory event=bad_entry version=%d err=%q", l.Version, err)
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

// numbers gives every id a number, the same for as long as the process runs.
type numbers map[string]control.ReceiverID

func (n numbers) news(l *list) News {
	news := News{Whole: l.Full}
	for _, h := range l.hosts {
		id := n[h.ID]
		if id == 0 {
			id = control.ReceiverID(len(n) + 1)
			n[h.ID] = id
		}
		e := control.Entry{Receiver: id, Rate: h.Weight, Destination: h.Cell, Kind: h.Kind, Zone: h.Zone}
		switch h.State {
		case "leaving":
			e.Listing = control.Draining
		case "left":
			e.Listing = control.Removed
		}
		news.Hosts = append(news.Hosts, Host{e, h.Addr})
	}
	return news
}
