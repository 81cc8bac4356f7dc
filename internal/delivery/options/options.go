// Package options reads the sender's own file: what the platform's configuration does not know. It is TOML, named
// by `--with`; without one everything in it is off.
//
//	own, err := options.Read("deploy/own.toml") // "" gives the defaults
//	logs.Setup(os.Stderr, limits.LogLines, own.Log)
//
// A key or value that is not known is an error with its line. A later direction adds its section to Options, with
// toml, comment and range tags (see internal/tomlfile), and its defaults to Defaults.
package options

import (
	"fmt"
	"os"

	"emberquay/internal/logs"
	"emberquay/internal/tomlfile"
)

// Options are all sections of the file.
type Options struct {
	Log    logs.Options `toml:"log" comment:"how the log is written"`
	Ledger Ledger       `toml:"ledger" comment:"the folder that lasts"`
	Move   Move         `toml:"move" comment:"what goes over to the process after this one"`
}

// Ledger says how the folder that lasts is kept.
type Ledger struct {
	Durability string `toml:"durability" oneof:"process power" comment:"process: outlasts a killed process; power: the loss of power too"`
}

// Move says what a process leaves for the one after it.
type Move struct {
	Learnt string `toml:"learnt" comment:"the file where what was learnt of the receivers is kept over a stop; empty: nowhere"`
}

// Defaults are what counts where the file says nothing.
func Defaults() *Options {
	return &Options{Log: logs.Defaults(), Ledger: Ledger{Durability: "process"}}
}

// Read reads the file at a path; no path gives the defaults.
func Read(path string) (*Options, error) {
	o := Defaults()
	if path == "" {
		return o, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err := tomlfile.Decode(raw, o); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return o, nil
}
