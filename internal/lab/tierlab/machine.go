package tierlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"emberquay/internal/lab/referee/tierrules"
	"emberquay/internal/tier/settings"
)

// role of a process.
type role struct {
	name   string // of the command
	serves string
	disk   bool
}

var (
	proxyRole   = role{name: "proxy", serves: settings.ServiceFront}
	controlRole = role{name: "control-plane", serves: settings.ServiceControl, disk: true}
	storeRole   = role{name: "store", serves: settings.ServiceStore, disk: true}
)

// process is one of the tier's processes, started anew as the day has it. mu guards what follows it.
type process struct {
	lab     *lab
	machine string
	ip      string
	zone    string
	role    role

	mu      sync.Mutex
	started bool // once before: it does not bootstrap again
	cmd     *exec.Cmd
	exited  chan struct{}
	since   time.Time // it was started
	meant   bool      // its end is wanted
	away    bool      // its machine was taken away
}

func (p *process) name() string { return p.machine + "/" + p.role.name }

func (p *process) dir() string { return filepath.Join(p.lab.dir, p.machine, p.role.name) }

func (p *process) dataDir() string { return filepath.Join(p.dir(), "data") }

// write writes the settings file, in one step since the process may read it just now.
func (p *process) write(bootstrap bool) (string, error) {
	if err := os.MkdirAll(p.dataDir(), 0o700); err != nil {
		return "", err
	}
	path := filepath.Join(p.dir(), "settings.toml")
	if err := os.WriteFile(path+".new", []byte(p.settings(bootstrap)), 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}

func (p *process) settings(bootstrap bool) string {
	b := p.lab.bounds
	var out strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&out, format+"\n", args...) }
	class := "front"
	if p.role == storeRole {
		class = "store"
	}
	line("node_name = %q\nrole = %q\nmachine_class = %q\nserves = [%q]", p.machine, p.role.name, class, p.role.serves)
	line("ip = %q\nzone = %q\nregion = \"lab\"", p.ip, p.zone)
	line("internal_ports = [%d,%d]", internalFirst, internalLast)
	line("seed_nodes = [%s]", quoted(p.lab.controlAddresses()))
	line("bootstrap = %v\ncounts_for_quorum = true\nheartbeat_ms = %d", bootstrap, heartbeatInterval.Milliseconds())
	if p.role.disk {
		line("data_dir = %q", p.dataDir())
	}
	line("[zones]\na = \"lab\"\nb = \"lab\"\nc = \"lab\"\n[listen]")
	switch p.role {
	case proxyRole:
		line("front = %q\nreadiness = %q", at(p.ip, frontPort), at(p.ip, readinessPort))
	case controlRole:
		line("control = %q", at(p.ip, controlPort))
	}
	line("[limits]\ncpu_share = 1.0\ncores = 1\nmemory_mb = 256\nmax_fds = 4096\nlink_mbps = 1000.0\ndisk_mb = 64")
	line("[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]")
	line("contact_ms = %d\nack_ms = %d\ndrain_ms = %d", b.Contact.Milliseconds(), b.Ack.Milliseconds(), b.Drain.Milliseconds())
	line("grace_s = %g\nconfig_apply_ms = %d\nrecovery_s = %g", b.Grace.Seconds(), b.ConfigApply.Milliseconds(), b.Recovery.Seconds())
	line("rollback_slack_ms = %d\nloss_slack_ms = %d\ncatch_up_s = 2", b.RollbackSlack.Milliseconds(), b.LossSlack.Milliseconds())
	return out.String()
}

func quoted(list []string) string {
	parts := make([]string, 0, len(list))
	for _, s := range list {
		parts = append(parts, fmt.Sprintf("%q", s))
	}
	return strings.Join(parts, ",")
}

// start starts the process, unless another strike has done so or its machine was taken away.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.away || p.runs() {
		return nil
	}
	path, err := p.write(!p.started)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir(), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.lab.options.Program, p.role.name)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.dir(), "TMPDIR=" + p.dir(), settings.PathVariable + "=" + path}, p.lab.options.Env...)
	if p.role == proxyRole {
		p.lab.record.see(func(now time.Duration, h *tierrules.History) {
			h.ProcessStarts = append(h.ProcessStarts, tierrules.ProcessStart{Machine: p.machine, At: now})
		})
	}
	if err := p.lab.launch.Start(cmd); err != nil {
		return eris.Wrap(err, p.name())
	}
	exited := make(chan struct{})
	p.started, p.cmd, p.exited, p.since, p.meant = true, cmd, exited, time.Now(), false
	go p.wait(cmd, exited)
	return nil
}

// runs says whether the process has been started and has not ended. Under the lock.
func (p *process) runs() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// wait notes an end that nobody wanted.
func (p *process) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	meant := p.meant
	p.mu.Unlock()
	if !meant {
		p.lab.record.crashed(fmt.Sprintf("%s ended by itself at %.3fs: %v; its log says: %s", p.name(), p.lab.record.now().Seconds(), err, p.lastWords()))
	}
	close(exited)
}

// lastWords is the end of its log.
func (p *process) lastWords() string {
	raw, _ := os.ReadFile(filepath.Join(p.dir(), "log"))
	const enough = 400
	return string(raw[max(0, len(raw)-enough):])
}

// signal sends a signal; ending says that its end is wanted. It gives what is closed once the process has ended.
func (p *process) signal(s syscall.Signal, ending bool) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		over := make(chan struct{})
		close(over)
		return over
	}
	p.meant = p.meant || ending
	_ = p.cmd.Process.Signal(s) // it may have ended
	return p.exited
}

// loadingTime is for how long after its start a process is sent no SIGHUP. It reads its settings as it starts, and until the
// kernel, the loader and Go's runtime have brought it to code of its own, which takes some milliseconds, nothing in it
// could keep the signal from ending it.
const loadingTime = 200 * time.Millisecond

// reload tells it that its settings have changed.
func (p *process) reload() {
	p.mu.Lock()
	loading := time.Since(p.since) < loadingTime
	p.mu.Unlock()
	if !loading {
		p.signal(syscall.SIGHUP, false)
	}
}

// quotaPeriod is in which a process's share of the processor is used up at full speed.
const quotaPeriod = 100 * time.Millisecond

// ration lets the process run for a share of each period, until ctx ends.
func (p *process) ration(ctx context.Context, share float64) {
	runs := time.Duration(share * float64(quotaPeriod))
	sleep(ctx, time.Duration(rand.Int64N(int64(quotaPeriod)))) // not all at the same moments
	for ctx.Err() == nil {
		sleep(ctx, runs)
		p.signal(syscall.SIGSTOP, false)
		sleep(ctx, quotaPeriod-runs)
		p.signal(syscall.SIGCONT, false)
	}
}

// kill ends it at once.
func (p *process) kill() { <-p.signal(syscall.SIGKILL, true) }

// takeAway ends it for good.
func (p *process) takeAway() {
	p.mu.Lock()
	p.away = true
	p.mu.Unlock()
	p.kill()
}

// stop lets it end within the grace, and kills it then.
func (p *process) stop(ctx context.Context) {
	exited := p.signal(syscall.SIGTERM, true)
	select {
	case <-exited:
		return
	case <-time.After(p.lab.bounds.Grace):
	case <-ctx.Done():
	}
	p.kill()
}

// wipe empties its disk; the process has ended before.
func (p *process) wipe() error { return os.RemoveAll(p.dataDir()) }
