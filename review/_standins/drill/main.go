package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: drill CASE RECORD")
		os.Exit(cannotRun)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		os.Exit(cannotRun)
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	c := &run{record: log, trouble: os.Getenv("TROUBLE") != "0"}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		c.stop()
		os.Exit(cannotRun)
	}()
	code, err := play(c)
	c.stop()
	if err != nil {
		log.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = cannotRun
	}
	os.Exit(code)
}

var cases = map[string]func(*run) (int, error){
	"surplus": surplus,
}

// run is one play of a case.
type run struct {
	record  *record
	trouble bool
	tier    *tier
}

func (c *run) stop() {
	if c.tier != nil {
		c.tier.stopAll()
	}
}
