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
	Try   tierTryCmd   `cmd:"" help:"Play half a minute around the tier's processes on loopback and check the rules."`
	Run   tierRunCmd   `cmd:"" help:"Play a world file, as try plays the default world."`
	World tierWorldCmd `cmd:"" help:"Print the default world, which try plays, as a file with comments."`
	Soak  tierSoakCmd  `cmd:"" help:"Play seeded days of overlapping stops, signals and changes; print which broke a rule."`
	Sim   tierSimCmd   `cmd:"" help:"Run seeded clusters in virtual time under faults; print which broke a rule."`
}

// tierDayFlags holds the flags of the commands that play a day of the tier.
type tierDayFlags struct {
	Program string `help:"Path of the program emberquay." type:"path" placeholder:"FILE"`
	Logs    string `help:"Folder in which to keep the processes' folders (settings, disks, logs)." type:"path" placeholder:"DIR"`
	Show    int    `help:"Maximum number of breaches to print." default:"10"`
	Quiet   bool   `help:"Do not print progress."`
	Report  string `help:"Folder to write tables and charts of the day to." type:"path" placeholder:"DIR"`
}

type tierTryCmd struct{ tierDayFlags }

// Run plays the default world.
func (c *tierTryCmd) Run(ctx context.Context) error {
	return c.play(ctx, "quaylab tier try", tierworld.Default())
}

type tierRunCmd struct {
	tierDayFlags
	File  string `arg:"" help:"World file (TOML); quaylab tier world writes one." type:"existingfile"`
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

// describeTierWorld prints the processes, the receivers and the schedule of troubles of a world.
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

// play plays a day and prints the result. It writes the report also for a day that broke a rule.
func (c *tierDayFlags) play(ctx context.Context, title string, world *tierworld.World) error {
	program, err := dayFlags{Sender: c.Program}.program()
	if err != nil {
		return err
	}
	options := tierlab.Options{Program: program, Dir: c.Logs, Scenario: tierlab.ScenarioFor(world)}
	if !c.Quiet {
		options.Progress = func(line string) { fmt.Fprintln(os.Stderr, line) }
	}
	result, err := tierlab.Run(ctx, options)
	if err != nil {
		return err
	}
	printTierResult(os.Stdout, result, c.Show)
	if c.Report != "" {
		if err := tierreport.Write(c.Report, title, result); err != nil {
			return err
		}
	}
	if !result.Passed() {
		return errRuleBroken
	}
	return nil
}

// printTierResult prints the request counts by kind and the verdict on each rule.
func printTierResult(out io.Writer, r *tierlab.Result, show int) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "kind\ttries\tserved\trefused\tfailed\tp50\tp99\t")
	for _, s := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t\n", s.Class, s.Attempts, s.Completed, s.Refused, s.Failed,
			s.Median.Round(100*time.Microsecond), s.P99.Round(100*time.Microsecond))
	}
	t.Flush()
	fmt.Fprintf(out, "\nprograms: %d ended, %d ended by their budget, %d failed, %d looped on\n\n",
		r.ProgramOutcomes[tierlab.Completed], r.ProgramOutcomes[tierlab.BudgetExhausted], r.ProgramOutcomes[tierlab.Failed], r.ProgramOutcomes[tierlab.LoopLimitReached])
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
	fmt.Fprintf(out, "took %.1f s\n", r.Elapsed.Seconds())
}
