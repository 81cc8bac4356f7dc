// Command drill plays the cases of review/: it starts the tier's programs as separate processes on loopback addresses, with
// stand-ins for the operator, the receivers and the clients, and checks one rule by what these have seen.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// tier is a small deployment: machines of the front class with a disk, and machines of the store class.
type tier struct {
	dir      string
	commands map[string][]string // by role, as in the deploy file
	ports    ports
	fronts   []*machine
	stores   []*machine

	mutex     sync.Mutex
	processes []*process
	stopped   bool // no process may be started any more
}

type ports struct{ front, readiness, control, internal int }

type machine struct {
	name, class, zone, ip string
}

type process struct {
	role    string
	machine *machine
	command *exec.Cmd
	done    chan struct{}
}

var runLine = regexp.MustCompile(`(?m)^\[roles\.([a-z-]+)\]\s*\nrun = "([^"]+)"`)

// newTier reads the commands of the roles from the deploy file and picks free ports.
func newTier(fronts, stores int) (*tier, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	t := &tier{commands: map[string][]string{}}
	for _, found := range runLine.FindAllStringSubmatch(string(text), -1) {
		t.commands[found[1]] = strings.Fields(found[2])
	}
	for _, role := range []string{"proxy", "control-plane", "store"} {
		if len(t.commands[role]) == 0 {
			return nil, fmt.Errorf("the deploy file names no command for %s", role)
		}
	}
	if t.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	network := 64 + os.Getpid()%64
	for i := range fronts {
		zone := string(rune('a' + i%3))
		t.fronts = append(t.fronts, &machine{name: fmt.Sprintf("front-%d", i+1), class: "front", zone: zone,
			ip: fmt.Sprintf("127.%d.1.%d", network, i+1)})
	}
	for i := range stores {
		zone := string(rune('a' + i%3))
		t.stores = append(t.stores, &machine{name: fmt.Sprintf("store-%d", i+1), class: "store", zone: zone,
			ip: fmt.Sprintf("127.%d.2.%d", network, i+1)})
	}
	return t, t.pickPorts()
}

// pickPorts finds ports that are free on the addresses of all machines.
func (t *tier) pickPorts() error {
	all := append(append([]*machine{}, t.fronts...), t.stores...)
	for base := 20000 + os.Getpid()%2000*8; base < 60000; base += 64 {
		free := true
		for offset := range 24 {
			for _, m := range all {
				listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", m.ip, base+offset))
				if err != nil {
					free = false
					break
				}
				listener.Close()
			}
		}
		if free {
			t.ports = ports{front: base, readiness: base + 1, control: base + 2, internal: base + 4}
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (t *tier) settings(m *machine, role string, bootstrap bool) string {
	var b strings.Builder
	seeds := []string{}
	for _, f := range t.fronts[:min(3, len(t.fronts))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", f.ip, t.ports.control)))
	}
	serves := map[string]string{"proxy": "front", "control-plane": "control", "store": "store"}[role]
	fmt.Fprintf(&b, "node_name = %q\nrole = %q\nmachine_class = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = \"r\"\n",
		m.name, role, m.class, serves, m.ip, m.zone)
	fmt.Fprintf(&b, "internal_ports = [%d,%d]\nseed_nodes = [%s]\n", t.ports.internal, t.ports.internal+15, strings.Join(seeds, ","))
	fmt.Fprintf(&b, "bootstrap = %t\ncounts_for_quorum = true\n", bootstrap)
	if role != "proxy" {
		fmt.Fprintf(&b, "data_dir = %q\n", filepath.Join(t.dir, m.name, role, "data"))
	}
	b.WriteString("discovery = \"registration\"\nentry = \"vip\"\nheartbeat_ms = 1200\n[zones]\na = \"r\"\nb = \"r\"\nc = \"r\"\n[listen]\n")
	switch role {
	case "proxy":
		fmt.Fprintf(&b, "front = \"%s:%d\"\nreadiness = \"%s:%d\"\n", m.ip, t.ports.front, m.ip, t.ports.readiness)
	case "control-plane":
		fmt.Fprintf(&b, "control = \"%s:%d\"\n", m.ip, t.ports.control)
	}
	b.WriteString("[limits]\ncpu_share = 0.72\ncores = 1\nmemory_mb = 244\nmax_fds = 4100\nlink_mbps = 1000.0\n")
	if role == "store" {
		b.WriteString("disk_mb = 310\n")
	} else {
		b.WriteString("disk_mb = 64\n")
	}
	b.WriteString("[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\n" +
		"contact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4.2\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n" +
		"config_apply_ms = 2000\nrollback_slack_ms = 250\nclock_skew_ms = 5000\nrecovery_s = 12\npass_ms = 120\n" +
		"again_s = 0\nfinish_s = 10\nsettle_ms = 1000\n")
	return b.String()
}

// startAll starts every process as at the first start of the system.
func (t *tier) startAll() error {
	for _, m := range t.fronts {
		for _, role := range []string{"proxy", "control-plane"} {
			if _, err := t.start(m, role, true); err != nil {
				return err
			}
		}
	}
	for _, m := range t.stores {
		if _, err := t.start(m, "store", true); err != nil {
			return err
		}
	}
	return nil
}

func (t *tier) start(m *machine, role string, bootstrap bool) (*process, error) {
	dir := filepath.Join(t.dir, m.name, role)
	if err := os.MkdirAll(filepath.Join(dir, "data"), 0o755); err != nil {
		return nil, err
	}
	file := filepath.Join(dir, "settings.toml")
	if err := os.WriteFile(file, []byte(t.settings(m, role, bootstrap)), 0o644); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	arguments := t.commands[role]
	p := &process{role: role, machine: m, command: exec.Command(arguments[0], arguments[1:]...), done: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.Env = append(os.Environ(), "EMBERQUAY_NODE_FILE="+file)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.stopped {
		return nil, fmt.Errorf("the case is over")
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.command.Wait()
		close(p.done)
	}()
	t.processes = append(t.processes, p)
	return p, nil
}

// find returns the newest process of a role on a machine.
func (t *tier) find(m *machine, role string) *process {
	for i := len(t.processes) - 1; i >= 0; i-- {
		if p := t.processes[i]; p.machine == m && p.role == role {
			return p
		}
	}
	return nil
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// stopAll kills the processes that this program started, and removes their folder unless KEEP is set.
func (t *tier) stopAll() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.stopped = true
	for _, p := range t.processes {
		if !p.ended() {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			<-p.done
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(t.dir)
	} else {
		fmt.Fprintln(os.Stderr, "kept", t.dir)
	}
}

func (t *tier) controlAddress(i int) string {
	return fmt.Sprintf("%s:%d", t.fronts[i%len(t.fronts)].ip, t.ports.control)
}

func (t *tier) frontAddress(i int) string {
	return fmt.Sprintf("%s:%d", t.fronts[i%len(t.fronts)].ip, t.ports.front)
}

// configure sends a whole configuration as the operator does: the same bytes again, to the next sender, until an answer is
// clear.
func (t *tier) configure(base uint64, body []byte, until time.Time) (int, error) {
	// A second of silence, and more for a large body.
	silence := time.Second + time.Duration(len(body)>>20)*time.Second
	client := &http.Client{Timeout: silence, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; time.Now().Before(until); i++ {
		request, err := http.NewRequest("POST", "http://"+t.controlAddress(i)+"/api/Config.Replace", bytes.NewReader(body))
		if err != nil {
			return 0, err
		}
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("Emberquay-Base-Version", fmt.Sprint(base))
		response, err := client.Do(request)
		if err == nil {
			io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if response.StatusCode < 500 && response.StatusCode != 408 && response.StatusCode != 429 {
				return response.StatusCode, nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0, fmt.Errorf("no clear answer to the configuration")
}

// awaitReady waits until all proxies say that they are ready.
func (t *tier) awaitReady(until time.Time) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, m := range t.fronts {
		for {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/api/readiness", m.ip, t.ports.readiness))
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// dialer connects with the second that clients give a new connection.
var dialer = &net.Dialer{Timeout: time.Second}

func dial(ctx context.Context, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp4", address)
}
