package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"time"

	"emberquay/internal/lab/standin"
	"emberquay/internal/lab/world"
)

// dayFlags holds the flags shared by the commands that play a day.
type dayFlags struct {
	Sender string `help:"Path of the sender's program (emberquay)." type:"path" placeholder:"FILE"`
	With   string `help:"Settings file to pass to each sender by --with." type:"path" placeholder:"FILE"`
	Logs   string `help:"Folder in which to keep the senders' folders (state, configuration, log)." type:"path" placeholder:"DIR"`
	Seed   uint64 `help:"Seed of the day; 0 uses the seed of the world." default:"0"`
	JSON   string `help:"File to write the result to, as JSON." type:"path" placeholder:"FILE"`
	Show   int    `help:"Maximum number of breaches to print." default:"5"`
}

// program returns the path of the sender's program: from the flag, beside this executable, or from PATH.
func (h dayFlags) program() (string, error) {
	if h.Sender != "" {
		return h.Sender, nil
	}
	if self, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(self), "emberquay")
		if _, err := os.Stat(beside); err == nil {
			return beside, nil
		}
	}
	found, err := exec.LookPath("emberquay")
	if err != nil {
		return "", errors.New("no program emberquay beside this one or on the path: build it (go build -o bin/ ./cmd/...), or name it with --sender")
	}
	return found, nil
}

// options returns the options to play a day with.
func (h dayFlags) options() (standin.Options, error) {
	program, err := h.program()
	if err != nil {
		return standin.Options{}, err
	}
	opt := standin.Options{Command: []string{program, "serve"}, Dir: h.Logs}
	if h.With != "" {
		opt.Command = append(opt.Command, "--with", h.With)
	}
	return opt, nil
}

// play plays one day and prints the result.
func (h dayFlags) play(ctx context.Context, w *world.World) error {
	day, err := drawDay(w, h.Seed)
	if err != nil {
		return err
	}
	opt, err := h.options()
	if err != nil {
		return err
	}
	fmt.Printf("day of seed %d: %d texts in %.0f s, %d senders, %d receivers of %d destinations, %d troubles, %d fates of senders\n",
		day.Seed, len(day.Texts), day.Length.Seconds(), w.Senders, len(day.Receivers), len(day.Destinations), len(day.Incidents), len(day.Fates))
	interactive := isTerminal(os.Stderr)
	if interactive {
		opt.Progress = func(p standin.Progress) {
			fmt.Fprintf(os.Stderr, "\r\033[K%5.1f s of %.0f: %d handed in, %d delivered, %d submits, %d open, %d breaches",
				p.Now.Seconds(), p.End.Seconds(), p.HandIns, p.Delivered, p.Submits, p.OpenTexts, p.Breaches)
		}
	}
	result, err := standin.Play(ctx, day, opt)
	if interactive {
		fmt.Fprint(os.Stderr, "\r\033[K")
	}
	if result == nil {
		return err
	}
	printResult(os.Stdout, day, result, h.Show)
	if h.JSON != "" {
		raw, writeErr := json.MarshalIndent(result, "", " ")
		if writeErr == nil {
			writeErr = os.WriteFile(h.JSON, append(raw, '\n'), 0o644)
		}
		if writeErr != nil {
			return writeErr
		}
	}
	switch {
	case err != nil:
		return fmt.Errorf("ended early: %w", err)
	case !result.Passed():
		return errRuleBroken
	}
	return nil
}

// isTerminal reports whether a file is a terminal (any character device).
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

type tryCmd struct{ dayFlags }

// Run plays the default world.
func (c *tryCmd) Run(ctx context.Context) error { return c.play(ctx, world.Default()) }

type worldCmd struct {
	dayFlags
	File    string  `arg:"" optional:"" help:"World file (TOML)." type:"path"`
	Seconds float64 `help:"Duration of the traffic, in seconds; 0 uses that of the world." default:"0"`
	Print   bool    `help:"Print the default world as a file with comments."`
}

// Run plays the world of a file or prints the default world.
func (c *worldCmd) Run(ctx context.Context) error {
	if c.Print {
		raw, err := world.Print(world.Default())
		if err == nil {
			_, err = os.Stdout.Write(raw)
		}
		return err
	}
	w, err := readWorld(c.File)
	if err != nil {
		return err
	}
	if c.Seconds > 0 {
		w.Seconds = c.Seconds
	}
	return c.play(ctx, w)
}

// drawDay draws the day of a seed; 0 uses the seed of the world.
func drawDay(w *world.World, seed uint64) (*world.Day, error) {
	if seed == 0 {
		seed = w.Seed
	}
	return w.Draw(seed)
}

func readWorld(path string) (*world.World, error) {
	if path == "" {
		return nil, errors.New("which world? name a file (quaylab world --print > FILE writes one)")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	w, err := world.Read(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return w, nil
}

type standCmd struct {
	File string        `arg:"" optional:"" help:"World file (TOML); the default world if omitted." type:"path"`
	Seed uint64        `help:"Seed of the day; 0 uses the seed of the world." default:"0"`
	For  time.Duration `help:"How long to run, at most 24h." default:"1h"`
}

// Run runs the stand-ins until the time is over or Ctrl-C is pressed.
func (c *standCmd) Run(ctx context.Context) error {
	w := world.Default()
	w.Trouble, w.Fate, w.Senders = nil, nil, 1
	if c.File != "" {
		var err error
		if w, err = readWorld(c.File); err != nil {
			return err
		}
	}
	day, err := drawDay(w, c.Seed)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, min(c.For, 24*time.Hour))
	defer cancel()
	dir, err := os.MkdirTemp("", "quaylab-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	return standin.RunEnvironment(ctx, day, dir, func(no int, conf, listen string) {
		product := w.Product[slices.IndexFunc(w.Product, func(p world.Product) bool { return p.Share > 0 })]
		keyHeader := ""
		if product.Repeat == "referenced" {
			keyHeader = " -H 'Idempotency-Key: m1'"
		}
		fmt.Printf("sender %d:\n  emberquay serve --config %s\n  curl -i -d 'any bytes' -H 'X-Call-Id: t1' -H 'X-Call-Class: %s' -H 'X-Budget: %.0f' \\\n    -H 'X-Envelope: dest=0'%s http://%s/api\n",
			no, conf, product.Name, product.ValidityS, keyHeader, listen)
	}, os.Stdout)
}
