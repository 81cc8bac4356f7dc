package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"emberquay/internal/tier/routing"
)

// configCmd has the commands on the configuration of the serving tier.
type configCmd struct {
	Check   configCheckCmd   `cmd:"" help:"Check a configuration file and print a summary."`
	Diff    configDiffCmd    `cmd:"" help:"List the items that differ between two configuration files."`
	Read    configReadCmd    `cmd:"" help:"Print the current configuration."`
	Replace configReplaceCmd `cmd:"" help:"Replace the current configuration."`
}

// readConfiguration reads and validates a configuration file.
func readConfiguration(path string) (*routing.Snapshot, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, err // contains the path
	}
	snapshot, err := routing.Parse(body)
	if err != nil {
		return nil, eris.Wrap(err, path)
	}
	return snapshot, nil
}

type configCheckCmd struct {
	File string `arg:"" help:"The configuration file (JSON)." type:"path"`
}

// Run prints a summary of the configuration, or an error that names the first invalid key.
func (c *configCheckCmd) Run() error {
	snapshot, err := readConfiguration(c.File)
	if err != nil {
		return err
	}
	limits := snapshot.Limits
	fmt.Printf("version=%d routes=%d services=%d bytes=%d\n", snapshot.Version, len(snapshot.Routes), len(snapshot.Services), len(snapshot.Body))
	fmt.Printf("max_header_bytes=%d max_body_bytes=%d header_timeout=%s idle_timeout=%s\n", limits.MaxHeaderBytes,
		limits.MaxBodyBytes, limits.HeaderTimeout, limits.IdleTimeout)
	return nil
}

type configDiffCmd struct {
	Before string `arg:"" help:"The earlier configuration file (JSON)." type:"path"`
	After  string `arg:"" help:"The later configuration file (JSON)." type:"path"`
}

// Run prints a line for each difference.
func (c *configDiffCmd) Run() error {
	before, err := readConfiguration(c.Before)
	if err != nil {
		return err
	}
	after, err := readConfiguration(c.After)
	if err != nil {
		return err
	}
	difference := routing.Diff(before, after)
	fmt.Printf("version=%d before=%d\n", after.Version, before.Version)
	printChanges("route", difference.Routes)
	printChanges("service", difference.Services)
	if difference.Limits {
		fmt.Println("limits changed")
	}
	return nil
}

func printChanges(kind string, changes routing.Changes) {
	for _, list := range []struct {
		change string
		names  []string
	}{{"added", changes.Added}, {"removed", changes.Removed}, {"changed", changes.Changed}} {
		for _, name := range list.names {
			fmt.Printf("%s=%q %s\n", kind, name, list.change)
		}
	}
}

// operatorFlags are the flags of the commands that call the operator's API.
type operatorFlags struct {
	Control []string      `help:"Addresses (host:port) of control planes; if one does not answer, the next one is tried." required:"" placeholder:"ADDRESS"`
	Timeout time.Duration `help:"Time limit for all attempts." default:"10s"`
}

// Validate rejects malformed addresses before the first call.
func (o operatorFlags) Validate() error {
	for _, address := range o.Control {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return eris.Wrapf(err, "--control: %q", address)
		}
	}
	return nil
}

func (o operatorFlags) client() *operatorClient {
	return &operatorClient{addresses: o.Control, retryDelay: operatorRetryDelay}
}

func (o operatorFlags) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), o.Timeout)
}

type configReadCmd struct{ operatorFlags }

// Run prints the current configuration, byte for byte as it was submitted.
func (c *configReadCmd) Run() error {
	ctx, cancel := c.context()
	defer cancel()
	body, err := c.client().read(ctx)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(body)
	return err
}

type configReplaceCmd struct {
	operatorFlags
	File string `arg:"" help:"The configuration file (JSON)." type:"path"`
	Base uint64 `help:"The version to replace; 0 for the first configuration." required:""`
}

// Run validates the configuration and sends it until a control plane accepts or refuses it.
func (c *configReplaceCmd) Run() error {
	snapshot, err := readConfiguration(c.File)
	if err != nil {
		return err
	}
	if snapshot.Version <= c.Base {
		return eris.Errorf("%s: version: %d is not above %d, the version to replace", c.File, snapshot.Version, c.Base)
	}
	ctx, cancel := c.context()
	defer cancel()
	if err := c.client().replace(ctx, c.Base, snapshot.Body); err != nil {
		return err
	}
	fmt.Printf("acknowledged version=%d\n", snapshot.Version)
	return nil
}
