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
	Dir string `arg:"" help:"A folder with the logs of a fleet, a file (*.log) for each sender, at any depth." type:"existingdir"`
}

// Run adds up what all senders of a fleet logged, second by second.
func (c *countCmd) Run() error {
	t := &totals{}
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
		return t.read(f)
	})
	if err != nil {
		return err
	}
	if len(t.seconds) == 0 {
		return fmt.Errorf("%s: no line with a time and an event in %d logs (*.log, format = \"text\")", c.Dir, logs)
	}
	fmt.Printf("%d logs, from %s\n", logs, t.first.Format(time.RFC3339))
	t.print(os.Stdout)
	if !t.counted {
		fmt.Println("\nNo event=counted in the logs: texts and calls are only told where [log] count_s is set in the file of --with.")
	}
	return nil
}

// columns are what is added up: the head of each, and the key of event=counted or the event itself.
var columns = []struct{ head, key, event string }{
	{"handed in", "taken+refused", ""}, {"delivered", "delivered", ""}, {"refused", "refused", ""}, {"nacked", "nacked", ""},
	{"undeliv.", "undeliverable", ""}, {"submits", "submits", ""}, {"full", "full", ""}, {"crowded", "crowded", ""},
	{"no conn.", "no_connection", ""}, {"no answer", "no_answer", ""}, {"errored", "errored", ""}, {"dials", "dials", ""},
	{"lists", "", "listed"}, {"no list", "", "watch_ended"}, {"repeats", "", "repeat"}, {"starts", "", "ready"},
}

// totals are sums over a fleet by the second.
type totals struct {
	first   time.Time
	seconds map[int64][]int // by Unix time
	counted bool
}

var (
	timeIs  = regexp.MustCompile(`(?:^|\s)time=(\S+)`)
	eventIs = regexp.MustCompile(`\sevent=(\S+)`)
	pairs   = regexp.MustCompile(`(\w+)=(\d+)(?:\s|$)`)
)

// mostLine bounds what is read as one line of a log; what is longer is passed over.
const mostLine = 64 << 10

// read takes one sender's log. Lines that are no text log of ours are passed over: what a fleet's supervisor writes
// among them, or before each, says nothing here.
func (t *totals) read(from io.Reader) error {
	in := bufio.NewReaderSize(from, mostLine)
	for {
		line, long, err := in.ReadLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if !long {
			t.add(string(line))
			continue
		}
		for long && err == nil {
			_, long, err = in.ReadLine()
		}
	}
}

func (t *totals) add(line string) {
	at, event := timeIs.FindStringSubmatch(line), eventIs.FindStringSubmatch(line)
	if at == nil || event == nil {
		return
	}
	when, err := time.Parse(time.RFC3339Nano, at[1])
	if err != nil {
		return
	}
	if t.seconds == nil {
		t.seconds = map[int64][]int{}
	}
	if t.first.IsZero() || when.Before(t.first) {
		t.first = when
	}
	row := t.seconds[when.Unix()]
	if row == nil {
		row = make([]int, len(columns))
		t.seconds[when.Unix()] = row
	}
	for i, c := range columns {
		if c.event == event[1] {
			row[i]++
		}
	}
	if event[1] != "counted" {
		return
	}
	t.counted = true
	values := map[string]int{}
	for _, p := range pairs.FindAllStringSubmatch(line, -1) {
		values[p[1]], _ = strconv.Atoi(p[2])
	}
	for i, c := range columns {
		for _, key := range strings.Split(c.key, "+") {
			row[i] += values[key]
		}
	}
}

// print writes the table; a second in which nobody logged is an empty row.
func (t *totals) print(to io.Writer) {
	fmt.Fprint(to, "second")
	for _, c := range columns {
		fmt.Fprintf(to, "  %9s", c.head)
	}
	fmt.Fprintln(to)
	sums := make([]int, len(columns))
	row := func(name string, values []int) {
		fmt.Fprintf(to, "%6s", name)
		for _, n := range values {
			fmt.Fprintf(to, "  %9d", n)
		}
		fmt.Fprintln(to)
	}
	before := int64(0)
	for i, at := range slices.Sorted(maps.Keys(t.seconds)) {
		switch { // a gap of hours is not an hour of rows
		case i > 0 && at == before+2:
			row(strconv.FormatInt(at-1-t.first.Unix(), 10), make([]int, len(columns)))
		case i > 0 && at > before+2:
			fmt.Fprintln(to, "   ...")
		}
		row(strconv.FormatInt(at-t.first.Unix(), 10), t.seconds[at])
		for i, v := range t.seconds[at] {
			sums[i] += v
		}
		before = at
	}
	row("all", sums)
}
