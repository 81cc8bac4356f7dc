package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"emberquay/internal/delivery/clients"
	"emberquay/internal/delivery/config"
	"emberquay/internal/delivery/directory"
	"emberquay/internal/delivery/ledger"
	"emberquay/internal/delivery/notices"
	"emberquay/internal/delivery/protocol"
	"emberquay/internal/delivery/receivers"
	"emberquay/internal/delivery/sender"
	"emberquay/internal/delivery/warmstart"
	"emberquay/internal/logs"
	"emberquay/internal/signals"
	"emberquay/internal/vfs"
)

type serveCmd struct{ where }

func (serveCmd) takesSignals() {}

// Run puts the parts together and serves until SIGTERM or SIGINT.
func (c *serveCmd) Run() error {
	told := signals.StopRequested()
	conf, own, err := c.read()
	if err != nil {
		return err
	}
	logs.Setup(os.Stderr, conf.Limits.LogLinesPerSecond, own.Log)
	runtime.GOMAXPROCS(conf.Limits.Cores)
	debug.SetMemoryLimit(conf.Limits.MemoryBytes * 6 / 10) // files, stacks and the program itself take the rest

	kept, err := openLedger(conf, own)
	if errors.Is(err, vfs.ErrLocked) {
		return err
	}
	if err != nil { // texts are refused, the process lives
		slog.Error("unread", "part", "ledger", "err", err)
	}
	s, err := sender.New(conf, kept, receivers.New(conf.Limits, conf.ReportNames))
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	s.LogCounts(time.Duration(own.Log.CountIntervalSeconds * float64(time.Second)))
	recall(s, own.Handover.HistoryFile)
	// The list as last known goes in before anything that is owed is looked at.
	tell := s.LoadReceivers
	list := directory.New(conf.DiscoveryAddr, conf.Seed, conf.Limits, func(n directory.Update) { tell(n) })
	if conf.CachedList != nil {
		if err := list.Restore(conf.CachedList); err != nil {
			slog.Warn("bad_known", "part", "config", "err", err)
		}
	}
	tell = s.UpdateReceivers
	desk := notices.New(conf.DiscoveryAddr, conf.Limits, s.NoticesDelivered)
	s.Recover(desk)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		s.Run(stop)
	}()
	go list.Run(ctx)
	go desk.Run(ctx)
	go func(now *config.Config) {
		for range signals.ReloadRequested() {
			now = c.reload(now, list.SetAddr, desk.SetAddr)
		}
	}(conf)

	listener, err := net.Listen("tcp", conf.ListenAddr)
	if err != nil {
		return err
	}
	front := clients.New(conf, s)
	failed := make(chan error, 1)
	go func() { failed <- front.Serve(listener) }()
	slog.Info("ready", "part", "serve", "name", conf.Name, "listen", conf.ListenAddr)

	select {
	case err := <-failed:
		return err
	case at := <-told:
		slog.Info("stopping", "part", "serve")
		windDown(conf.Limits, front, s, at)
	}
	cancel()
	close(stop)
	<-stopped
	if own.Handover.HistoryFile != "" {
		at, all := s.History()
		err := warmstart.Write(own.Handover.HistoryFile, at, all)
		slog.Info("learnt_kept", "part", "serve", "file", own.Handover.HistoryFile, "receivers", len(all), "err", err)
	}
	if err := s.CloseLedger(); err != nil {
		return err
	}
	if bad := kept.LegacyDamage(); bad != "" { // said at the start, where nobody may have looked
		return fmt.Errorf("%s: %w: file ledger: %s", conf.StateDir, errUnsound, bad)
	}
	return nil
}

// recall hands on what the process before has learnt. What cannot be read holds no start up.
func recall(s *sender.Sender, path string) {
	if path == "" {
		return
	}
	all, err := warmstart.Read(path, protocol.UnixTicks(time.Now()))
	if err != nil {
		slog.Warn("not_recalled", "part", "serve", "err", err)
		return
	}
	slog.Info("recalled", "part", "serve", "file", path, "receivers", len(all))
	s.RestoreHistory(all)
}

// lockWait is how long a start waits for the process before it to let go of the folder.
const lockWait = time.Second

// openLedger opens the folder that lasts.
func openLedger(conf *config.Config, own *config.Options) (*ledger.Ledger, error) {
	opt := ledger.Options{MaxBytes: conf.Limits.DiskBytes, PowerLossSafe: own.Ledger.Durability == "power"}
	for began := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		l, err := ledger.Open(vfs.OS{}, conf.StateDir, opt)
		if !errors.Is(err, vfs.ErrLocked) || time.Since(began) > lockWait {
			return l, err
		}
	}
}

// reload reads the configuration anew, as a sender that has been told to, and moves what follows discovery. A
// faulty one changes nothing.
func (c *serveCmd) reload(old *config.Config, moves ...func(addr string)) *config.Config {
	conf, own, err := c.checked()
	if err != nil {
		slog.Warn("refused", "part", "config", "err", err)
		return old
	}
	if keys := old.ChangedRestartKeys(conf); len(keys) > 0 {
		slog.Warn("needs_restart", "part", "config", "keys", strings.Join(keys, ","))
	}
	logs.Setup(os.Stderr, conf.Limits.LogLinesPerSecond, own.Log)
	slog.Info("reloaded", "part", "config", "discovery", conf.DiscoveryAddr, "before", old.DiscoveryAddr)
	if conf.DiscoveryAddr != old.DiscoveryAddr {
		for _, move := range moves {
			move(conf.DiscoveryAddr)
		}
	}
	next := *old
	next.DiscoveryAddr = conf.DiscoveryAddr
	return &next
}

// windDown serves what still comes, works on what is owed for as long as there is time, and leaves the
// rest to the ledger. Nothing is left to do only once clients can bring no more: what they bring after a moment without
// work would else be cut off in the midst of its call. Its times run from the signal.
func windDown(limits config.Limits, front *clients.Server, s *sender.Sender, began time.Time) {
	front.DisableKeepAlives()
	time.Sleep(time.Until(began.Add(limits.StopListeningAfter)))
	freeze := time.AfterFunc(time.Until(began.Add(limits.StopSendingAfter)), s.StopSending)
	defer freeze.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(limits.ExitAfter))
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		slog.Warn("shutdown", "part", "serve", "err", err)
	}
	s.Stop()
	select {
	case <-s.Idle():
	case <-ctx.Done():
	}
	c, _ := s.Status()
	slog.Info("stopped", "part", "serve", "after", time.Since(began).Round(time.Millisecond), "taken", c.Accepted,
		"refused", c.Rejected, "delivered", c.Delivered, "nacked", c.Nacked, "undeliverable", c.Undeliverable,
		"held", c.Held, "owed", c.PendingNotices)
}
