// Command testverdict reads the events of `go test -json` and reports whether the run passed, except for the tests that
// KNOWN-RED.txt lists:
//
//	go test -json ./... | go run ./tools/testverdict KNOWN-RED.txt
//
// A line of the list is "PACKAGE TEST: cause, issue". The failure of a listed test is printed and ignored. A listed test
// that passes or does not run fails the run, as does any failure that is not listed. The last line counts the tests; a Ginkgo
// suite counts by its specs, so that a removed spec changes the count.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// testID identifies a test, or a whole package if the name is empty.
type testID struct{ pkg, name string }

// specCounts counts the results of a suite's specs.
type specCounts struct{ passed, failed, notRun int } // notRun: pending or skipped

// ginkgoSummary matches the last line of a Ginkgo suite without ANSI colors.
var ginkgoSummary = regexp.MustCompile(`(\d+) Passed \| (\d+) Failed \| (\d+) Pending \| (\d+) Skipped`)

// ansiColors matches ANSI color sequences.
var ansiColors = regexp.MustCompile(`\x1b\[[0-9;]*m`)

// parseGinkgoSummary parses the last line of a suite; it returns false for any other line.
func parseGinkgoSummary(line string) (specCounts, bool) {
	found := ginkgoSummary.FindStringSubmatch(ansiColors.ReplaceAllString(line, ""))
	if found == nil {
		return specCounts{}, false
	}
	var counts [4]int
	for i := range counts {
		counts[i], _ = strconv.Atoi(found[i+1]) // only digits match
	}
	return specCounts{passed: counts[0], failed: counts[1], notRun: counts[2] + counts[3]}, true
}

// event has the fields of a `go test -json` line that are used.
type event struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
}

// testRun collects the events of a test run.
type testRun struct {
	output         map[testID][]string
	buildOutput    map[string][]string // by import path of packages that did not build
	passed, failed []testID
	failedPackages []testID // packages that failed
	skipped        int
	suites         map[testID]specCounts
	unfinished     map[string]bool // packages that started and have no result
}

func newTestRun() *testRun {
	return &testRun{output: map[testID][]string{}, buildOutput: map[string][]string{}, suites: map[testID]specCounts{}, unfinished: map[string]bool{}}
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: testverdict KNOWN-RED.txt < events")
		os.Exit(2)
	}
	knownRed, err := readKnownRed(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	run := newTestRun()
	if err := run.read(os.Stdin); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if !run.report(os.Stdout, knownRed) {
		os.Exit(1)
	}
}

// readKnownRed reads the known red tests and their causes. A missing file is an empty list.
func readKnownRed(path string) (map[testID]string, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	knownRed := map[testID]string{}
	for number, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, cause, found := strings.Cut(line, ":")
		fields := strings.Fields(name)
		if !found || len(fields) != 2 || strings.TrimSpace(cause) == "" {
			return nil, fmt.Errorf("%s:%d: want \"PACKAGE TEST: cause, issue\"", path, number+1)
		}
		knownRed[testID{fields[0], fields[1]}] = strings.TrimSpace(cause)
	}
	return knownRed, nil
}

func (v *testRun) read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 16<<20)
	for scanner.Scan() {
		var e event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			return fmt.Errorf("not an event of go test -json: %q", scanner.Text())
		}
		v.handleEvent(e)
	}
	return scanner.Err()
}

func (v *testRun) handleEvent(e event) {
	t := testID{e.Package, e.Test}
	if e.Test == "" && (e.Action == "pass" || e.Action == "fail" || e.Action == "skip") {
		delete(v.unfinished, e.Package)
	}
	switch e.Action {
	case "start":
		v.unfinished[e.Package] = true
	case "build-output":
		v.buildOutput[e.ImportPath] = append(v.buildOutput[e.ImportPath], e.Output)
	case "output":
		v.output[t] = append(v.output[t], e.Output)
		if s, ended := parseGinkgoSummary(e.Output); ended {
			v.suites[t] = s
		}
	case "skip":
		if e.Test != "" {
			v.skipped++
		}
	case "pass":
		delete(v.output, t)
		if e.Test != "" {
			v.passed = append(v.passed, t)
		}
	case "fail":
		if e.Test == "" {
			v.failedPackages = append(v.failedPackages, t)
			return
		}
		v.failed = append(v.failed, t)
	}
}

// report prints the failures and the counts, and returns whether the run passed.
func (v *testRun) report(w io.Writer, knownRed map[testID]string) bool {
	success := true
	for path, lines := range v.buildOutput {
		fmt.Fprintf(w, "does not build: %s\n%s", path, strings.Join(lines, ""))
		success = false
	}
	for _, t := range v.failed {
		if cause, known := knownRed[t]; known {
			fmt.Fprintf(w, "known red: %s %s: %s\n", t.pkg, t.name, cause)
			continue
		}
		fmt.Fprintf(w, "FAIL %s %s\n%s", t.pkg, t.name, strings.Join(v.output[t], ""))
		success = false
	}
	for _, p := range v.failedPackages { // a package without a failed test: a panic, a timeout or a build failure
		if !slices.ContainsFunc(v.failed, func(t testID) bool { return t.pkg == p.pkg }) {
			fmt.Fprintf(w, "FAIL %s\n%s", p.pkg, strings.Join(v.output[p], ""))
			success = false
		}
	}
	for t := range knownRed {
		if !slices.Contains(v.failed, t) {
			fmt.Fprintf(w, "listed as known red but it did not fail: %s %s\n", t.pkg, t.name)
			success = false
		}
	}
	for pkg := range v.unfinished {
		fmt.Fprintf(w, "FAIL %s: the package did not finish\n", pkg)
		success = false
	}
	if len(v.passed) == 0 {
		fmt.Fprintln(w, "no test passed")
		success = false
	}
	passed, failed, skipped := v.counts()
	fmt.Fprintf(w, "%d passed, %d failed, %d skipped\n", passed, failed, skipped)
	return success
}

// counts counts the tests; a Ginkgo suite counts by its specs instead of as one test.
func (v *testRun) counts() (passed, failed, skipped int) {
	passed, failed, skipped = len(v.passed), len(v.failed), v.skipped
	for t, s := range v.suites {
		passed += s.passed
		failed += s.failed
		skipped += s.notRun
		if slices.Contains(v.failed, t) {
			failed--
		} else if slices.Contains(v.passed, t) {
			passed--
		}
	}
	return passed, failed, skipped
}
