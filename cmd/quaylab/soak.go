package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/rotisserie/eris"

	"emberquay/internal/lab/referee/tierrules"
	"emberquay/internal/lab/tierlab"
	"emberquay/internal/lab/tierworld"
)

const (
	// soakRule is the rule that a soak tests above all.
	soakRule = tierrules.Lost
	// maxBreachesShown is the maximum number of breaches printed per day.
	maxBreachesShown = 10
)

type tierSoakCmd struct {
	Program string  `help:"Path of the program emberquay." type:"path" placeholder:"FILE"`
	Seeds   int     `help:"Number of days, each with its own seed." default:"50"`
	From    uint64  `help:"Seed of the first day." default:"1"`
	Seconds float64 `help:"Duration of a day's traffic, in seconds." default:"20"`
	Jobs    int     `help:"Days to play at a time." default:"2"`
	Logs    string  `help:"Folder in which to keep the processes' folders and the programs' lines of days that broke a rule." type:"path" placeholder:"DIR"`

	ControlPlanes int `help:"Number of control planes." default:"3"`
	Stores        int `help:"Number of stores." default:"3"`
	Proxies       int `help:"Number of proxies." default:"3"`

	Forwarders     int     `help:"Number of further control planes, without a disk and without a vote." default:"0"`
	Losses         bool    `help:"Draw losses of power and of disks around changes of the configuration instead of planned work."`
	IdleRoutes     int     `help:"Routes of the configuration that no client uses; 0: drawn from the seed." default:"0"`
	Cores          int     `help:"Cores that all processes share; 0: all there are." default:"0"`
	SiteBounds     bool    `help:"Judge by the time bounds of the operators' deployments."`
	ProcessorShare float64 `help:"Share of each 100 ms in which a proxy runs, on every day; 0: drawn from the seed." default:"0"`
}

// Run plays the days and prints which broke a rule, with the seed to play it again.
func (c *tierSoakCmd) Run(ctx context.Context) error {
	program, err := dayFlags{Sender: c.Program}.program()
	if err != nil {
		return err
	}
	tier := tierworld.Tier{ControlPlanes: c.ControlPlanes, Stores: c.Stores, Proxies: c.Proxies, Forwarders: c.Forwarders}
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	var tally soakTally
	for range max(1, c.Jobs) {
		workers.Go(func() {
			for seed := range seeds {
				tally.add(c.day(ctx, program, seed, tier))
			}
		})
	}
	for i := 0; i < c.Seeds && ctx.Err() == nil; i++ {
		seeds <- c.From + uint64(i)
	}
	close(seeds)
	workers.Wait()
	fmt.Printf("%d days played, %d kept every rule, %d requests round stops judged\n", tally.played, tally.kept, tally.stopRequests)
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case tally.kept < c.Seeds:
		return errRuleBroken
	}
	return nil
}

// soakTally counts days. Its methods are safe for concurrent use.
type soakTally struct {
	mu                         sync.Mutex
	played, kept, stopRequests int
}

// soakDay is the result of a day.
type soakDay struct {
	kept         bool
	stopRequests int // requests around stops that were checked under the rule LOST
}

func (t *soakTally) add(day soakDay) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.played++
	t.stopRequests += day.stopRequests
	if day.kept {
		t.kept++
	}
}

// day plays a day and prints a line; for a day that broke a rule, it prints the full result.
func (c *tierSoakCmd) day(ctx context.Context, program string, seed uint64, tier tierworld.Tier) soakDay {
	bounds := tierlab.Bounds()
	if c.SiteBounds {
		bounds = tierlab.SiteBounds()
	}
	world := tierworld.Soak(seed, c.Seconds, tier)
	if c.Losses {
		world = tierworld.LossSoak(seed, c.Seconds, bounds.Recovery.Seconds(), tier)
	}
	if c.IdleRoutes > 0 {
		world.Tier.IdleRoutes = c.IdleRoutes
	}
	if c.ProcessorShare > 0 {
		world.Tier.ProcessorShare = c.ProcessorShare
	}
	world.Tier.Cores = c.Cores
	options := tierlab.Options{Program: program, Scenario: tierlab.ScenarioFor(world), Bounds: &bounds}
	if c.Logs != "" {
		options.Dir = filepath.Join(c.Logs, fmt.Sprintf("seed-%d", seed))
	}
	result, err := tierlab.Run(ctx, options)
	if err != nil {
		fmt.Printf("seed %d: not played: %s\n", seed, eris.ToString(err, false))
		return soakDay{}
	}
	day := soakDay{kept: result.Passed(), stopRequests: result.Verdict.Checked[soakRule]}
	if day.kept {
		fmt.Printf("seed %d: kept, %d requests round stops, took %.0f s\n", seed, day.stopRequests, result.Elapsed.Seconds())
		if options.Dir != "" {
			_ = os.RemoveAll(options.Dir) // no failure to examine
		}
		return day
	}
	fmt.Printf("seed %d: BROKEN\n", seed)
	printTierResult(os.Stdout, result, maxBreachesShown)
	for _, moment := range result.Timeline {
		fmt.Println(moment)
	}
	return day
}
