package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"emberquay/internal/lab/processes"
)

// sender is one real sender process; it is restarted as the day's events demand.
type sender struct {
	playback         *Playback
	no               int
	reconfigurations int // number of reconfigurations so far

	// guarded by the playback's lock
	platform     *platform
	inRotation   bool // the front sends hand-ins to it
	down         bool
	downCount    int
	cpuTime      time.Duration
	peakMemoryKB int64

	cmd          *exec.Cmd
	exited       chan struct{}
	exitExpected bool // the exit of the process is intended, so it is no crash
}

func newSender(s *Playback, no int) *sender { return &sender{playback: s, no: no, down: true} }

func (o *sender) name() string         { return fmt.Sprintf("n%d", o.no+1) }
func (o *sender) platformAddr() string { return o.playback.net.platformAddr(o.no, o.reconfigurations) }
func (o *sender) dir() string          { return filepath.Join(o.playback.opt.Dir, o.name()) }

func (o *sender) currentPlatform() *platform {
	o.playback.mu.Lock()
	defer o.playback.mu.Unlock()
	return o.platform
}

func (o *sender) isDown() bool {
	o.playback.mu.Lock()
	defer o.playback.mu.Unlock()
	return o.down
}

// writeConfig writes the configuration file that the sender reads at its start and on a reload.
func (o *sender) writeConfig() error {
	s, w := o.playback, o.playback.day.World
	conf := map[string]any{"name": o.name(), "listen": s.net.frontAddr(o.no), "discovery": o.platformAddr(), "state": filepath.Join(o.dir(), "state"),
		"seed":     fmt.Sprintf("%x", s.day.Seed+uint64(o.no)),
		"limits":   map[string]any{"cores": w.Sender.Cores, "memory_mb": w.Sender.MemoryMB, "sockets": w.Sender.Sockets, "disk_mb": w.Sender.DiskMB},
		"settings": s.day.Settings()}
	if w.List.Known {
		conf["known"] = s.receiverListSince(o.no, 0, s.day.Version(o.no, s.now()))
	}
	raw, err := json.MarshalIndent(conf, "", " ")
	if err != nil {
		return err
	}
	// Replaced atomically, since a sender may be reading the file.
	path := filepath.Join(o.dir(), "config.json")
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// start starts the process.
func (o *sender) start(ctx context.Context, launch *processes.Launcher) error {
	if err := o.writeConfig(); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(o.dir(), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	s := o.playback
	cmd := exec.Command(s.opt.Command[0], s.opt.Command[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + o.dir(), "TMPDIR=" + o.dir(), "GW_NAME=" + o.name(),
		"GW_LISTEN=" + s.net.frontAddr(o.no), "GW_DISCOVERY=" + o.platformAddr(), "GW_STATE=" + filepath.Join(o.dir(), "state"),
		"GW_CONFIG=" + filepath.Join(o.dir(), "config.json")}, s.opt.Env...)
	s.locked(func(now time.Duration) { s.referee.SenderStarted(now, o.no) })
	if err := launch.Start(cmd); err != nil {
		return fmt.Errorf("sender %s: %w", o.name(), err)
	}
	exited := make(chan struct{})
	s.mu.Lock()
	o.cmd, o.exited, o.exitExpected = cmd, exited, false
	s.mu.Unlock()
	s.actors.Go(func() {
		defer close(exited)
		err := cmd.Wait()
		s.locked(func(now time.Duration) {
			if !o.exitExpected {
				s.crashes = append(s.crashes, fmt.Sprintf("sender %s ended by itself at %.3fs: %v; see its log", o.name(), now.Seconds(), err))
				o.markDown(now)
			}
			o.cpuTime += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		})
	})
	return nil
}

// recordPeakMemory records the peak memory of the running process. The usage that the system reports for an exited child
// is no substitute: it includes this process's own memory at the time of the start. The caller holds the lock.
func (o *sender) recordPeakMemory() {
	if o.cmd == nil {
		return
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", o.cmd.Process.Pid))
	if err != nil {
		return // the process has exited, or the system has no /proc
	}
	for line := range strings.Lines(string(raw)) {
		var kb int64
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			o.peakMemoryKB = max(o.peakMemoryKB, kb)
		}
	}
}

// markDown records that the sender is down; the front sends to it until it detects that. The caller holds the lock.
func (o *sender) markDown(now time.Duration) {
	s := o.playback
	o.down = true
	s.referee.SenderDown(now, o.no)
	life := o.downCount
	o.downCount++
	time.AfterFunc(s.day.DeathNoticeDelay(o.no, life), func() {
		s.locked(func(time.Duration) {
			if o.down && o.downCount == life+1 {
				o.inRotation = false
			}
		})
	})
}

// waitReady waits until the sender answers GET /up with 200.
func (o *sender) waitReady(ctx context.Context) error {
	s := o.playback
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(time.Duration(s.day.World.Sender.ReadyWithS * float64(time.Second)))
	for time.Now().Before(end) && ctx.Err() == nil {
		resp, err := client.Get("http://" + s.net.frontAddr(o.no) + "/up")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				s.locked(func(now time.Duration) {
					s.referee.SenderReady(now, o.no)
					o.down, o.inRotation = false, true
				})
				return nil
			}
		}
		select {
		case <-o.exited:
			return fmt.Errorf("sender %s ended before it was ready; its log says: %s", o.name(), o.logTail())
		case <-time.After(10 * time.Millisecond):
		}
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	return fmt.Errorf("sender %s does not answer GET /up at %s within %vs; its log says: %s", o.name(), s.net.frontAddr(o.no),
		s.day.World.Sender.ReadyWithS, o.logTail())
}

func (o *sender) logTail() string {
	raw, _ := os.ReadFile(filepath.Join(o.dir(), "log"))
	if len(raw) > 400 {
		raw = raw[len(raw)-400:]
	}
	return string(raw)
}

// playEvents runs the sender's scheduled events (reload, kill, stop) one after the other.
func (o *sender) playEvents(ctx context.Context, launch *processes.Launcher) {
	s := o.playback
	for _, f := range s.day.Fates {
		if f.Sender != o.no || !s.waitUntil(ctx, time.Duration(f.AtS*float64(time.Second))) {
			continue
		}
		switch f.What {
		case "hup":
			o.reload()
			continue
		case "kill":
			o.kill()
		case "term":
			o.terminate(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(f.DownS * float64(time.Second))):
		}
		if err := o.start(ctx, launch); err == nil {
			err = o.waitReady(ctx)
			if err != nil && ctx.Err() == nil {
				s.locked(func(time.Duration) { s.crashes = append(s.crashes, err.Error()) })
			}
		}
	}
}

// kill ends the process with SIGKILL.
func (o *sender) kill() {
	o.playback.locked(func(now time.Duration) {
		o.exitExpected = true
		o.recordPeakMemory()
		if !o.down {
			o.markDown(now)
		}
		o.cmd.Process.Kill()
	})
	<-o.exited
}

// stopTimeout is the time from SIGTERM to SIGKILL.
const stopTimeout = 3700 * time.Millisecond

// terminate stops the process with SIGTERM. The front keeps sending to it for another 300 ms.
func (o *sender) terminate(ctx context.Context) {
	s := o.playback
	s.locked(func(now time.Duration) {
		o.exitExpected = true
		o.recordPeakMemory()
		s.referee.SenderStopping(now, o.no)
		o.cmd.Process.Signal(syscall.SIGTERM)
	})
	time.AfterFunc(300*time.Millisecond, func() { s.locked(func(time.Duration) { o.inRotation = false }) })
	select {
	case <-o.exited:
	case <-time.After(stopTimeout):
		o.kill()
	case <-ctx.Done():
		o.kill()
	}
	s.locked(func(now time.Duration) {
		if !o.down {
			o.down = true
			s.referee.SenderDown(now, o.no)
		}
	})
}

// reload moves the platform to a new address and has the sender reload its configuration. The old address takes no new
// connections from then on; its open ones are closed after 1.5 s.
func (o *sender) reload() {
	s := o.playback
	old := o.currentPlatform()
	o.reconfigurations++
	next, err := newPlatform(s, o.no, o.platformAddr())
	if err == nil {
		err = o.writeConfig()
	}
	if err != nil {
		s.fail(err)
		return
	}
	s.locked(func(time.Duration) {
		o.platform = next
		if !o.down {
			o.cmd.Process.Signal(syscall.SIGHUP)
		}
	})
	old.listener.Close()
	time.AfterFunc(1500*time.Millisecond, old.close)
}

// shutdown stops the process at the end of a playback, with SIGKILL after stopTimeout.
func (o *sender) shutdown() {
	o.playback.mu.Lock()
	cmd, exited := o.cmd, o.exited
	o.exitExpected = true
	o.recordPeakMemory()
	o.playback.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		cmd.Process.Kill()
		<-exited
	}
}
