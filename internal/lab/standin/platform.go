package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"emberquay/internal/lab/world"
)

// platform serves the platform's endpoints to one sender: the receiver list and the notices.
type platform struct {
	playback *Playback
	sender   int
	listener net.Listener
	http     *http.Server
	closing  chan struct{}
	once     sync.Once
}

func newPlatform(s *Playback, sender int, addr string) (*platform, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("the platform at %s: %w", addr, err)
	}
	a := &platform{playback: s, sender: sender, listener: l, closing: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", a.serveHosts)
	mux.HandleFunc("POST /v2/finals", a.serveFinals)
	a.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10}
	s.actors.Go(func() { a.http.Serve(l) })
	return a, nil
}

func (a *platform) close() {
	a.once.Do(func() { close(a.closing) })
	a.http.Close()
}

// receiverList is the wire format of the receiver list.
type receiverList struct {
	Version int              `json:"version"`
	Full    bool             `json:"full"`
	Servers []listedReceiver `json:"servers"`
}

type listedReceiver struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`

	receiver int
}

// receiverListSince returns the list for a sender: a full version, or its changes since an earlier one.
func (s *Playback) receiverListSince(sender, since, version int) receiverList {
	l := receiverList{Version: version, Full: since <= 0 || since > version, Servers: []listedReceiver{}}
	for _, r := range s.day.Receivers {
		state := s.day.State(r, version)
		if l.Full && (state == "" || state == world.Left) || !l.Full && state == s.day.State(r, since) {
			continue
		}
		l.Servers = append(l.Servers, listedReceiver{ID: r.ID, Addr: s.net.receiverAddr(sender, r.AddressNo), Zone: "a", Kind: r.Destination().Kind.Name,
			Cell: r.Destination().No, State: state, Weight: r.Rate, receiver: r.No})
	}
	return l
}

// recordNotified reports the states in a list to the referee after the list was written.
func (a *platform) recordNotified(l receiverList) {
	s := a.playback
	s.locked(func(now time.Duration) {
		named := map[int]bool{}
		for _, entry := range l.Servers {
			named[entry.receiver] = true
			s.referee.ReceiverStateNotified(now, a.sender, entry.receiver, entry.State)
		}
		for _, r := range s.day.Receivers {
			if l.Full && !named[r.No] && s.day.State(r, l.Version) == world.Left {
				s.referee.ReceiverStateNotified(now, a.sender, r.No, world.Left)
			}
		}
	})
}

func (a *platform) listVersion() int { return a.playback.day.Version(a.sender, a.playback.now()) }

// serveHosts answers with the list, or streams its changes.
func (a *platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	day := a.playback.day
	if day.ListSilent(a.playback.now()) { // the request stays unanswered
		select {
		case <-r.Context().Done():
		case <-a.closing:
		}
		return
	}
	if r.URL.Query().Get("stream") == "" {
		l := a.playback.receiverListSince(a.sender, 0, a.listVersion())
		w.Header().Set("Content-Type", "application/json")
		if json.NewEncoder(w).Encode(l) == nil {
			a.recordNotified(l)
		}
		return
	}
	since, err := strconv.Atoi(r.URL.Query().Get("index"))
	if err != nil || since < 0 {
		http.Error(w, fmt.Sprintf("index: %q is no version", r.URL.Query().Get("index")), http.StatusBadRequest)
		return
	}
	flush := func() bool { return http.NewResponseController(w).Flush() == nil }
	poll := time.NewTicker(10 * time.Millisecond)
	defer poll.Stop()
	lastWrite := a.playback.now()
	heartbeatInterval := time.Duration(day.World.List.HeartbeatS * float64(time.Second))
	for first := true; ; first = false {
		now := a.playback.now()
		switch v := a.listVersion(); {
		case day.ListCut(now):
			return
		case day.ListSilent(now):
		case v != since || first:
			l := a.playback.receiverListSince(a.sender, since, v)
			if json.NewEncoder(w).Encode(l) != nil || !flush() {
				return
			}
			a.recordNotified(l)
			since, lastWrite = v, now
		case now-lastWrite >= heartbeatInterval:
			w.Write([]byte("\n"))
			if !flush() {
				return
			}
			lastWrite = now
		}
		select {
		case <-r.Context().Done():
			return
		case <-a.closing:
			return
		case <-poll.C:
		}
	}
}

// serveFinals accepts notices, one JSON object a line.
func (a *platform) serveFinals(w http.ResponseWriter, r *http.Request) {
	type notice struct {
		Message string  `json:"message"`
		Outcome string  `json:"outcome"`
		RetryMs float64 `json:"retry_in_ms"`
	}
	var all []notice
	in := bufio.NewScanner(http.MaxBytesReader(w, r.Body, 4<<20))
	for in.Scan() {
		var n notice
		if err := json.Unmarshal(in.Bytes(), &n); err != nil || n.Outcome != "given_up" && n.Outcome != "handed_back" {
			http.Error(w, fmt.Sprintf("line %d cannot be read", len(all)+1), http.StatusBadRequest)
			return
		}
		all = append(all, n)
	}
	for _, n := range all {
		a.playback.recordNotice(a.sender, n.Message, n.Outcome == "handed_back", time.Duration(n.RetryMs*float64(time.Millisecond)))
	}
	w.WriteHeader(http.StatusNoContent)
}
