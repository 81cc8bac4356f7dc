package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestMain lets the test binary run as the program itself, in a process that tests can kill.
func TestMain(m *testing.M) {
	if os.Getenv("EMBERQUAY_AS_PROGRAM") == "1" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const configuration = `{"name":"n1","seed":"1","known":{"version":1,"full":true,"servers":[
 {"id":"s-1","addr":%q,"zone":"a","kind":"one","cell":3,"state":"active","weight":100}]},
 "settings":{"Contract":{"ColdFrom":0.2,"FallMultiple":2,"FallUs":500000,"RampTimeUs":500000},"Instances":1,
  "Kinds":["one"],"Permissions":{"TryLimit":12,"MayCancel":true,"RetryAfter":true,"MaxRetryAfterUs":3000000},
  "Specifics":{"MaxCalls":8},"RequestClasses":[{"Name":"free","Repeat":"safe","ObjectiveUs":500000,
  "HardLimitUs":9000000,"RepeatWindowUs":0,"Value":1,"LateShare":0.3}]}}`

// requestFormat is an HTTP request that submits a text; the argument is its id.
const requestFormat = "POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: %s\r\nX-Call-Class: free\r\nX-Budget: 9\r\n" +
	"X-Envelope: dest=3\r\nContent-Length: 1\r\n\r\nx"

// program is a sender process with a fake receiver and a fake platform.
type program struct {
	t              *testing.T
	env            []string
	listen         string
	config         string
	flags          []string // after the serve command
	cmd            *exec.Cmd
	log            bytes.Buffer
	unresponsive   atomic.Bool // the receiver does not respond
	calls          atomic.Int64
	notices        atomic.Int64
	stalledNotices atomic.Int64 // above 0: the platform does not answer notices and counts them here, from 1
	respond        chan bool    // if not nil, the receiver responds once it is closed

	delivered sync.Map // ids
}

func newProgram(t *testing.T) *program {
	t.Helper()
	p := &program{t: t}
	receiver := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) // otherwise the server does not notice a closed connection
		p.calls.Add(1)
		if p.unresponsive.Load() {
			<-r.Context().Done()
			return
		}
		if p.respond != nil {
			<-p.respond
		}
		p.delivered.Store(r.Header.Get("X-Call-Id"), true)
	}))
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet { // a watch of the receiver list, without changes
			w.(http.Flusher).Flush()
			<-r.Context().Done()
			return
		}
		if p.stalledNotices.Load() > 0 {
			io.Copy(io.Discard, r.Body)
			p.stalledNotices.Add(1)
			<-r.Context().Done()
			return
		}
		lines := json.NewDecoder(r.Body)
		for lines.Decode(&map[string]any{}) == nil {
			p.notices.Add(1)
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	t.Cleanup(receiver.Close)
	t.Cleanup(platform.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.listen = l.Addr().String()
	l.Close()
	dir := t.TempDir()
	p.config = filepath.Join(dir, "config.json")
	text := fmt.Sprintf(configuration, receiver.Listener.Addr())
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p.env = append(os.Environ(), "EMBERQUAY_AS_PROGRAM=1", "GW_LISTEN="+p.listen, "GW_STATE="+dir,
		"GW_DISCOVERY="+platform.Listener.Addr().String(), "GW_CONFIG="+p.config)
	t.Cleanup(func() {
		if p.cmd != nil {
			p.stop(syscall.SIGKILL)
		}
		if t.Failed() {
			t.Log(p.log.String())
		}
	})
	return p
}

func (p *program) start() {
	p.t.Helper()
	p.cmd = exec.Command(os.Args[0], append([]string{"serve"}, p.flags...)...)
	p.cmd.Env, p.cmd.Stdout, p.cmd.Stderr = p.env, &p.log, &p.log
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.waitFor("not ready", func() bool {
		r, err := http.Get("http://" + p.listen + "/up")
		if err == nil {
			r.Body.Close()
		}
		return err == nil && r.StatusCode == http.StatusOK
	})
}

// stop sends a signal and waits until the process ends.
func (p *program) stop(s syscall.Signal) error {
	p.cmd.Process.Signal(s)
	err := p.cmd.Wait()
	p.cmd = nil
	return err
}

func (p *program) waitFor(failure string, condition func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(8 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			p.t.Fatal(failure)
		}
	}
}

func (p *program) submit(id string, budget float64) int {
	p.t.Helper()
	req, _ := http.NewRequest(http.MethodPost, "http://"+p.listen+"/api", strings.NewReader("body"))
	req.Header = http.Header{"X-Call-Id": {id}, "X-Call-Class": {"free"}, "X-Envelope": {"dest=3"},
		"X-Budget": {fmt.Sprintf("%.3f", budget)}}
	req.Close = true // the program may close an idle connection at the same moment
	r, err := http.DefaultClient.Do(req)
	if err != nil {
		p.t.Fatal(err)
	}
	r.Body.Close()
	return r.StatusCode
}

func TestDeliveryAfterKillAndRestart(t *testing.T) {
	p := newProgram(t)
	p.unresponsive.Store(true)
	p.start()
	if s := p.submit("a", 9); s != http.StatusAccepted {
		t.Fatal(s)
	}
	p.waitFor("no call", func() bool { return p.calls.Load() == 1 })
	p.stop(syscall.SIGKILL)
	p.unresponsive.Store(false)
	p.start()
	p.waitFor("not delivered after the restart", func() bool { return p.calls.Load() == 2 })
	p.unresponsive.Store(true)
	p.submit("b", 0.4)
	p.waitFor("no notice", func() bool { return p.notices.Load() == 1 })
}

// After SIGTERM the process still accepts texts, waits for calls in flight and exits by itself.
func TestAskedToStop(t *testing.T) {
	p := newProgram(t)
	p.start()
	p.submit("a", 9)
	p.waitFor("no call", func() bool { return p.calls.Load() == 1 })
	p.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	if s := p.submit("b", 9); s != http.StatusAccepted {
		t.Error(s)
	}
	p.cmd.Process.Signal(syscall.SIGHUP) // neither a reload nor a second SIGTERM interrupts the shutdown
	start := time.Now()
	if err := p.stop(syscall.SIGTERM); err != nil || time.Since(start) > 3500*time.Millisecond {
		t.Errorf("%v after %s", err, time.Since(start))
	}
	if n := p.calls.Load(); n != 2 {
		t.Errorf("%d calls", n)
	}
}

// On SIGHUP the receiver list and the notices, including one in flight, switch to the new discovery address; an invalid file
// changes nothing. After a restart the address in the file still takes precedence over the environment.
func TestConfigurationReplaced(t *testing.T) {
	p := newProgram(t)
	p.unresponsive.Store(true)
	listRequests, notices := make(chan string, 9), make(chan string, 9)
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if body, _ := io.ReadAll(r.Body); r.Method == http.MethodPost {
			notices <- string(body)
			w.WriteHeader(http.StatusNoContent)
			return
		}
		listRequests <- r.URL.RequestURI()
		if r.URL.RawQuery == "" {
			io.WriteString(w, `{"version":1,"full":true,"servers":[]}`)
			return
		}
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(other.CloseClientConnections)
	p.start()
	p.stalledNotices.Store(1)
	if s := p.submit("a", 0.4); s != http.StatusAccepted {
		t.Fatal(s)
	}
	p.waitFor("no notice", func() bool { return p.stalledNotices.Load() > 1 })
	old, _ := os.ReadFile(p.config)
	for _, text := range []string{`{"name":`, strings.Replace(string(old), `"TryLimit":12`, `"TryLimit":0`, 1),
		strings.Replace(string(old), `"name"`, fmt.Sprintf(`"discovery":%q,"name"`, other.Listener.Addr()), 1)} {
		os.WriteFile(p.config, []byte(text), 0o600)
		time.Sleep(50 * time.Millisecond)
		if len(listRequests) > 0 {
			t.Error("an invalid file or no SIGHUP changed the address")
		}
		p.cmd.Process.Signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
	}
	p.waitFor("the notice was not sent to the new address", func() bool { return len(notices) > 0 && len(listRequests) > 1 })
	if n := <-notices; !strings.Contains(n, `"a"`) {
		t.Error(n)
	}
	p.stop(syscall.SIGKILL)
	p.start()
	p.waitFor("no list request at the new address after a restart", func() bool { return len(listRequests) > 2 })
}

// Clients keep submitting during a planned restart. Every request is answered, except one that crosses the close of a reused
// connection, and every accepted text is delivered by this process or the next one.
func TestPlannedRestartUnderLoad(t *testing.T) {
	p := newProgram(t)
	p.start()
	accepted, done := make(chan string, 9999), make(chan string, 8)
	var noNewConns atomic.Bool // clients open no more connections
	client := func(no int) string {
		var c net.Conn
		for i := 0; ; i++ {
			id, isNew := fmt.Sprintf("%d-%d", no, i), c == nil
			if isNew {
				if noNewConns.Load() {
					return ""
				}
				var err error
				if c, err = net.Dial("tcp", p.listen); err != nil {
					return err.Error()
				}
			}
			c.SetDeadline(time.Now().Add(2 * time.Second))
			fmt.Fprintf(c, requestFormat, id)
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			switch {
			case err != nil && isNew:
				return "no answer on a new connection: " + err.Error()
			case err == nil && r.StatusCode == http.StatusAccepted:
				accepted <- id
			case err == nil && r.StatusCode != http.StatusServiceUnavailable:
				return r.Status
			}
			if err != nil || r.Close {
				c.Close()
				c = nil
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	for no := range cap(done) {
		go func() { done <- client(no) }()
	}
	time.Sleep(300 * time.Millisecond)
	time.AfterFunc(400*time.Millisecond, func() { noNewConns.Store(true) })
	if err := p.stop(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	for range cap(done) {
		if failure := <-done; failure != "" {
			t.Error(failure)
		}
	}
	p.start()
	n := len(accepted)
	if n < 20 {
		t.Errorf("only %d accepted", n)
	}
	for range n {
		id := <-accepted
		p.waitFor(id+" is not delivered", func() bool { _, ok := p.delivered.Load(id); return ok })
	}
	if p.notices.Load() > 0 {
		t.Errorf("%d notices", p.notices.Load())
	}
}

// A sender accepts texts while no receiver is available and is then stopped or killed. The next process starts with a backlog
// far larger than the receiver's estimated rate can serve, and must still attempt every text instead of shedding it.
func TestABacklogIsTriedAfterARestart(t *testing.T) {
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		p := newProgram(t)
		listed, _ := os.ReadFile(p.config)
		slow := bytes.Replace(bytes.Replace(listed, []byte(`"weight":100`), []byte(`"weight":4`), 1),
			[]byte(`"Instances"`), []byte(`"WeightSource":"nominal","Instances"`), 1)
		os.WriteFile(p.config, bytes.Replace(slow, []byte(`"active"`), []byte(`"left"`), 1), 0o600)
		p.start()
		for i := range 20 { // the SLA time is 0.5 s: at 4 texts a second, all but a few would be shed
			if status := p.submit(fmt.Sprint(i), 9); status != http.StatusAccepted {
				t.Fatal(status)
			}
		}
		if err := p.stop(s); s == syscall.SIGTERM && err != nil {
			t.Error(err)
		}
		os.WriteFile(p.config, slow, 0o600)
		p.start()
		for i := range 20 {
			p.waitFor(fmt.Sprint(s, ": ", i, " is not attempted"), func() bool { _, ok := p.delivered.Load(fmt.Sprint(i)); return ok })
		}
	}
}

// A text arrives during the shutdown of an idle sender. The process must wait for its call and not leave a call with an
// unknown outcome.
func TestATextAtTheEndOfAStop(t *testing.T) {
	p := newProgram(t)
	p.respond = make(chan bool)
	p.start()
	p.cmd.Process.Signal(syscall.SIGTERM)
	var open []net.Conn // newest last; the server closes idle connections after a while
	for {
		c, err := net.Dial("tcp", p.listen)
		if err != nil {
			break
		}
		if open = append(open, c); len(open) > 6 {
			open[0].Close()
			open = open[1:]
		}
		time.Sleep(30 * time.Millisecond)
	}
	c := open[len(open)-4] // the last ones may not have been accepted by the server
	c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, requestFormat, "a")
	if r, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || r.StatusCode != http.StatusAccepted {
		t.Fatal(r, err)
	}
	for _, c := range open {
		c.Close()
	}
	p.waitFor("no call", func() bool { return p.calls.Load() == 1 })
	ended := make(chan error, 1)
	go func() { ended <- p.cmd.Wait() }()
	select {
	case err := <-ended:
		t.Error("the process ended with a call in flight")
		ended <- err
	case <-time.After(300 * time.Millisecond):
	}
	close(p.respond)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	p.cmd = nil
}

// Texts that cannot be delivered before the end of the shutdown are delivered after the next start.
func TestStoppedWithCallsOut(t *testing.T) {
	p := newProgram(t)
	p.unresponsive.Store(true)
	p.start()
	p.submit("a", 9)
	p.waitFor("no call", func() bool { return p.calls.Load() == 1 })
	if err := p.stop(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	p.unresponsive.Store(false)
	before := p.calls.Load()
	p.start()
	p.waitFor("not delivered after the restart", func() bool { return p.calls.Load() > before })
}

// Bodies of the maximum size, together more than the ledger holds, arrive at once: each gets an answer and memory stays
// bounded.
func TestLargeBodiesAtOnce(t *testing.T) {
	p := newProgram(t)
	p.unresponsive.Store(true)
	p.start()
	body := strings.Repeat("x", 64<<10)
	answers := make(chan int, 300)
	for i := range cap(answers) {
		go func() {
			req, _ := http.NewRequest(http.MethodPost, "http://"+p.listen+"/api", strings.NewReader(body))
			req.Header = http.Header{"X-Call-Id": {fmt.Sprint(i)}, "X-Call-Class": {"free"}, "X-Envelope": {"dest=3"},
				"X-Budget": {"9"}}
			req.Close = true
			status := 0
			if r, err := http.DefaultClient.Do(req); err == nil {
				status = r.StatusCode
				r.Body.Close()
			}
			answers <- status
		}()
	}
	got := map[int]int{}
	for range cap(answers) {
		got[<-answers]++
	}
	if got[202] == 0 || got[503] == 0 || got[202]+got[503] != cap(answers) {
		t.Errorf("answers: %v", got)
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Skip("no /proc here")
	}
	_, peak, _ := strings.Cut(string(raw), "VmHWM:")
	var kb int
	if fmt.Sscan(peak, &kb); kb == 0 || kb > 187500 { // the default limit of a sender is 192 MB
		t.Errorf("peak memory %d KiB", kb)
	}
}

func TestCheckNamesTheKey(t *testing.T) {
	p := newProgram(t)
	for change, want := range map[string]string{`"MaxCalls":0`: "settings.Specifics.MaxCalls", `"MaxCalls":8`: "slots=8"} {
		raw, _ := os.ReadFile(p.config)
		text := strings.Replace(string(raw), `"MaxCalls":8`, change, 1)
		os.WriteFile(p.config+".other", []byte(text), 0o600)
		cmd := exec.Command(os.Args[0], "check", "--config", p.config+".other")
		cmd.Env = p.env
		out, err := cmd.CombinedOutput()
		if !strings.Contains(string(out), want) || (err == nil) != (want == "slots=8") {
			t.Errorf("%s: %v %s", change, err, out)
		}
	}
}

// The receivers' history survives a restart if a file is configured, and a corrupt file does not prevent the start.
func TestHistorySurvivesRestart(t *testing.T) {
	p := newProgram(t)
	dir := t.TempDir()
	options, historyFile := filepath.Join(dir, "own.toml"), filepath.Join(dir, "learnt.json")
	p.flags = []string{"--with", options}
	os.WriteFile(options, []byte(fmt.Sprintf("[move]\nlearnt = %q\n", historyFile)), 0o600) // if this fails, the start fails
	p.start()
	p.submit("a", 9)
	p.waitFor("no call", func() bool { _, done := p.delivered.Load("a"); return done })
	p.stop(syscall.SIGTERM)
	raw, err := os.ReadFile(historyFile)
	if err != nil || !bytes.Contains(raw, []byte(`"pace"`)) {
		t.Fatalf("%s %v", raw, err)
	}
	p.start()
	p.stop(syscall.SIGTERM)
	os.WriteFile(historyFile, []byte("{"), 0o600) // if this fails, the history is loaded again
	p.start()
	p.stop(syscall.SIGTERM)
	for _, line := range []string{"event=recalled part=serve", "receivers=1", "event=not_recalled"} {
		if !strings.Contains(p.log.String(), line) {
			t.Errorf("%s is missing from the log", line)
		}
	}
}
