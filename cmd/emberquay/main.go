// Command emberquay runs a sender of the delivery service or a process of the serving tier. Further commands check their
// configurations, inspect their directories and query running processes.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"emberquay/control"
	"emberquay/internal/delivery/config"
	"emberquay/internal/delivery/directory"
	"emberquay/internal/signals"
)

var cli struct {
	Serve  serveCmd  `cmd:"" help:"Run a sender of the delivery service until SIGTERM or SIGINT."`
	Check  checkCmd  `cmd:"" help:"Check the configuration of a sender and print a summary."`
	Ledger ledgerCmd `cmd:"" help:"Inspect, verify, compact or export the ledger directory of a sender."`

	Proxy        proxyCmd        `cmd:"" help:"Run the data plane of the serving tier on this machine."`
	ControlPlane controlPlaneCmd `cmd:"" help:"Run the control plane on this machine, or inspect its directory."`
	Store        storeCmd        `cmd:"" help:"Run a store on this machine, or inspect its directory."`

	Node     nodeCmd     `cmd:"" help:"Query running processes of the serving tier."`
	Settings settingsCmd `cmd:"" help:"Check a settings file of the serving tier."`
	Config   configCmd   `cmd:"" help:"Check, compare, read or replace the configuration of the serving tier."`
	Version  versionCmd  `cmd:"" help:"Print version, revision and Go version of this build."`
}

// configFlags are the flags of the commands that read the configuration of a sender.
type configFlags struct {
	Config string `help:"The configuration file." env:"GW_CONFIG" required:"" type:"path"`
	With   string `help:"A TOML file with options that the platform's configuration does not have." type:"path"`
}

func (w configFlags) load() (*config.Config, *config.Options, error) {
	conf, err := config.Read(w.Config, os.Getenv)
	if err != nil {
		return nil, nil, err
	}
	options, err := config.ReadOptions(w.With)
	return conf, options, err
}

// loadAndValidate reads both files and checks the settings and the receiver list.
func (w configFlags) loadAndValidate() (*config.Config, *config.Options, error) {
	conf, options, err := w.load()
	if err != nil {
		return nil, nil, err
	}
	if _, err := control.New(conf.Seed, conf.Settings, nil); err != nil {
		return nil, nil, fmt.Errorf("settings: %w", err)
	}
	if conf.CachedList != nil {
		if err := directory.New(conf.DiscoveryAddr, conf.Seed, conf.Limits, func(directory.Update) {}).Restore(conf.CachedList); err != nil {
			return nil, nil, fmt.Errorf("known: %w", err)
		}
	}
	return conf, options, nil
}

func main() {
	ctx := kong.Parse(&cli, kong.Name("emberquay"), kong.Description("A delivery service for outbound texts."))
	if !commandHandlesSignals(ctx) {
		signals.RestoreDefaults()
	}
	ctx.FatalIfErrorf(ctx.Run())
}

// signalHandler is implemented by commands that handle SIGTERM, SIGINT and SIGHUP themselves.
type signalHandler interface{ handlesSignals() }

func commandHandlesSignals(ctx *kong.Context) bool {
	_, ok := ctx.Selected().Target.Addr().Interface().(signalHandler)
	return ok
}

type checkCmd struct{ configFlags }

func (c *checkCmd) Run() error {
	conf, options, err := c.loadAndValidate()
	if err != nil {
		return err
	}
	limits := conf.Limits
	fmt.Printf("name=%s listen=%s discovery=%s state=%s settings=%d products=%d\n",
		conf.Name, conf.ListenAddr, conf.DiscoveryAddr, conf.StateDir, len(conf.Settings), len(conf.Products))
	fmt.Printf("cores=%d memory=%d disk=%d client_conns=%d receiver_conns=%d slots=%d texts=%d\n",
		limits.Cores, limits.MemoryBytes, limits.DiskBytes, limits.MaxClientConns, limits.MaxReceiverConns, limits.MaxCalls, limits.MaxTexts)
	fmt.Printf("log_format=%s log_level=%s durability=%s\n", options.Log.Format, options.Log.Level, options.Ledger.Durability)
	return nil
}

type versionCmd struct{}

func (versionCmd) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fmt.Errorf("the binary contains no build information")
	}
	revision := "unknown"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	fmt.Printf("emberquay %s revision=%s %s\n", info.Main.Version, revision, info.GoVersion)
	return nil
}
