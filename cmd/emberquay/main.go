// Command emberquay is one sender on sockets.
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
	Serve  serveCmd  `cmd:"" help:"Serve clients until told to stop."`
	Check  checkCmd  `cmd:"" help:"Read the configuration and say what it comes to."`
	Ledger ledgerCmd `cmd:"" help:"Look into the folder that lasts."`

	Proxy        proxyCmd        `cmd:"" help:"Run the data plane of the serving tier on this machine."`
	ControlPlane controlPlaneCmd `cmd:"" help:"Run the control plane on this machine, or look into its folder."`
	Store        storeCmd        `cmd:"" help:"Run a store on this machine, or look into its folder."`

	Node     nodeCmd     `cmd:"" help:"Ask the running processes of the serving tier."`
	Settings settingsCmd `cmd:"" help:"Look at a settings file of the serving tier."`
	Config   configCmd   `cmd:"" help:"The configuration of the serving tier: check, compare, read, replace."`
	Version  versionCmd  `cmd:"" help:"Say which build this is."`
}

// where are the flags that the commands which read the configuration share.
type where struct {
	Config string `help:"The configuration file." env:"GW_CONFIG" required:"" type:"path"`
	With   string `help:"A file of our own (TOML) with what the configuration does not know." type:"path"`
}

func (w where) read() (*config.Config, *config.Options, error) {
	conf, err := config.Read(w.Config, os.Getenv)
	if err != nil {
		return nil, nil, err
	}
	own, err := config.ReadOptions(w.With)
	return conf, own, err
}

// checked reads both and looks whether the settings and the list make sense.
func (w where) checked() (*config.Config, *config.Options, error) {
	conf, own, err := w.read()
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
	return conf, own, nil
}

func main() {
	ctx := kong.Parse(&cli, kong.Name("emberquay"), kong.Description("A delivery service for outbound texts."))
	if !serves(ctx) {
		signals.RestoreDefaults()
	}
	ctx.FatalIfErrorf(ctx.Run())
}

// server is a command that takes the process's signals itself.
type server interface{ takesSignals() }

func serves(ctx *kong.Context) bool {
	_, ok := ctx.Selected().Target.Addr().Interface().(server)
	return ok
}

type checkCmd struct{ where }

func (c *checkCmd) Run() error {
	conf, own, err := c.checked()
	if err != nil {
		return err
	}
	l := conf.Limits
	fmt.Printf("name=%s listen=%s discovery=%s state=%s settings=%d products=%d\n",
		conf.Name, conf.ListenAddr, conf.DiscoveryAddr, conf.StateDir, len(conf.Settings), len(conf.Products))
	fmt.Printf("cores=%d memory=%d disk=%d client_conns=%d receiver_conns=%d slots=%d texts=%d\n",
		l.Cores, l.MemoryBytes, l.DiskBytes, l.MaxClientConns, l.MaxReceiverConns, l.MaxCalls, l.MaxTexts)
	fmt.Printf("log_format=%s log_level=%s durability=%s\n", own.Log.Format, own.Log.Level, own.Ledger.Durability)
	return nil
}

type versionCmd struct{}

func (versionCmd) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fmt.Errorf("this build tells nothing of itself")
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
