package options

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func read(t *testing.T, text string) (*Options, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "own.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Read(path)
}

func TestRead(t *testing.T) {
	o, err := read(t, "[log]\nlevel = \"warn\"\n")
	if err != nil || o.Log.Level != "warn" || o.Log.Format != "text" {
		t.Error(o, err)
	}
	if o, err = Read(""); err != nil || *o != *Defaults() {
		t.Error(o, err)
	}
	if _, err = read(t, "[log]\n\nformat = \"xml\"\n"); err == nil || !strings.Contains(err.Error(), "own.toml: line 3: log.format: \"xml\" is not known") {
		t.Error(err)
	}
	if o, err = Read("../../../deploy/own.toml"); err != nil || *o != *Defaults() { // the example shows the defaults
		t.Error(o, err)
	}
}
