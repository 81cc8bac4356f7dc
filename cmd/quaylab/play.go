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

// how are the flags that the commands which play a day share.
type how struct {
	Sender string `help:"The sender's program." type:"path" placeholder:"FILE"`
	With   string `help:"A file of our own that each sender gets by --with." type:"path" placeholder:"FILE"`
	Logs   string `help:"Keep the senders' folders (state, configuration, log) here." type:"path" placeholder:"DIR"`
	Seed   uint64 `help:"The day's seed; 0 for the one of the world." default:"0"`
	JSON   string `help:"Write the result here." type:"path" placeholder:"FILE"`
	Show   int    `help:"So many breaches are printed." default:"5"`
}

// program finds the sender's program: as told, beside this one, or on the path.
func (h how) program() (string, error) {
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

// options are those of a day.
func (h how) options() (standin.Options, error) {
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

// play plays one day and reports it.
func (h how) play(ctx context.Context, w *world.World) error {
	day, err := draw(w, h.Seed)
	if err != nil {
		return err
	}
	opt, err := h.options()
	if err != nil {
		return err
	}
	fmt.Printf("day of seed %d: %d texts in %.0f s, %d senders, %d receivers of %d destinations, %d troubles, %d fates of senders\n",
		day.Seed, len(day.Texts), day.Length.Seconds(), w.Senders, len(day.Receivers), len(day.Destinations), len(day.Incidents), len(day.Fates))
	live := terminal(os.Stderr)
	if live {
		opt.Progress = func(p standin.Progress) {
			fmt.Fprintf(os.Stderr, "\r\033[K%5.1f s of %.0f: %d handed in, %d delivered, %d submits, %d open, %d breaches",
				p.Now.Seconds(), p.End.Seconds(), p.HandIns, p.Delivered, p.Submits, p.OpenTexts, p.Breaches)
		}
	}
	result, err := standin.Play(ctx, day, opt)
	if live {
		fmt.Fprint(os.Stderr, "\r\033[K")
	}
	if result == nil {
		return err
	}
	report(os.Stdout, day, result, h.Show)
	if h.JSON != "" {
		raw, bad := json.MarshalIndent(result, "", " ")
		if bad == nil {
			bad = os.WriteFile(h.JSON, append(raw, '\n'), 0o644)
		}
		if bad != nil {
			return bad
		}
	}
	switch {
	case err != nil:
		return fmt.Errorf("ended early: %w", err)
	case !result.Passed():
		return errBroken
	}
	return nil
}

// terminal says whether a file is one.
func terminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

type tryCmd struct{ how }

// Run plays the default world.
func (c *tryCmd) Run(ctx context.Context) error { return c.play(ctx, world.Default()) }

type worldCmd struct {
	how
	File    string  `arg:"" optional:"" help:"The described world (TOML)." type:"path"`
	Seconds float64 `help:"Texts arrive for so long; 0 for what the world says." default:"0"`
	Print   bool    `help:"Print the default world as a file with comments."`
}

// Run plays it, or prints the default one.
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

// draw draws the day of a seed, or of the world's own for 0.
func draw(w *world.World, seed uint64) (*world.Day, error) {
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
	File string        `arg:"" optional:"" help:"The described world (TOML); the default one without." type:"path"`
	Seed uint64        `help:"The day's seed; 0 for the one of the world." default:"0"`
	For  time.Duration `help:"So long, at most a day." default:"1h"`
}

// Run keeps the stand-ins up until the time is over or Ctrl-C.
func (c *standCmd) Run(ctx context.Context) error {
	w := world.Default()
	w.Trouble, w.Fate, w.Senders = nil, nil, 1
	if c.File != "" {
		var err error
		if w, err = readWorld(c.File); err != nil {
			return err
		}
	}
	day, err := draw(w, c.Seed)
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
		mark := ""
		if product.Repeat == "referenced" {
			mark = " -H 'Idempotency-Key: m1'"
		}
		fmt.Printf("sender %d:\n  emberquay serve --config %s\n  curl -i -d 'any bytes' -H 'X-Call-Id: t1' -H 'X-Call-Class: %s' -H 'X-Budget: %.0f' \\\n    -H 'X-Envelope: dest=0'%s http://%s/api\n",
			no, conf, product.Name, product.ValidityS, mark, listen)
	}, os.Stdout)
}
