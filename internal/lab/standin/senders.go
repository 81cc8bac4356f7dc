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

func (snd *sender) name() string { return fmt.Sprintf("n%d", snd.no+1) }
func (snd *sender) platformAddr() string {
	return snd.playback.net.platformAddr(snd.no, snd.reconfigurations)
}
func (snd *sender) dir() string { return filepath.Join(snd.playback.opt.Dir, snd.name()) }

func (snd *sender) currentPlatform() *platform {
	snd.playback.mu.Lock()
	defer snd.playback.mu.Unlock()
	return snd.platform
}

func (snd *sender) isDown() bool {
	snd.playback.mu.Lock()
	defer snd.playback.mu.Unlock()
	return snd.down
}

// writeConfig writes the configuration file that the sender reads at its start and on a reload.
func (snd *sender) writeConfig() error {
	s, w := snd.playback, snd.playback.day.World
	conf := map[string]any{"name": snd.name(), "listen": s.net.frontAddr(snd.no), "discovery": snd.platformAddr(), "state": filepath.Join(snd.dir(), "state"),
		"seed":     fmt.Sprintf("%x", s.day.Seed+uint64(snd.no)),
		"limits":   map[string]any{"cores": w.Sender.Cores, "memory_mb": w.Sender.MemoryMB, "sockets": w.Sender.Sockets, "disk_mb": w.Sender.DiskMB},
		"settings": s.day.Settings()}
	if w.List.Known {
		conf["known"] = s.receiverListSince(snd.no, 0, s.day.Version(snd.no, s.now()))
	}
	raw, err := json.MarshalIndent(conf, "", " ")
	if err != nil {
		return err
	}
	// Replaced atomically, since a sender may be reading the file.
	path := filepath.Join(snd.dir(), "config.json")
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// start starts the process.
func (snd *sender) start(ctx context.Context, launch *processes.Launcher) error {
	if err := snd.writeConfig(); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(snd.dir(), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	s := snd.playback
	cmd := exec.Command(s.opt.Command[0], s.opt.Command[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + snd.dir(), "TMPDIR=" + snd.dir(), "GW_NAME=" + snd.name(),
		"GW_LISTEN=" + s.net.frontAddr(snd.no), "GW_DISCOVERY=" + snd.platformAddr(), "GW_STATE=" + filepath.Join(snd.dir(), "state"),
		"GW_CONFIG=" + filepath.Join(snd.dir(), "config.json")}, s.opt.Env...)
	s.locked(func(now time.Duration) { s.referee.SenderStarted(now, snd.no) })
	if err := launch.Start(cmd); err != nil {
		return fmt.Errorf("sender %s: %w", snd.name(), err)
	}
	exited := make(chan struct{})
	s.mu.Lock()
	snd.cmd, snd.exited, snd.exitExpected = cmd, exited, false
	s.mu.Unlock()
	s.actors.Go(func() {
		defer close(exited)
		err := cmd.Wait()
		s.locked(func(now time.Duration) {
			if !snd.exitExpected {
				s.crashes = append(s.crashes, fmt.Sprintf("sender %s ended by itself at %.3fs: %v; see its log", snd.name(), now.Seconds(), err))
				snd.markDown(now)
			}
			snd.cpuTime += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		})
	})
	return nil
}

// recordPeakMemory records the peak memory of the running process. The usage that the system reports for an exited child
// is no substitute: it includes this process's own memory at the time of the start. The caller holds the lock.
func (snd *sender) recordPeakMemory() {
	if snd.cmd == nil {
		return
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", snd.cmd.Process.Pid))
	if err != nil {
		return // the process has exited, or the system has no /proc
	}
	for line := range strings.Lines(string(raw)) {
		var kb int64
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			snd.peakMemoryKB = max(snd.peakMemoryKB, kb)
		}
	}
}

// markDown records that the sender is down; the front sends to it until it detects that. The caller holds the lock.
func (snd *sender) markDown(now time.Duration) {
	s := snd.playback
	snd.down = true
	s.referee.SenderDown(now, snd.no)
	life := snd.downCount
	snd.downCount++
	time.AfterFunc(s.day.DeathNoticeDelay(snd.no, life), func() {
		s.locked(func(time.Duration) {
			if snd.down && snd.downCount == life+1 {
				snd.inRotation = false
			}
		})
	})
}

// waitReady waits until the sender answers GET /up with 200.
func (snd *sender) waitReady(ctx context.Context) error {
	s := snd.playback
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(time.Duration(s.day.World.Sender.ReadyWithS * float64(time.Second)))
	for time.Now().Before(end) && ctx.Err() == nil {
		resp, err := client.Get("http://" + s.net.frontAddr(snd.no) + "/up")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				s.locked(func(now time.Duration) {
					s.referee.SenderReady(now, snd.no)
					snd.down, snd.inRotation = false, true
				})
				return nil
			}
		}
		select {
		case <-snd.exited:
			return fmt.Errorf("sender %s ended before it was ready; its log says: %s", snd.name(), snd.logTail())
		case <-time.After(10 * time.Millisecond):
		}
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	return fmt.Errorf("sender %s does not answer GET /up at %s within %vs; its log says: %s", snd.name(), s.net.frontAddr(snd.no),
		s.day.World.Sender.ReadyWithS, snd.logTail())
}

func (snd *sender) logTail() string {
	raw, _ := os.ReadFile(filepath.Join(snd.dir(), "log"))
	if len(raw) > 400 {
		raw = raw[len(raw)-400:]
	}
	return string(raw)
}

// playEvents runs the sender's scheduled events (reload, kill, stop) one after the other.
func (snd *sender) playEvents(ctx context.Context, launch *processes.Launcher) {
	s := snd.playback
	for _, f := range s.day.Fates {
		if f.Sender != snd.no || !s.waitUntil(ctx, time.Duration(f.AtS*float64(time.Second))) {
			continue
		}
		switch f.What {
		case "hup":
			snd.reload()
			continue
		case "kill":
			snd.kill()
		case "term":
			snd.terminate(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(f.DownS * float64(time.Second))):
		}
		if err := snd.start(ctx, launch); err == nil {
			err = snd.waitReady(ctx)
			if err != nil && ctx.Err() == nil {
				s.locked(func(time.Duration) { s.crashes = append(s.crashes, err.Error()) })
			}
		}
	}
}

// kill ends the process with SIGKILL.
func (snd *sender) kill() {
	snd.playback.locked(func(now time.Duration) {
		snd.exitExpected = true
		snd.recordPeakMemory()
		if !snd.down {
			snd.markDown(now)
		}
		snd.cmd.Process.Kill()
	})
	<-snd.exited
}

// stopTimeout is the time from SIGTERM to SIGKILL.
const stopTimeout = 3700 * time.Millisecond

// terminate stops the process with SIGTERM. The front keeps sending to it for another 300 ms.
func (snd *sender) terminate(ctx context.Context) {
	s := snd.playback
	s.locked(func(now time.Duration) {
		snd.exitExpected = true
		snd.recordPeakMemory()
		s.referee.SenderStopping(now, snd.no)
		snd.cmd.Process.Signal(syscall.SIGTERM)
	})
	time.AfterFunc(300*time.Millisecond, func() { s.locked(func(time.Duration) { snd.inRotation = false }) })
	select {
	case <-snd.exited:
	case <-time.After(stopTimeout):
		snd.kill()
	case <-ctx.Done():
		snd.kill()
	}
	s.locked(func(now time.Duration) {
		if !snd.down {
			snd.down = true
			s.referee.SenderDown(now, snd.no)
		}
	})
}

// reload moves the platform to a new address and has the sender reload its configuration. The old address takes no new
// connections from then on; its open ones are closed after 1.5 s.
func (snd *sender) reload() {
	s := snd.playback
	old := snd.currentPlatform()
	snd.reconfigurations++
	next, err := newPlatform(s, snd.no, snd.platformAddr())
	if err == nil {
		err = snd.writeConfig()
	}
	if err != nil {
		s.fail(err)
		return
	}
	s.locked(func(time.Duration) {
		snd.platform = next
		if !snd.down {
			snd.cmd.Process.Signal(syscall.SIGHUP)
		}
	})
	old.listener.Close()
	time.AfterFunc(1500*time.Millisecond, old.close)
}

// shutdown stops the process at the end of a playback, with SIGKILL after stopTimeout.
func (snd *sender) shutdown() {
	snd.playback.mu.Lock()
	cmd, exited := snd.cmd, snd.exited
	snd.exitExpected = true
	snd.recordPeakMemory()
	snd.playback.mu.Unlock()
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
