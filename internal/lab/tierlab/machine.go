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

// role describes a kind of process.
type role struct {
	name   string // of the subcommand
	serves string
	disk   bool
}

var (
	proxyRole   = role{name: "proxy", serves: settings.ServiceFront}
	controlRole = role{name: "control-plane", serves: settings.ServiceControl, disk: true}
	storeRole   = role{name: "store", serves: settings.ServiceStore, disk: true}
)

// process is a process of the tier, which the scenario may restart. mu guards the fields below it.
type process struct {
	lab     *lab
	machine string
	ip      string
	zone    string
	role    role
	voter   bool // of a control plane: it has a disk and votes

	mu             sync.Mutex
	started        bool // at least once: a restart does not bootstrap
	cmd            *exec.Cmd
	exited         chan struct{}
	startedAt      time.Time // time of the last start
	exitExpected   bool      // the lab has asked it to end
	decommissioned bool      // its machine was removed for good
}

func (p *process) name() string { return p.machine + "/" + p.role.name }

func (p *process) dir() string { return filepath.Join(p.lab.dir, p.machine, p.role.name) }

// hasDisk reports whether the process stores data that lasts.
func (p *process) hasDisk() bool { return p.role.disk && (p.role != controlRole || p.voter) }

func (p *process) dataDir() string { return filepath.Join(p.dir(), "data") }

// writeSettings writes the settings file and renames it into place, since the process may be reading it.
func (p *process) writeSettings(bootstrap bool) (string, error) {
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
	line("seed_nodes = [%s]", quoted(p.lab.seedAddresses()))
	line("bootstrap = %v\ncounts_for_quorum = %v\nheartbeat_ms = %d", bootstrap, p.role != controlRole || p.voter, heartbeatInterval.Milliseconds())
	if p.hasDisk() {
		line("data_dir = %q", p.dataDir())
	}
	line("[zones]\na = \"lab\"\nb = \"lab\"\nc = \"lab\"\n[listen]")
	switch p.role {
	case proxyRole:
		line("front = %q\nreadiness = %q", joinHostPort(p.ip, frontPort), joinHostPort(p.ip, readinessPort))
	case controlRole:
		line("control = %q", joinHostPort(p.ip, controlPort))
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

// start starts the process, unless another fault has already restarted it or its machine was decommissioned.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.decommissioned || p.running() {
		return nil
	}
	path, err := p.writeSettings(!p.started)
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
		p.lab.record.update(func(now time.Duration, h *tierrules.History) {
			h.ProcessStarts = append(h.ProcessStarts, tierrules.ProcessStart{Machine: p.machine, At: now})
		})
	}
	if err := p.lab.launcher.Start(cmd); err != nil {
		return eris.Wrap(err, p.name())
	}
	exited := make(chan struct{})
	p.started, p.cmd, p.exited, p.startedAt, p.exitExpected = true, cmd, exited, time.Now(), false
	go p.wait(cmd, exited)
	return nil
}

// running reports whether the process has been started and has not ended. The caller holds mu.
func (p *process) running() bool {
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

// wait waits for the process and records an unexpected exit as a crash.
func (p *process) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	meant := p.exitExpected
	p.mu.Unlock()
	if !meant {
		p.lab.record.recordCrash(fmt.Sprintf("%s ended by itself at %.3fs: %v; its log says: %s", p.name(), p.lab.record.now().Seconds(), err, p.logTail()))
	}
	close(exited)
}

// logTail returns the end of the process's log.
func (p *process) logTail() string {
	raw, _ := os.ReadFile(filepath.Join(p.dir(), "log"))
	const enough = 400
	return string(raw[max(0, len(raw)-enough):])
}

// signal sends a signal; ending marks the exit as expected. It returns a channel that is closed once the process has ended.
func (p *process) signal(s syscall.Signal, ending bool) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	p.exitExpected = p.exitExpected || ending
	_ = p.cmd.Process.Signal(s) // the process may have ended
	return p.exited
}

// signalHandlerDelay is the time after a start during which a process is sent no SIGHUP. Until the kernel, the loader and
// Go's runtime reach the program's own code, which takes some milliseconds, no handler is installed and SIGHUP would kill
// the process. It reads its settings at the start anyway.
const signalHandlerDelay = 200 * time.Millisecond

// reload notifies the process of changed settings by SIGHUP.
func (p *process) reload() {
	p.mu.Lock()
	loading := time.Since(p.startedAt) < signalHandlerDelay
	p.mu.Unlock()
	if !loading {
		p.signal(syscall.SIGHUP, false)
	}
}

// quotaPeriod is the period of CPU throttling: a process runs at full speed until its share of the period is used up.
const quotaPeriod = 100 * time.Millisecond

// throttle lets the process run for a share of each period, until ctx ends.
func (p *process) throttle(ctx context.Context, share float64) {
	runs := time.Duration(share * float64(quotaPeriod))
	sleep(ctx, time.Duration(rand.Int64N(int64(quotaPeriod)))) // spreads the pauses of the processes
	for ctx.Err() == nil {
		sleep(ctx, runs)
		p.signal(syscall.SIGSTOP, false)
		sleep(ctx, quotaPeriod-runs)
		p.signal(syscall.SIGCONT, false)
	}
}

// kill sends SIGKILL and waits for the process to end.
func (p *process) kill() { <-p.signal(syscall.SIGKILL, true) }

// decommission kills the process and prevents any restart.
func (p *process) decommission() {
	p.mu.Lock()
	p.decommissioned = true
	p.mu.Unlock()
	p.kill()
}

// stop sends SIGTERM, and kills the process if it has not ended within the grace period.
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

// wipe removes the process's data folder; the process must have ended.
func (p *process) wipe() error { return os.RemoveAll(p.dataDir()) }
