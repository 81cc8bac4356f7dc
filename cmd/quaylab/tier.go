package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"emberquay/internal/tierlab"
)

type tierCmd struct {
	Try tierTryCmd `cmd:"" help:"Play a day of half a minute round the tier's processes on loopback and say whether each rule was kept."`
	Sim tierSimCmd `cmd:"" help:"Run seeded clusters in virtual time under faults and say which seeds broke a rule."`
}

type tierTryCmd struct {
	Program string `help:"The program emberquay." type:"path" placeholder:"FILE"`
	Logs    string `help:"Keep the processes' folders (settings, disks, logs) here." type:"path" placeholder:"DIR"`
	Show    int    `help:"So many breaches are printed." default:"10"`
	Quiet   bool   `help:"Do not print what happens."`
}

// Run plays the day.
func (c *tierTryCmd) Run(ctx context.Context) error {
	program, err := how{Sender: c.Program}.program()
	if err != nil {
		return err
	}
	options := tierlab.Options{Program: program, Dir: c.Logs, Day: tierlab.Full()}
	if !c.Quiet {
		options.Progress = func(line string) { fmt.Fprintln(os.Stderr, line) }
	}
	result, err := tierlab.Play(ctx, options)
	if err != nil {
		return err
	}
	reportTier(os.Stdout, result, c.Show)
	if !result.Kept() {
		return errBroken
	}
	return nil
}

// reportTier prints what was served and a verdict for each rule.
func reportTier(out io.Writer, r *tierlab.Result, show int) {
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
	fmt.Fprintf(out, "took %.1f s\n", r.Took.Seconds())
}
