package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"emberquay/internal/hollow"
)

// hollowWorkerName is the command that a worker's process is started with.
const hollowWorkerName = "hollow-worker"

type hollowCmd struct {
	Nodes     []int         `help:"Sizes of the fleets, measured one after the other." default:"30,100,340"`
	Controls  int           `help:"Control planes, each with its replica." default:"5"`
	Receivers int           `help:"Receivers that send heartbeats." default:"620"`
	Zones     int           `help:"Zones." default:"5"`
	Window    time.Duration `help:"Of rest, and of restarts." default:"20s"`
	Changes   int           `help:"Changes of the configuration, and as many drains; again during the restarts." default:"10"`
	Bytes     int           `help:"Of the configuration, at least." default:"20000"`
	Reports   []float64     `help:"Reports of receivers that all proxies share together, a second; a window for each." default:"5,20"`
	Restart   float64       `help:"Share of the nodes that restart again and again." default:"0.03"`
	Spacing   time.Duration `help:"Between the starts of two nodes: each is news to all." default:"10ms"`
	Patience  time.Duration `help:"For all to know all, and each change." default:"2m"`
	Out       string        `help:"Write hollow.json, hollow.csv, hollow.txt and hollow.svg here." type:"path" placeholder:"DIR"`
	Draw      string        `help:"Measure nothing: draw anew what this hollow.json holds." type:"existingfile" placeholder:"FILE"`
}

// Run measures fleets of hollow nodes.
func (c *hollowCmd) Run(ctx context.Context) error {
	results, err := c.results(ctx)
	if err != nil {
		return err
	}
	return c.write(results)
}

func (c *hollowCmd) results(ctx context.Context) ([]hollow.Result, error) {
	if c.Draw != "" {
		file, err := os.Open(c.Draw)
		if err != nil {
			return nil, eris.Wrap(err, "hollow")
		}
		defer file.Close()
		return hollow.ReadJSON(file)
	}
	self, err := os.Executable()
	if err != nil {
		return nil, eris.Wrap(err, "hollow")
	}
	var results []hollow.Result
	for _, nodes := range c.Nodes {
		progress := func(step string) {
			fmt.Fprintf(os.Stderr, "%s %d nodes: %s\n", time.Now().Format(time.TimeOnly), nodes, step)
		}
		result, err := hollow.Measure(ctx, c.options(nodes), hollow.Children(self, hollowWorkerName), progress)
		if err != nil {
			return nil, eris.Wrapf(err, "%d nodes", nodes)
		}
		results = append(results, result)
		if c.Out == "" {
			continue
		}
		if err := c.write(results); err != nil { // what a larger fleet fails at must not cost the smaller ones
			return nil, err
		}
	}
	return results, nil
}

func (c *hollowCmd) options(nodes int) hollow.Options {
	return hollow.Options{
		Nodes: nodes, Controls: c.Controls, Receivers: c.Receivers, Zones: c.Zones, Window: c.Window, Changes: c.Changes,
		ConfigurationBytes: c.Bytes, Reports: c.Reports, RestartShare: c.Restart,
		StartSpacing: c.Spacing, Patience: c.Patience,
	}
}

// write prints the tables, or writes all forms into the folder.
func (c *hollowCmd) write(results []hollow.Result) error {
	if c.Out == "" {
		return hollow.WriteText(os.Stdout, results)
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return eris.Wrap(err, "hollow")
	}
	for name, write := range map[string]func(io.Writer, []hollow.Result) error{
		"hollow.json": hollow.WriteJSON, "hollow.csv": hollow.WriteCSV, "hollow.txt": hollow.WriteText, "hollow.svg": hollow.WriteChart,
	} {
		if err := writeFile(filepath.Join(c.Out, name), results, write); err != nil {
			return err
		}
	}
	return nil
}

func writeFile(path string, results []hollow.Result, write func(io.Writer, []hollow.Result) error) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "hollow")
	}
	if err := write(file, results); err != nil {
		_ = file.Close()
		return err
	}
	return eris.Wrap(file.Close(), path)
}

// hollowWorkerCmd is a process of `quaylab hollow`, started by it.
type hollowWorkerCmd struct{}

// Run works for the parent until that ends.
func (hollowWorkerCmd) Run() error { return hollow.Serve(os.Stdin, os.Stdout) }
