package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"emberquay/internal/lab/tierworld"
)

// --check reads a world without playing it; the error for an invalid one names its file and key.
func TestTierRunChecksAWorld(t *testing.T) {
	file := filepath.Join(t.TempDir(), "w.toml")
	for text, want := range map[string]string{
		"seconds = 5": "",
		"seconds = 5\n[[trouble]]\nwhat = \"kill\"\non = \"shop\"\nfor_s = 1.0": file + `: trouble 1: on: "shop" is not known`,
	} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		err := (&tierRunCmd{File: file, Check: true}).Run(t.Context())
		if want == "" && err != nil || want != "" && (err == nil || !strings.HasPrefix(err.Error(), want)) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// The description of a world names its processes and each trouble with its time.
func TestDescribeTierWorld(t *testing.T) {
	var out strings.Builder
	describeTierWorld(&out, tierworld.Short())
	for _, want := range []string{
		"7 s of traffic; 3 control planes, 3 stores, 2 proxies; 8 receivers\n",
		"    2.00s  kill control-plane 0 for 0.5s\n",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s lacks %q", out.String(), want)
		}
	}
}
