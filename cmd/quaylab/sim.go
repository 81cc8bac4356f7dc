package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"emberquay/internal/lab/sim"
)

// progressInterval is the time between progress lines.
const progressInterval = 10 * time.Second

// errNoClusterPlayed is returned by a run that played no cluster and so checked no rule.
var errNoClusterPlayed = eris.New("no cluster was played")

type tierSimCmd struct {
	Clusters int           `help:"Number of clusters, each with its own seed." default:"100" aliases:"seeds"`
	From     uint64        `help:"Seed of the first cluster." default:"1"`
	For      time.Duration `help:"Start no further cluster after this time; 0: no limit." default:"0"`
	Jobs     int           `help:"Clusters to run at a time; 0: one per processor." default:"0" aliases:"at-once"`
	Report   string        `help:"File to write the result to as well." type:"path" placeholder:"FILE"`
	Show     int           `help:"Maximum number of breaches to print." default:"10"`
	Trace    bool          `help:"Print the events; runs only the first cluster."`
}

// simRun is the result of a run and what was requested.
type simRun struct {
	total     sim.Total
	firstSeed uint64
	requested int
	elapsed   time.Duration
	show      int
}

// Run plays the clusters and prints which broke a rule.
func (c *tierSimCmd) Run(ctx context.Context) error {
	out, closeReport, err := c.output()
	if err != nil {
		return err
	}
	run := c.play(ctx)
	run.print(out)
	if err := closeReport(); err != nil {
		return eris.Wrap(err, "report")
	}
	return run.verdict(ctx)
}

func (c *tierSimCmd) play(ctx context.Context) simRun {
	run := simRun{firstSeed: c.From, requested: c.Clusters, show: c.Show}
	start := time.Now()
	if c.Trace {
		run.requested = 1
		result := sim.Run(sim.Options{Seed: c.From, Trace: func(line string) { fmt.Println(line) }})
		run.total = sim.TotalOf(result)
		run.elapsed = time.Since(start)
		return run
	}
	lastProgress := start
	progress := func(t *sim.Total) {
		if time.Since(lastProgress) < progressInterval {
			return
		}
		lastProgress = time.Now()
		fmt.Fprintf(os.Stderr, "%d of %d clusters, %.1f a second, %d broke a rule\n",
			t.Seeds, c.Clusters, float64(t.Seeds)/time.Since(start).Seconds(), t.Broken)
	}
	stop := func() bool { return ctx.Err() != nil || c.For > 0 && time.Since(start) >= c.For }
	run.total = sim.RunRange(c.From, c.Clusters, c.Jobs, stop, progress)
	run.elapsed = time.Since(start)
	return run
}

// output returns a writer to standard output and, if requested, the report file. The file is created before the run, so
// that a bad path fails before a long run and not after it.
func (c *tierSimCmd) output() (out io.Writer, closeReport func() error, err error) {
	if c.Report == "" {
		return os.Stdout, func() error { return nil }, nil
	}
	file, err := os.Create(c.Report)
	if err != nil {
		return nil, nil, eris.Wrap(err, "report")
	}
	return io.MultiWriter(os.Stdout, file), file.Close, nil
}

// verdict returns an error, and so a failing exit status, unless clusters were played and none broke a rule.
func (r *simRun) verdict(ctx context.Context) error {
	switch {
	case r.total.Broken > 0:
		return fmt.Errorf("%d of %d clusters broke a rule", r.total.Broken, r.total.Seeds)
	case r.total.Seeds == 0:
		return errNoClusterPlayed
	}
	return ctx.Err()
}

// print writes the counts of drawn events and the rules that were broken.
func (r *simRun) print(out io.Writer) {
	fmt.Fprintf(out, "%d of %d clusters from seed %d on, in %s, %.1f a second\n\n",
		r.total.Seeds, r.requested, r.firstSeed, r.elapsed.Round(time.Second), float64(r.total.Seeds)/r.elapsed.Seconds())
	r.printCounts(out)
	r.printRules(out)
	for at, b := range r.total.Breaches {
		if at == r.show {
			fmt.Fprintf(out, "and %d more\n", r.total.Broken-r.show)
			break
		}
		fmt.Fprintln(out, b)
	}
}

func (r *simRun) printCounts(out io.Writer) {
	n := r.total.Counts
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "scheduler steps\t%d\n", r.total.Steps)
	fmt.Fprintf(t, "changes\t%d acknowledged, %d refused, %d open\n", n.Acked, n.Refused, n.Open)
	fmt.Fprintf(t, "reads\t%d\n", n.Reads)
	fmt.Fprintf(t, "drains\t%d\n", n.Drains)
	fmt.Fprintf(t, "reservations\t%d granted, %d spent\n", n.Granted, n.Spent)
	fmt.Fprintf(t, "turns\t%d kept, %d found again\n", n.Turns, n.Lookups)
	fmt.Fprintf(t, "troubles\t%d\n", n.Troubles)
	for _, kind := range sim.Kinds() {
		fmt.Fprintf(t, "  %s\t%d\n", kind, n.Kinds[kind])
	}
	t.Flush()
}

func (r *simRun) printRules(out io.Writer) {
	if r.total.Broken == 0 {
		fmt.Fprintln(out, "\nno rule was broken")
		return
	}
	fmt.Fprintf(out, "\n%d clusters broke a rule\n\n", r.total.Broken)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "rule\tclusters\tfirst seed\tplay it again")
	for _, rule := range r.total.Rules {
		seed := rule.First.Seed
		replay := fmt.Sprintf("quaylab tier sim --clusters 1 --from %d --trace", seed)
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\n", rule.Rule, rule.Seeds, seed, replay)
	}
	t.Flush()
	fmt.Fprintln(out)
}
