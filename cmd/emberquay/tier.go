package main

import (
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"

	"emberquay/internal/tier/controlplane"
	"emberquay/internal/tier/dataplane"
	"emberquay/internal/tier/lifecycle"
	"emberquay/internal/tier/settings"
	"emberquay/internal/tier/storeplane"
)

// planeFlags are the flags of the commands that run a process (plane) of the serving tier.
type planeFlags struct {
	Settings string `help:"The settings file of this machine (TOML)." env:"EMBERQUAY_NODE_FILE" default:"/etc/emberquay/boot.toml" type:"path"`
	LogLevel string `help:"The lowest level that is logged: debug, info, warn, error." default:"info" enum:"debug,info,warn,error"`
}

func (planeFlags) handlesSignals() {}

// run loads the settings and runs a plane until it is stopped by a signal.
func (c planeFlags) run(kind string, start func(*settings.Node, log.Interface) (lifecycle.Plane, error)) error {
	node, err := settings.LoadFile(c.Settings)
	if err != nil {
		return err
	}
	logger := &log.Logger{Handler: logfmt.New(os.Stderr), Level: log.MustParseLevel(c.LogLevel)}
	entry := logger.WithField("node", node.Name).WithField("plane", kind)
	return lifecycle.Run(c.Settings, node, entry, func() (lifecycle.Plane, error) { return start(node, entry) })
}

type proxyCmd struct{ planeFlags }

// Run runs the data plane.
func (c *proxyCmd) Run() error {
	return c.run("proxy", func(node *settings.Node, logger log.Interface) (lifecycle.Plane, error) {
		return dataplane.Start(node, logger)
	})
}

// controlPlaneCmd runs a control plane unless a subcommand is given.
type controlPlaneCmd struct {
	Run     controlRunCmd     `cmd:"" default:"withargs" help:"Run the control plane (default)."`
	Inspect controlInspectCmd `cmd:"" help:"Print the contents of a control plane's directory."`
	Verify  controlVerifyCmd  `cmd:"" help:"Read the whole directory; the exit status is 0 if it is undamaged."`
}

type controlRunCmd struct{ planeFlags }

// Run runs the control plane.
func (c *controlRunCmd) Run() error {
	return c.run("control-plane", func(node *settings.Node, logger log.Interface) (lifecycle.Plane, error) {
		return controlplane.Start(node, logger)
	})
}

// storeCmd runs a store unless a subcommand is given.
type storeCmd struct {
	Run     storeRunCmd     `cmd:"" default:"withargs" help:"Run the store (default)."`
	Inspect storeInspectCmd `cmd:"" help:"Print the contents of a store's directory."`
	Verify  storeVerifyCmd  `cmd:"" help:"Read the whole directory; the exit status is 0 if it is undamaged."`
}

type storeRunCmd struct{ planeFlags }

// Run runs the store.
func (c *storeRunCmd) Run() error {
	return c.run("store", func(node *settings.Node, logger log.Interface) (lifecycle.Plane, error) {
		return storeplane.Start(node, logger)
	})
}
