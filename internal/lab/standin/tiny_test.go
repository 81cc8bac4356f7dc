package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// A minimal sender: one call at a time to each destination, in order of arrival. It keeps all rules, unless a named fault
// makes it break one. The test binary runs as this program when TINY_FAULT is set.

type testText struct {
	ID, Product, Mark string
	Dest              int
	Until             time.Time
	Body              []byte
	RanAt             time.Time // time of the first submit that may have run
	Over              bool
}

type testSender struct {
	fault    string
	products map[string]struct {
		Repeat         string
		RepeatWindowUs float64
	}
	discovery string

	turn      atomic.Int64
	mu        sync.Mutex
	ledger    *os.File
	addrs     map[string]testReceiver // by id
	queues    map[int]chan *testText
	waitUntil map[int]time.Time
}

type testReceiver struct {
	addr  string
	cell  int
	state string
}

func testSenderMain(fault string) error {
	raw, err := os.ReadFile(os.Getenv("GW_CONFIG"))
	if err != nil {
		return err
	}
	var conf struct {
		Listen, Discovery, State string
		Settings                 struct {
			RequestClasses []struct {
				Name, Repeat   string
				RepeatWindowUs float64
			}
		}
	}
	if err := json.Unmarshal(raw, &conf); err != nil {
		return err
	}
	s := &testSender{fault: fault, discovery: conf.Discovery, addrs: map[string]testReceiver{}, queues: map[int]chan *testText{}, waitUntil: map[int]time.Time{}}
	s.products = map[string]struct {
		Repeat         string
		RepeatWindowUs float64
	}{}
	for _, p := range conf.Settings.RequestClasses {
		s.products[p.Name] = struct {
			Repeat         string
			RepeatWindowUs float64
		}{p.Repeat, p.RepeatWindowUs}
	}
	go s.watch()
	if err := s.open(filepath.Join(conf.State, "tiny")); err != nil {
		return err
	}
	if fault == "crash" {
		time.AfterFunc(time.Second, func() { os.Exit(3) })
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/up", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/api", s.accept)
	return http.ListenAndServe(conf.Listen, mux)
}

// open loads the persisted texts and resumes those that are not over.
func (s *testSender) open(path string) error {
	texts := map[string]*testText{}
	var order []*testText
	if raw, err := os.ReadFile(path); err == nil && s.fault != "loses" {
		for line := range bytes.Lines(raw) {
			var t testText
			if json.Unmarshal(line, &t) != nil {
				continue
			}
			if old := texts[t.ID]; old != nil {
				*old = t
			} else {
				texts[t.ID] = &t
				order = append(order, &t)
			}
		}
	}
	var err error
	if s.ledger, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	for _, t := range order {
		if !t.Over {
			s.queue(t)
		}
	}
	return nil
}

func (s *testSender) persist(t *testText) {
	raw, _ := json.Marshal(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Write(append(raw, '\n'))
}

// watch follows the stream of the receiver list.
func (s *testSender) watch() {
	for version := 0; ; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get(fmt.Sprintf("http://%s/discovery/hosts?stream=1&index=%d", s.discovery, version))
		if err != nil {
			continue
		}
		in := bufio.NewScanner(resp.Body)
		in.Buffer(nil, 1<<20)
		for in.Scan() {
			var l receiverList
			if json.Unmarshal(in.Bytes(), &l) != nil {
				continue
			}
			version = l.Version
			s.mu.Lock()
			for _, one := range l.Servers {
				s.addrs[one.ID] = testReceiver{one.Addr, one.Cell, one.State}
			}
			s.mu.Unlock()
		}
		resp.Body.Close()
	}
}

func (s *testSender) accept(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	budget, _ := strconv.ParseFloat(r.Header.Get("X-Budget"), 64)
	dest, _, _ := strings.Cut(strings.TrimPrefix(r.Header.Get("X-Envelope"), "dest="), ",")
	no, _ := strconv.Atoi(dest)
	if err != nil {
		return
	}
	t := &testText{ID: r.Header.Get("X-Call-Id"), Product: r.Header.Get("X-Call-Class"), Mark: r.Header.Get("Idempotency-Key"), Dest: no,
		Until: time.Now().Add(time.Duration(budget * float64(time.Second))), Body: body}
	s.persist(t)
	if s.fault == "twice" {
		w.WriteHeader(http.StatusServiceUnavailable)
	} else {
		w.WriteHeader(http.StatusAccepted)
	}
	w.(http.Flusher).Flush()
	s.queue(t)
}

func (s *testSender) queue(t *testText) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[t.Dest]
	if q == nil {
		q = make(chan *testText, 4096)
		s.queues[t.Dest] = q
		workers := map[string]int{"floods": 40, "order": 8}[s.fault]
		for range max(1, workers) {
			go func() {
				for t := range q {
					s.deliver(t)
				}
			}()
		}
	}
	q <- t
}

// deliver submits a text until it is delivered or given up.
func (s *testSender) deliver(t *testText) {
	p := s.products[t.Product]
	pause := 150 * time.Millisecond
	if s.fault == "floods" {
		pause = 5 * time.Millisecond
	}
	for ; ; time.Sleep(pause) {
		now := time.Now()
		expired := now.After(t.Until.Add(-100 * time.Millisecond))
		if !t.RanAt.IsZero() {
			window := time.Duration(p.RepeatWindowUs) * time.Microsecond
			expired = expired || p.Repeat == "unsafe" && s.fault != "repeats" || p.Repeat == "keyed" && now.After(t.RanAt.Add(window-100*time.Millisecond))
		}
		if expired {
			s.giveUp(t)
			return
		}
		s.mu.Lock()
		wait := s.waitUntil[t.Dest]
		var open []string
		for _, a := range s.addrs {
			if a.cell == t.Dest && (a.state == "active" || s.fault == "drains") {
				open = append(open, a.addr)
			}
		}
		s.mu.Unlock()
		if now.Before(wait) && s.fault != "deaf" || len(open) == 0 {
			continue
		}
		slices.Sort(open)
		if s.fault == "drains" {
			open = s.onlyDraining(open)
		}
		ran := t.RanAt
		if ran.IsZero() {
			t.RanAt = now
			s.persist(t) // before the call: it may run
		}
		delivered, notRun, retryIn := s.submit(t, open[int(s.turn.Add(1))%len(open)])
		if delivered {
			t.Over = true
			s.persist(t)
			return
		}
		if notRun {
			t.RanAt = ran
			s.persist(t)
		}
		if retryIn > 0 {
			s.mu.Lock()
			s.waitUntil[t.Dest] = time.Now().Add(retryIn)
			s.mu.Unlock()
		}
	}
}

// onlyDraining returns the draining receivers if there are any, otherwise all. The round-robin turn is shared by all
// destinations, so by chance no call of a day might reach the draining receiver.
func (s *testSender) onlyDraining(open []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var draining []string
	for _, a := range s.addrs {
		if a.state != "active" && slices.Contains(open, a.addr) {
			draining = append(draining, a.addr)
		}
	}
	if len(draining) == 0 {
		return open
	}
	return draining
}

func (s *testSender) submit(t *testText, addr string) (delivered, notRun bool, retryIn time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), min(600*time.Millisecond, time.Until(t.Until)))
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/events", singleUseBody{bytes.NewReader(t.Body)})
	req.ContentLength = int64(len(t.Body))
	req.Header = http.Header{"X-Call-Id": {t.ID}, "X-Budget": {"0.6"}}
	if t.Mark != "" {
		req.Header["Idempotency-Key"] = []string{t.Mark}
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return false, strings.Contains(err.Error(), "refused"), 0
	}
	defer resp.Body.Close()
	ms, _ := strconv.ParseFloat(resp.Header.Get("X-Retry-In-Ms"), 64)
	return resp.StatusCode == 200, resp.StatusCode == 429 || resp.StatusCode == 503, time.Duration(ms * float64(time.Millisecond))
}

// giveUp sends the notice that a text was given up.
func (s *testSender) giveUp(t *testText) {
	line := fmt.Sprintf(`{"message":%q,"outcome":"given_up"}`, t.ID)
	for ; ; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Post("http://"+s.discovery+"/v2/finals", "application/json", strings.NewReader(line))
		if err == nil {
			resp.Body.Close()
			break
		}
	}
	t.Over = true
	s.persist(t)
}
