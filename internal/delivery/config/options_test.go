package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func readOptions(t *testing.T, text string) (*Options, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "own.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return ReadOptions(path)
}

func TestReadOptions(t *testing.T) {
	o, err := readOptions(t, "[log]\nlevel = \"warn\"\n")
	if err != nil || o.Log.Level != "warn" || o.Log.Format != "text" {
		t.Error(o, err)
	}
	if o, err = ReadOptions(""); err != nil || *o != *DefaultOptions() {
		t.Error(o, err)
	}
	if _, err = readOptions(t, "[log]\n\nformat = \"xml\"\n"); err == nil || !strings.Contains(err.Error(), "own.toml: line 3: log.format: \"xml\" is not known") {
		t.Error(err)
	}
	if o, err = ReadOptions("../../../deploy/own.toml"); err != nil || *o != *DefaultOptions() { // the example shows the defaults
		t.Error(o, err)
	}
}
