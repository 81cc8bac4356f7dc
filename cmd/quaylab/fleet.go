package main

import (
	"fmt"
	"os"

	"emberquay/internal/lab/fleet"
)

type fleetCmd struct {
	File string `arg:"" help:"World file (TOML); it may have hundreds of senders." type:"existingfile"`
	Seed uint64 `help:"Seed of the day; 0 uses the seed of the world." default:"0"`
	Show int    `help:"Maximum number of breaches to print." default:"5"`
}

// Run plays a day with the delivery module in place of each sender process and prints the totals of the fleet per second.
func (c *fleetCmd) Run() error {
	w, err := readWorld(c.File)
	if err != nil {
		return err
	}
	day, err := drawDay(w, c.Seed)
	if err != nil {
		return err
	}
	player, err := fleet.New(day)
	if err != nil {
		return err
	}
	player.Run()
	fmt.Println("second  handed in  delivered  given up  calls  refused  no connection")
	for i, s := range player.Seconds {
		if s.HandedIn+s.Calls+s.GivenUp+s.Delivered > 0 {
			fmt.Printf("%6d  %9d  %9d  %8d  %5d  %7d  %13d\n", i, s.HandedIn, s.Delivered, s.GivenUp, s.Calls, s.Refused, s.ConnectFailed)
		}
	}
	inTime, late, asked := player.Referee.Account().Revenue()
	fmt.Printf("\nseed %d, %d senders, %d receivers: %.3f of the revenue earned in time, %.3f late; %.3f by capacity alone\n%s",
		day.Seed, w.Senders, len(day.Receivers), inTime/asked, late/asked, sumEarned(day.BestRevenue())/asked, player.Referee.Verdict())
	printBreaches(os.Stdout, player.Referee.Breaches, player.Referee.OmittedBreaches, c.Show)
	if len(player.Referee.Breaches) > 0 {
		return errRuleBroken
	}
	return nil
}
