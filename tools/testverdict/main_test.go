package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const events = `{"Action":"pass","Package":"p","Test":"TestGood"}
{"Action":"output","Package":"p","Test":"TestBad","Output":"what went wrong\n"}
{"Action":"fail","Package":"p","Test":"TestBad"}
{"Action":"fail","Package":"p"}
`

func reportOf(t *testing.T, events string, list string) (bool, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	if err := os.WriteFile(path, []byte(list), 0o600); err != nil {
		t.Fatal(err)
	}
	knownRed, err := readKnownRed(path)
	if err != nil {
		t.Fatal(err)
	}
	run := newTestRun()
	if err := run.read(strings.NewReader(events)); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	return run.report(&out, knownRed), out.String()
}

func TestVerdict(t *testing.T) {
	cases := []struct {
		name, events, list string
		good               bool
		says               string
	}{
		{"a failure fails the run", events, "", false, "what went wrong"},
		{"a listed failure is ignored and printed", events, "p TestBad: a cause, issue 1\n", true, "known red: p TestBad: a cause, issue 1"},
		{"a listed test that passes fails the run", events, "p TestBad: a, 1\np TestGood: a, 1\n", false, "did not fail: p TestGood"},
		{"a listed test that does not run fails the run", events, "p TestBad: a, 1\np TestNone: a, 1\n", false, "did not fail: p TestNone"},
		{"a package that ends without a failed test fails the run", `{"Action":"pass","Package":"q","Test":"T"}` + "\n" + `{"Action":"fail","Package":"p"}`, "", false, "FAIL p"},
		{"a build failure fails the run", events + `{"Action":"build-output","ImportPath":"q","Output":"no such thing\n"}`, "p TestBad: a, 1", false, "no such thing"},
		{"a package that does not finish fails the run", `{"Action":"start","Package":"r"}` + "\n" + `{"Action":"pass","Package":"q","Test":"T"}`, "", false, "FAIL r"},
		{"no test fails the run", "", "", false, "no test passed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			good, out := reportOf(t, c.events, c.list)
			if good != c.good || !strings.Contains(out, c.says) {
				t.Errorf("good=%v, output:\n%s", good, out)
			}
		})
	}
}

func TestKnownRedEntryNeedsCause(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	if err := os.WriteFile(path, []byte("p TestBad\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := readKnownRed(path); err == nil || !strings.Contains(err.Error(), ":1:") {
		t.Errorf("a line without a cause: %v", err)
	}
}

// A Ginkgo suite counts by its specs, with or without ANSI colors.
func TestSuitesCountBySpecs(t *testing.T) {
	const suites = `{"Action":"output","Package":"p","Test":"TestSuite","Output":"\u001b[1mSUCCESS!\u001b[0m -- \u001b[1m20 Passed\u001b[0m | \u001b[91m0 Failed\u001b[0m | 1 Pending | 2 Skipped\n"}
{"Action":"pass","Package":"p","Test":"TestSuite"}
{"Action":"pass","Package":"p","Test":"TestPlain"}
{"Action":"output","Package":"q","Test":"TestOther","Output":"FAIL! -- 7 Passed | 3 Failed | 0 Pending | 0 Skipped\n"}
{"Action":"fail","Package":"q","Test":"TestOther"}
{"Action":"fail","Package":"q"}
`
	good, says := reportOf(t, suites, "")
	if good || !strings.Contains(says, "28 passed, 3 failed, 3 skipped\n") {
		t.Errorf("good: %v, %s", good, says)
	}
}
