package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

type countCmd struct {
	Dir string `arg:"" help:"Folder with the logs of a fleet: one file (*.log) per sender, at any depth." type:"existingdir"`
}

// Run sums the counts in the logs of all senders of a fleet per second and prints the table.
func (c *countCmd) Run() error {
	totals := &fleetTotals{}
	logs := 0
	err := filepath.WalkDir(c.Dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".log" {
			return err
		}
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		defer f.Close()
		logs++
		return totals.readLog(f)
	})
	if err != nil {
		return err
	}
	if len(totals.countsBySecond) == 0 {
		return fmt.Errorf("%s: no line with a time and an event in %d logs (*.log, format = \"text\")", c.Dir, logs)
	}
	fmt.Printf("%d logs, from %s\n", logs, totals.firstTime.Format(time.RFC3339))
	totals.printTable(os.Stdout)
	if !totals.hasCounts {
		fmt.Println("\nNo event=counted in the logs: texts and calls are only told where [log] count_s is set in the file of --with.")
	}
	return nil
}

// columns lists the columns of the table: the heading, and either the keys of event=counted to sum or the event to count.
var columns = []struct{ head, key, event string }{
	{"handed in", "taken+refused", ""}, {"delivered", "delivered", ""}, {"refused", "refused", ""}, {"nacked", "nacked", ""},
	{"undeliv.", "undeliverable", ""}, {"submits", "submits", ""}, {"full", "full", ""}, {"crowded", "crowded", ""},
	{"no conn.", "no_connection", ""}, {"no answer", "no_answer", ""}, {"errored", "errored", ""}, {"dials", "dials", ""},
	{"lists", "", "listed"}, {"no list", "", "watch_ended"}, {"repeats", "", "repeat"}, {"starts", "", "ready"},
}

// fleetTotals holds the counts of a fleet per second.
type fleetTotals struct {
	firstTime      time.Time
	countsBySecond map[int64][]int // by Unix time in seconds; a value per column
	hasCounts      bool
}

var (
	timePattern  = regexp.MustCompile(`(?:^|\s)time=(\S+)`)
	eventPattern = regexp.MustCompile(`\sevent=(\S+)`)
	countPattern = regexp.MustCompile(`(\w+)=(\d+)(?:\s|$)`)
)

// maxLineBytes is the maximum length of a log line; longer lines are skipped.
const maxLineBytes = 64 << 10

// readLog adds one sender's log. It skips lines that are not in the sender's text format, such as those of a supervisor,
// and ignores a prefix that a supervisor puts before each line.
func (t *fleetTotals) readLog(log io.Reader) error {
	in := bufio.NewReaderSize(log, maxLineBytes)
	for {
		line, truncated, err := in.ReadLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if !truncated {
			t.addLine(string(line))
			continue
		}
		for truncated && err == nil {
			_, truncated, err = in.ReadLine()
		}
	}
}

// addLine adds a log line; it skips a line without a valid time and an event.
func (t *fleetTotals) addLine(line string) {
	timeMatch, eventMatch := timePattern.FindStringSubmatch(line), eventPattern.FindStringSubmatch(line)
	if timeMatch == nil || eventMatch == nil {
		return
	}
	logged, err := time.Parse(time.RFC3339Nano, timeMatch[1])
	if err != nil {
		return
	}
	if t.countsBySecond == nil {
		t.countsBySecond = map[int64][]int{}
	}
	if t.firstTime.IsZero() || logged.Before(t.firstTime) {
		t.firstTime = logged
	}
	row := t.countsBySecond[logged.Unix()]
	if row == nil {
		row = make([]int, len(columns))
		t.countsBySecond[logged.Unix()] = row
	}
	for i, c := range columns {
		if c.event == eventMatch[1] {
			row[i]++
		}
	}
	if eventMatch[1] != "counted" {
		return
	}
	t.hasCounts = true
	values := map[string]int{}
	for _, p := range countPattern.FindAllStringSubmatch(line, -1) {
		values[p[1]], _ = strconv.Atoi(p[2])
	}
	for i, c := range columns {
		for _, key := range strings.Split(c.key, "+") {
			row[i] += values[key]
		}
	}
}

// printTable writes the table. A single second without log lines is a row of zeros; a longer gap is one row of dots.
func (t *fleetTotals) printTable(out io.Writer) {
	fmt.Fprint(out, "second")
	for _, c := range columns {
		fmt.Fprintf(out, "  %9s", c.head)
	}
	fmt.Fprintln(out)
	sums := make([]int, len(columns))
	printRow := func(name string, values []int) {
		fmt.Fprintf(out, "%6s", name)
		for _, n := range values {
			fmt.Fprintf(out, "  %9d", n)
		}
		fmt.Fprintln(out)
	}
	previous := int64(0)
	for i, second := range slices.Sorted(maps.Keys(t.countsBySecond)) {
		switch { // keeps a gap of hours from printing thousands of rows
		case i > 0 && second == previous+2:
			printRow(strconv.FormatInt(second-1-t.firstTime.Unix(), 10), make([]int, len(columns)))
		case i > 0 && second > previous+2:
			fmt.Fprintln(out, "   ...")
		}
		printRow(strconv.FormatInt(second-t.firstTime.Unix(), 10), t.countsBySecond[second])
		for i, v := range t.countsBySecond[second] {
			sums[i] += v
		}
		previous = second
	}
	printRow("all", sums)
}
