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

// agent is the platform as one sender reaches it: the list of receivers, and where notices go.
type agent struct {
	stage    *Stage
	sender   int
	listener net.Listener
	http     *http.Server
	closing  chan struct{}
	once     sync.Once
}

func newAgent(s *Stage, sender int, addr string) (*agent, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("the platform at %s: %w", addr, err)
	}
	a := &agent{stage: s, sender: sender, listener: l, closing: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", a.hosts)
	mux.HandleFunc("POST /v2/finals", a.finals)
	a.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10}
	s.work.Go(func() { a.http.Serve(l) })
	return a, nil
}

func (a *agent) close() {
	a.once.Do(func() { close(a.closing) })
	a.http.Close()
}

// listed is the list on the wire.
type listed struct {
	Version int      `json:"version"`
	Full    bool     `json:"full"`
	Servers []server `json:"servers"`
}

type server struct {
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

// list is what a sender is told: the whole of a version, or what changed of it since another.
func (s *Stage) list(sender, since, version int) listed {
	l := listed{Version: version, Full: since <= 0 || since > version, Servers: []server{}}
	for _, r := range s.day.Receivers {
		state := s.day.State(r, version)
		if l.Full && (state == "" || state == world.Left) || !l.Full && state == s.day.State(r, since) {
			continue
		}
		l.Servers = append(l.Servers, server{ID: r.ID, Addr: s.net.receiver(sender, r.AddressNo), Zone: "a", Kind: r.Destination().Kind.Name,
			Cell: r.Destination().No, State: state, Weight: r.Rate, receiver: r.No})
	}
	return l
}

// told notes what a list says, once it is written.
func (a *agent) told(l listed) {
	s := a.stage
	s.see(func(now time.Duration) {
		named := map[int]bool{}
		for _, one := range l.Servers {
			named[one.receiver] = true
			s.ref.ReceiverStateNotified(now, a.sender, one.receiver, one.State)
		}
		for _, r := range s.day.Receivers {
			if l.Full && !named[r.No] && s.day.State(r, l.Version) == world.Left {
				s.ref.ReceiverStateNotified(now, a.sender, r.No, world.Left)
			}
		}
	})
}

func (a *agent) version() int { return a.stage.day.Version(a.sender, a.stage.now()) }

// hosts tells the list, or keeps a watch.
func (a *agent) hosts(w http.ResponseWriter, r *http.Request) {
	day := a.stage.day
	if day.ListSilent(a.stage.now()) { // nothing is answered
		select {
		case <-r.Context().Done():
		case <-a.closing:
		}
		return
	}
	if r.URL.Query().Get("stream") == "" {
		l := a.stage.list(a.sender, 0, a.version())
		w.Header().Set("Content-Type", "application/json")
		if json.NewEncoder(w).Encode(l) == nil {
			a.told(l)
		}
		return
	}
	since, err := strconv.Atoi(r.URL.Query().Get("index"))
	if err != nil || since < 0 {
		http.Error(w, fmt.Sprintf("index: %q is no version", r.URL.Query().Get("index")), http.StatusBadRequest)
		return
	}
	flush := func() bool { return http.NewResponseController(w).Flush() == nil }
	step := time.NewTicker(10 * time.Millisecond)
	defer step.Stop()
	beat := a.stage.now()
	every := time.Duration(day.World.List.HeartbeatS * float64(time.Second))
	for first := true; ; first = false {
		now := a.stage.now()
		switch v := a.version(); {
		case day.ListCut(now):
			return
		case day.ListSilent(now):
		case v != since || first:
			l := a.stage.list(a.sender, since, v)
			if json.NewEncoder(w).Encode(l) != nil || !flush() {
				return
			}
			a.told(l)
			since, beat = v, now
		case now-beat >= every:
			w.Write([]byte("\n"))
			if !flush() {
				return
			}
			beat = now
		}
		select {
		case <-r.Context().Done():
			return
		case <-a.closing:
			return
		case <-step.C:
		}
	}
}

// finals takes notices.
func (a *agent) finals(w http.ResponseWriter, r *http.Request) {
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
		a.stage.noticed(a.sender, n.Message, n.Outcome == "handed_back", time.Duration(n.RetryMs*float64(time.Millisecond)))
	}
	w.WriteHeader(http.StatusNoContent)
}
