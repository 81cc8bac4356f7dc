// Command quaylab is the emulator: it plays days of a world file around real senders on loopback, checks them against
// the six rules and prints the results.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

var cli struct {
	Try   tryCmd   `cmd:"" help:"Play a short day with faults around two senders and check the rules."`
	World worldCmd `cmd:"" help:"Play a world file, or print the default world as a file."`
	Fleet fleetCmd `cmd:"" help:"Play a world file with the delivery module in place of each sender process: hundreds of senders, no sockets, in seconds."`
	Count countCmd `cmd:"" help:"Sum the counts in the logs of a fleet's senders per second."`
	Stand standCmd `cmd:"" help:"Run the stand-ins for a sender that you start yourself."`
	Tier  tierCmd  `cmd:"" help:"Test the serving tier: days on loopback, clusters in a simulation."`
}

// errRuleBroken makes a command exit with an error when a rule was broken or a sender crashed.
var errRuleBroken = fmt.Errorf("a rule was broken, or a sender crashed")

func main() {
	// Ctrl-C ends a day early, with the processes that it started.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k := kong.Parse(&cli, kong.Name("quaylab"), kong.Description("The emulator: a world on loopback round real senders."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	k.FatalIfErrorf(k.Run())
}
