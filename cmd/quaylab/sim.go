package main

import (
	"context"
	"fmt"
	"time"

	"emberquay/internal/sim"
)

type tierSimCmd struct {
	Seeds  int    `help:"So many seeds." default:"100"`
	From   uint64 `help:"The first of them." default:"1"`
	AtOnce int    `help:"So many at once; 0 for as many as there are processors." default:"0"`
	Show   int    `help:"So many breaches are printed." default:"10"`
	Trace  bool   `help:"Print what happens; with one seed only."`
}

// Run plays the seeds and says which broke a rule.
func (c *tierSimCmd) Run(ctx context.Context) error {
	if c.Trace {
		result := sim.Run(sim.Options{Seed: c.From, Trace: func(line string) { fmt.Println(line) }})
		return verdictOf(sim.Total{Seeds: 1, Steps: result.Steps, Counts: result.Counts, Breaches: breachesOf(result)}, 0, c.Show)
	}
	began := time.Now()
	total := sim.RunRange(c.From, c.Seeds, c.AtOnce, func() bool { return ctx.Err() != nil }, nil)
	return verdictOf(total, time.Since(began), c.Show)
}

func breachesOf(r sim.Result) []*sim.Breach {
	if r.Breach == nil {
		return nil
	}
	return []*sim.Breach{r.Breach}
}

// verdictOf prints what a range came to.
func verdictOf(t sim.Total, took time.Duration, show int) error {
	for i, b := range t.Breaches {
		if i == show {
			fmt.Printf("and %d more\n", len(t.Breaches)-show)
			break
		}
		fmt.Println(b)
	}
	n := t.Counts
	fmt.Printf("%d seeds, %d steps, %d troubles: %d changes acknowledged, %d refused, %d open, %d reads; %d drains; %d reservations granted, %d spent; %d turns kept, %d found again\n",
		t.Seeds, t.Steps, n.Troubles, n.Acked, n.Refused, n.Open, n.Reads, n.Drains, n.Granted, n.Spent, n.Turns, n.Lookups)
	if took > 0 {
		fmt.Printf("%.1f seeds a second\n", float64(t.Seeds)/took.Seconds())
	}
	if len(t.Breaches) > 0 {
		return fmt.Errorf("%d of %d seeds broke a rule; quaylab tier sim --seeds 1 --from SEED --trace plays one again", len(t.Breaches), t.Seeds)
	}
	return nil
}
