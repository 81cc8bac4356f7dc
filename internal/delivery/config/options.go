package config

import (
	"fmt"
	"os"

	"emberquay/internal/logs"
	"emberquay/internal/tomlfile"
)

// Options are the sections of the sender's own file, for what the platform's configuration does not have. It is a TOML file
// named by `--with`; without one the defaults apply:
//
//	own, err := config.ReadOptions("deploy/own.toml") // "" gives the defaults
//
// An unknown key or value is an error with its line. To add a section, add a field with toml, comment and range tags (see
// internal/tomlfile) and its defaults to DefaultOptions.
type Options struct {
	Log      logs.Options    `toml:"log" comment:"how the log is written"`
	Ledger   LedgerOptions   `toml:"ledger" comment:"the folder that lasts"`
	Handover HandoverOptions `toml:"move" comment:"what goes over to the process after this one"`
}

// LedgerOptions configures the ledger.
type LedgerOptions struct {
	Durability string `toml:"durability" oneof:"process power" comment:"process: outlasts a killed process; power: the loss of power too"`
}

// HandoverOptions configures what a process leaves for the next one.
type HandoverOptions struct {
	HistoryFile string `toml:"learnt" comment:"the file where what was learnt of the receivers is kept over a stop; empty: nowhere"`
}

// DefaultOptions returns the defaults.
func DefaultOptions() *Options {
	return &Options{Log: logs.DefaultOptions(), Ledger: LedgerOptions{Durability: "process"}}
}

// ReadOptions reads an options file; an empty path gives the defaults.
func ReadOptions(path string) (*Options, error) {
	o := DefaultOptions()
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
