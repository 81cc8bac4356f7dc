package standin

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"emberquay/internal/lab/world"
)

func TestMain(m *testing.M) {
	if fault := os.Getenv("TINY_FAULT"); fault != "" {
		fmt.Fprintln(os.Stderr, testSenderMain(fault))
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// faultyWorld returns a world in which each rule can be broken: waits, a drain, an outage with a cold return, a kill and
// a stop.
func faultyWorld() *world.World {
	w := world.Default()
	w.Seconds, w.Senders = 6, 1
	w.Load.PerSecond, w.Load.Clumps, w.Load.Zipf, w.Load.Swing = 9, 0, 0, 0
	w.Clients.Retries, w.Clients.NoticeS = 0, []float64{0.3}
	w.List.LagS = []float64{0.1, 0.2}
	w.Sender.ConnIdleS = 2
	w.Rules.DrainMs, w.Rules.ColdS, w.Rules.FallS = 400, 3, 1.5
	w.Product = []world.Product{
		{Name: "status", Share: 0.5, SLAS: 2, ValidityS: 4, Repeat: "resendable", Ordered: true, Keys: 2, Revenue: 1},
		{Name: "order", Share: 0.3, SLAS: 2, ValidityS: 4, Repeat: "referenced", WindowS: 2, Revenue: 1},
		{Name: "charge", Share: 0.2, SLAS: 2, ValidityS: 4, Repeat: "once-only", Revenue: 1},
	}
	kind := world.Kind{Endpoints: []float64{2}, ServiceMs: []float64{60}, Spare: []float64{2}, Queue: 3, Destinations: 1, TellsWait: 1}
	first, second, third := kind, kind, kind
	first.Name, first.Limit, first.Headroom, first.SpanS = "strict", "span", []float64{0.7}, 1
	second.Name, second.Limit = "shaky", "none"
	third.Name, third.Limit, third.Endpoints, third.Queue = "frail", "none", []float64{1}, 0
	w.Kind = []world.Kind{first, second, third}
	w.Trouble = []world.Trouble{
		{What: "errors", AtS: 0.5, ForS: 2, Kind: "shaky", Factor: 0.45},
		{What: "drain", AtS: 1, ForS: 4, Kind: "strict"},
		{What: "silent", AtS: 1, ForS: 1.5, Kind: "frail"},
	}
	w.Fate = []world.Fate{{What: "kill", AtS: 4, DownS: 0.3}, {What: "term", AtS: 5.2, DownS: 0.3}}
	return w
}

func options(t *testing.T, fault string) Options {
	return Options{Command: []string{os.Args[0]}, Env: []string{"TINY_FAULT=" + fault}, Dir: t.TempDir()}
}

func drawDay(t *testing.T, w *world.World) *world.Day {
	t.Helper()
	day, err := w.Draw(7)
	if err != nil {
		t.Fatal(err)
	}
	return day
}

// The referee finds the broken rule of test senders with one fault each, and none for a correct sender.
func TestVerdicts(t *testing.T) {
	for fault, rule := range map[string]int{"none": 0, "twice": 1, "loses": 1, "repeats": 2, "drains": 3, "floods": 4, "order": 5, "deaf": 6} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			opt := options(t, fault)
			r, err := Play(t.Context(), drawDay(t, faultyWorld()), opt)
			if err != nil {
				t.Fatal(err)
			}
			found := map[int]int{}
			for _, b := range r.Breaches {
				found[b.Rule]++
			}
			if rule == 0 && !r.Passed() || rule > 0 && found[rule] == 0 {
				raw, _ := os.ReadFile(filepath.Join(opt.Dir, "n1", "log"))
				t.Errorf("rules broken %v, expected %d; crashes %v\n%s%s", found, rule, r.Crashes, r.Verdict, raw)
				for _, b := range r.Breaches[:min(3, len(r.Breaches))] {
					t.Log(b, "\n  ", strings.Join(b.Last, "\n   "))
				}
			}
			if a := r.Account; a.HandIns < 40 || a.Submits < 20 {
				t.Errorf("too little traffic: %+v", a)
			}
		})
	}
}

// leftovers returns the processes and listeners of a playback that still exist.
func leftovers(t *testing.T, dir string, addrs ...string) (left []string) {
	t.Helper()
	procs, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, p := range procs {
		env, _ := os.ReadFile(p)
		if strings.Contains(string(env), "GW_STATE="+dir) {
			left = append(left, "process "+filepath.Base(filepath.Dir(p)))
		}
	}
	for _, addr := range addrs {
		if c, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			c.Close()
			left = append(left, "listener "+addr)
		}
	}
	return left
}

// No process and no listener remains after the context is cancelled (as Ctrl-C does) or after a sender crashes.
func TestNothingIsLeftBehind(t *testing.T) {
	for _, fault := range []string{"none", "crash"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			opt := options(t, fault)
			s, err := New(drawDay(t, faultyWorld()), opt)
			if err != nil {
				t.Fatal(err)
			}
			defer s.net.close()
			addrs := []string{s.net.frontAddr(0), s.net.platformAddr(0, 0), s.net.receiverAddr(0, 0)}
			go func() {
				<-s.started
				time.Sleep(1500 * time.Millisecond)
				if there := leftovers(t, opt.Dir, addrs...); fault == "none" && len(there) != 4 {
					t.Errorf("during the day: processes and listeners %v, want 4", there)
				}
				cancel()
			}()
			r, err := s.play(ctx)
			if err != context.Canceled || r == nil {
				t.Fatal(r, err)
			}
			if left := leftovers(t, opt.Dir, addrs...); len(left) > 0 {
				t.Errorf("left over after the playback: %v", left)
			}
			if crashed := slices.ContainsFunc(r.Crashes, func(c string) bool { return strings.Contains(c, "exit status 3") }); crashed != (fault == "crash") {
				t.Errorf("crashes: %v", r.Crashes)
			}
		})
	}
}

// Play returns an error with the cause if a sender does not start or exits before it is ready.
func TestSenderThatDoesNotStart(t *testing.T) {
	w := faultyWorld()
	w.Sender.ReadyWithS = 0.3
	for command, want := range map[string]string{"/bin/false": "ended before it was ready", "/nowhere/at/all": "no such file"} {
		_, err := Play(t.Context(), drawDay(t, w), Options{Command: []string{command}})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", command, err)
		}
	}
}

// A sender that exits on SIGHUP counts as crashed: the test sender does not handle the signal.
func TestNewConfiguration(t *testing.T) {
	w := faultyWorld()
	w.Seconds, w.Fate = 1, []world.Fate{{What: "hup", AtS: 0.5}}
	r, err := Play(t.Context(), drawDay(t, w), options(t, "none"))
	if err != nil || len(r.Crashes) != 1 || !strings.Contains(r.Crashes[0], syscall.SIGHUP.String()) {
		t.Error(r, err)
	}
}
