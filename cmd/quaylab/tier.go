package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"emberquay/internal/lab/tierlab"
	"emberquay/internal/lab/tierreport"
	"emberquay/internal/lab/tierworld"
)

type tierCmd struct {
	Try   tierTryCmd   `cmd:"" help:"Play half a minute round the tier's processes on loopback and judge it by the rules."`
	Run   tierRunCmd   `cmd:"" help:"Play a described day, as try does its own."`
	World tierWorldCmd `cmd:"" help:"Print the world that try plays, as a file with comments."`
	Soak  tierSoakCmd  `cmd:"" help:"Play seeded days of stops, signals and changes that overlap; say which broke a rule."`
	Sim   tierSimCmd   `cmd:"" help:"Run seeded clusters in virtual time under faults; say which broke a rule."`
}

// tierDay are the flags of the commands that play a day of the tier.
type tierDay struct {
	Program string `help:"The program emberquay." type:"path" placeholder:"FILE"`
	Logs    string `help:"Keep the processes' folders (settings, disks, logs) here." type:"path" placeholder:"DIR"`
	Show    int    `help:"So many breaches are printed." default:"10"`
	Quiet   bool   `help:"Do not print what happens."`
	Report  string `help:"Write tables and charts of the day here." type:"path" placeholder:"DIR"`
}

type tierTryCmd struct{ tierDay }

// Run plays the default world.
func (c *tierTryCmd) Run(ctx context.Context) error {
	return c.play(ctx, "quaylab tier try", tierworld.Default())
}

type tierRunCmd struct {
	tierDay
	File  string `arg:"" help:"The described world (TOML); quaylab tier world writes one." type:"existingfile"`
	Check bool   `help:"Only check the file and print its schedule of troubles."`
}

// Run plays the world of a file, or checks it.
func (c *tierRunCmd) Run(ctx context.Context) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return eris.Wrap(err, "world")
	}
	world, err := tierworld.Read(raw)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	if c.Check {
		describeTierWorld(os.Stdout, world)
		return nil
	}
	return c.play(ctx, filepath.Base(c.File), world)
}

// describeTierWorld prints what a world comes to.
func describeTierWorld(out io.Writer, w *tierworld.World) {
	fmt.Fprintf(out, "%g s of traffic; %d control planes, %d stores, %d proxies; %d receivers\n", w.Seconds,
		w.Tier.ControlPlanes, w.Tier.Stores, w.Tier.Proxies, len(w.Receivers.ServicePerReceiver()))
	for _, strike := range w.Schedule() {
		fmt.Fprintf(out, "%8.2fs  %s\n", strike.From.Seconds(), strike)
	}
}

type tierWorldCmd struct{}

// Run prints the default world.
func (tierWorldCmd) Run() error {
	raw, err := tierworld.Print(tierworld.Default())
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(raw)
	return eris.Wrap(err, "world")
}

// play plays a day and says what it came to. The report is written of a day that broke a rule, too.
func (c *tierDay) play(ctx context.Context, title string, world *tierworld.World) error {
	program, err := how{Sender: c.Program}.program()
	if err != nil {
		return err
	}
	options := tierlab.Options{Program: program, Dir: c.Logs, Day: tierlab.DayOf(world)}
	if !c.Quiet {
		options.Progress = func(line string) { fmt.Fprintln(os.Stderr, line) }
	}
	result, err := tierlab.Play(ctx, options)
	if err != nil {
		return err
	}
	printTier(os.Stdout, result, c.Show)
	if c.Report != "" {
		if err := tierreport.Write(c.Report, title, result); err != nil {
			return err
		}
	}
	if !result.Kept() {
		return errBroken
	}
	return nil
}

// printTier prints what was served and a verdict for each rule.
func printTier(out io.Writer, r *tierlab.Result, show int) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "kind\ttries\tserved\trefused\tfailed\tp50\tp99\t")
	for _, s := range r.Served {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t\n", s.Class, s.Tries, s.Whole, s.Refused, s.Failed,
			s.Median.Round(100*time.Microsecond), s.Slowest1.Round(100*time.Microsecond))
	}
	t.Flush()
	fmt.Fprintf(out, "\nprograms: %d ended, %d ended by their budget, %d failed, %d looped on\n\n",
		r.Programs[tierlab.Ended], r.Programs[tierlab.Spent], r.Programs[tierlab.Failed], r.Programs[tierlab.Looping])
	fmt.Fprint(out, r.Verdict)
	for i, b := range r.Verdict.Breaches {
		if i == show {
			fmt.Fprintf(out, "and %d more\n", len(r.Verdict.Breaches)-show)
			break
		}
		fmt.Fprintln(out, b)
	}
	for _, crash := range r.Crashes {
		fmt.Fprintln(out, "CRASH:", crash)
	}
	for _, note := range r.Notes {
		fmt.Fprintln(out, "note:", note)
	}
	fmt.Fprintf(out, "took %.1f s\n", r.Took.Seconds())
}
