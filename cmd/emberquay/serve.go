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

type serveCmd struct{ configFlags }

func (serveCmd) handlesSignals() {}

// Run starts a sender and serves clients until SIGTERM or SIGINT.
func (c *serveCmd) Run() error {
	stopRequested := signals.StopRequested()
	conf, options, err := c.load()
	if err != nil {
		return err
	}
	logs.Setup(os.Stderr, conf.Limits.LogLinesPerSecond, options.Log)
	runtime.GOMAXPROCS(conf.Limits.Cores)
	debug.SetMemoryLimit(conf.Limits.MemoryBytes * 6 / 10) // the rest is for files, stacks and the program itself

	textLedger, err := openLedger(conf, options)
	if errors.Is(err, vfs.ErrLocked) {
		return err
	}
	if err != nil { // the sender refuses texts but keeps running
		slog.Error("unread", "part", "ledger", "err", err)
	}
	s, err := sender.New(conf, textLedger, receivers.New(conf.Limits, conf.ReportNames))
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	s.LogCounts(time.Duration(options.Log.CountIntervalSeconds * float64(time.Second)))
	restoreHistory(s, options.Handover.HistoryFile)
	// The last known receiver list is applied before recovered texts and notices are handled.
	applyList := s.LoadReceivers
	receiverList := directory.New(conf.DiscoveryAddr, conf.Seed, conf.Limits, func(n directory.Update) { applyList(n) })
	if conf.CachedList != nil {
		if err := receiverList.Restore(conf.CachedList); err != nil {
			slog.Warn("bad_known", "part", "config", "err", err)
		}
	}
	applyList = s.UpdateReceivers
	noticeSender := notices.New(conf.DiscoveryAddr, conf.Limits, s.NoticesDelivered)
	s.Recover(noticeSender)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		s.Run(stop)
	}()
	go receiverList.Run(ctx)
	go noticeSender.Run(ctx)
	go func(current *config.Config) {
		for range signals.ReloadRequested() {
			current = c.reload(current, receiverList.SetAddr, noticeSender.SetAddr)
		}
	}(conf)

	listener, err := net.Listen("tcp", conf.ListenAddr)
	if err != nil {
		return err
	}
	clientServer := clients.New(conf, s)
	failed := make(chan error, 1)
	go func() { failed <- clientServer.Serve(listener) }()
	slog.Info("ready", "part", "serve", "name", conf.Name, "listen", conf.ListenAddr)

	select {
	case err := <-failed:
		return err
	case at := <-stopRequested:
		slog.Info("stopping", "part", "serve")
		shutDown(conf.Limits, clientServer, s, at)
	}
	cancel()
	close(stop)
	<-stopped
	if options.Handover.HistoryFile != "" {
		at, history := s.History()
		err := warmstart.Write(options.Handover.HistoryFile, at, history)
		slog.Info("learnt_kept", "part", "serve", "file", options.Handover.HistoryFile, "receivers", len(history), "err", err)
	}
	if err := s.CloseLedger(); err != nil {
		return err
	}
	if problem := textLedger.LegacyDamage(); problem != "" { // already logged at the start, but easily overlooked there
		return fmt.Errorf("%s: %w: file ledger: %s", conf.StateDir, errDataMissing, problem)
	}
	return nil
}

// restoreHistory loads the receivers' history that the previous process saved. An unreadable file does not prevent the start.
func restoreHistory(s *sender.Sender, path string) {
	if path == "" {
		return
	}
	history, err := warmstart.Read(path, protocol.UnixTicks(time.Now()))
	if err != nil {
		slog.Warn("not_recalled", "part", "serve", "err", err)
		return
	}
	slog.Info("recalled", "part", "serve", "file", path, "receivers", len(history))
	s.RestoreHistory(history)
}

// lockTimeout bounds the wait for the previous process to release the lock of the ledger directory.
const lockTimeout = time.Second

// openLedger opens the ledger, and waits up to lockTimeout for its lock.
func openLedger(conf *config.Config, options *config.Options) (*ledger.Ledger, error) {
	opt := ledger.Options{MaxBytes: conf.Limits.DiskBytes, PowerLossSafe: options.Ledger.Durability == "power"}
	for start := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		l, err := ledger.Open(vfs.OS{}, conf.StateDir, opt)
		if !errors.Is(err, vfs.ErrLocked) || time.Since(start) > lockTimeout {
			return l, err
		}
	}
}

// reload reads the configuration again on SIGHUP, applies the log options and passes a changed discovery address to
// setAddress. Changes of other keys need a restart. An invalid configuration changes nothing.
func (c *serveCmd) reload(old *config.Config, setAddress ...func(addr string)) *config.Config {
	conf, options, err := c.loadAndValidate()
	if err != nil {
		slog.Warn("refused", "part", "config", "err", err)
		return old
	}
	if keys := old.ChangedRestartKeys(conf); len(keys) > 0 {
		slog.Warn("needs_restart", "part", "config", "keys", strings.Join(keys, ","))
	}
	logs.Setup(os.Stderr, conf.Limits.LogLinesPerSecond, options.Log)
	slog.Info("reloaded", "part", "config", "discovery", conf.DiscoveryAddr, "before", old.DiscoveryAddr)
	if conf.DiscoveryAddr != old.DiscoveryAddr {
		for _, set := range setAddress {
			set(conf.DiscoveryAddr)
		}
	}
	next := *old
	next.DiscoveryAddr = conf.DiscoveryAddr
	return &next
}

// shutDown still serves requests, delivers pending texts and notices until the deadline, and leaves the rest in the ledger.
// The sender is stopped only once clients can submit no more: otherwise a text that arrives after an idle moment would be
// interrupted in the middle of its call. The limits count from signalTime.
func shutDown(limits config.Limits, clientServer *clients.Server, s *sender.Sender, signalTime time.Time) {
	clientServer.DisableKeepAlives()
	time.Sleep(time.Until(signalTime.Add(limits.StopListeningAfter)))
	freeze := time.AfterFunc(time.Until(signalTime.Add(limits.StopSendingAfter)), s.StopSending)
	defer freeze.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), signalTime.Add(limits.ExitAfter))
	defer cancel()
	if err := clientServer.Shutdown(ctx); err != nil {
		slog.Warn("shutdown", "part", "serve", "err", err)
	}
	s.Stop()
	select {
	case <-s.Idle():
	case <-ctx.Done():
	}
	c, _ := s.Status()
	slog.Info("stopped", "part", "serve", "after", time.Since(signalTime).Round(time.Millisecond), "taken", c.Accepted,
		"refused", c.Rejected, "delivered", c.Delivered, "nacked", c.Nacked, "undeliverable", c.Undeliverable,
		"held", c.Held, "owed", c.PendingNotices)
}
