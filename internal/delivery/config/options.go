package config

import (
	"fmt"
	"os"

	"emberquay/internal/logs"
	"emberquay/internal/tomlfile"
)

// Options are all sections of the sender's own file: what the platform's configuration does not know. It is TOML, named by
// `--with`; without one everything in it is off:
//
//	own, err := config.ReadOptions("deploy/own.toml") // "" gives the defaults
//
// A key or value that is not known is an error with its line. A later direction adds its section, with toml, comment and range
// tags (see internal/tomlfile), and its defaults to DefaultOptions.
type Options struct {
	Log      logs.Options    `toml:"log" comment:"how the log is written"`
	Ledger   LedgerOptions   `toml:"ledger" comment:"the folder that lasts"`
	Handover HandoverOptions `toml:"move" comment:"what goes over to the process after this one"`
}

// LedgerOptions says how the folder that lasts is kept.
type LedgerOptions struct {
	Durability string `toml:"durability" oneof:"process power" comment:"process: outlasts a killed process; power: the loss of power too"`
}

// HandoverOptions says what a process leaves for the one after it.
type HandoverOptions struct {
	HistoryFile string `toml:"learnt" comment:"the file where what was learnt of the receivers is kept over a stop; empty: nowhere"`
}

// DefaultOptions are what counts where the file says nothing.
func DefaultOptions() *Options {
	return &Options{Log: logs.DefaultOptions(), Ledger: LedgerOptions{Durability: "process"}}
}

// ReadOptions reads the file at a path; no path gives the defaults.
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
