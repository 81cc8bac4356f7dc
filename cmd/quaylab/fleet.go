package main

import (
	"fmt"
	"os"

	"emberquay/internal/lab/fleet"
)

type fleetCmd struct {
	File string `arg:"" help:"The described world; may name hundreds of senders." type:"existingfile"`
	Seed uint64 `help:"The day's seed; 0 for the one of the world." default:"0"`
	Show int    `help:"So many breaches are printed." default:"5"`
}

// Run plays a day with modules in place of senders, and prints what the whole fleet did second by second.
func (c *fleetCmd) Run() error {
	w, err := readWorld(c.File)
	if err != nil {
		return err
	}
	day, err := draw(w, c.Seed)
	if err != nil {
		return err
	}
	p, err := fleet.New(day)
	if err != nil {
		return err
	}
	p.Run()
	fmt.Println("second  handed in  delivered  given up  calls  refused  no connection")
	for i, s := range p.Seconds {
		if s.HandedIn+s.Calls+s.GivenUp+s.Delivered > 0 {
			fmt.Printf("%6d  %9d  %9d  %8d  %5d  %7d  %13d\n", i, s.HandedIn, s.Delivered, s.GivenUp, s.Calls, s.Refused, s.ConnectFailed)
		}
	}
	in, late, asked := p.Referee.Account().Revenue()
	fmt.Printf("\nseed %d, %d senders, %d receivers: %.3f of the revenue earned in time, %.3f late; %.3f by capacity alone\n%s",
		day.Seed, w.Senders, len(day.Receivers), in/asked, late/asked, total(day.BestRevenue())/asked, p.Referee.Verdict())
	breaches(os.Stdout, p.Referee.Breaches, p.Referee.OmittedBreaches, c.Show)
	if len(p.Referee.Breaches) > 0 {
		return errBroken
	}
	return nil
}
