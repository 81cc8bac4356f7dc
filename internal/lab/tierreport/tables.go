package tierreport

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"emberquay/internal/lab/referee/tierrules"
	"emberquay/internal/lab/tierlab"
)

// maxListedBreaches limits the breaches that are listed individually.
const maxListedBreaches = 50

// WriteTables writes the tables of the report as Markdown.
func WriteTables(out io.Writer, title string, r *tierlab.Result) error {
	var text bytes.Buffer
	fmt.Fprintf(&text, "# %s\n\n", title)
	fmt.Fprintf(&text, "Instants are seconds since traffic began, which went on for %.1f s.",
		(r.Recording.To - r.Recording.From).Seconds())
	fmt.Fprintf(&text, " The whole took %.1f s.\n\n", r.Elapsed.Seconds())
	fmt.Fprintf(&text, "![The day over time](%s)\n\n![Latencies](%s)\n", DayFile, DistributionFile)
	writeRulesTable(&text, r)
	writeTriesTable(&text, r)
	writeProgramsTable(&text, r)
	writeReceiversTable(&text, r)
	writeTroublesTable(&text, r)
	_, err := out.Write(text.Bytes())
	return err
}

// writeRow writes one row of a Markdown table.
func writeRow(out io.Writer, cells ...any) {
	for _, cell := range cells {
		fmt.Fprintf(out, "| %v ", cell)
	}
	fmt.Fprintln(out, "|")
}

// writeTableHeader writes the section heading and the header row of a table.
func writeTableHeader(out io.Writer, title string, names ...string) {
	fmt.Fprintf(out, "\n## %s\n\n", title)
	cells := make([]any, 0, len(names))
	for _, name := range names {
		cells = append(cells, name)
	}
	writeRow(out, cells...)
	fmt.Fprintln(out, strings.Repeat("| --- ", len(names))+"|")
}

func writeRulesTable(out io.Writer, r *tierlab.Result) {
	writeTableHeader(out, "Rules", "rule", "verdict", "looked at")
	for _, rule := range tierrules.Rules {
		verdict := "kept"
		if n := r.Verdict.BreachCount(rule); n > 0 {
			verdict = fmt.Sprintf("**broken %d times**", n)
		}
		writeRow(out, rule, verdict, r.Verdict.Checked[rule])
	}
	listStarted := false
	writeItem := func(format string, args ...any) {
		if !listStarted {
			fmt.Fprintln(out)
		}
		listStarted = true
		fmt.Fprintf(out, "- "+format+"\n", args...)
	}
	for i, breach := range r.Verdict.Breaches {
		if i == maxListedBreaches {
			writeItem("and %d more", len(r.Verdict.Breaches)-maxListedBreaches)
			break
		}
		writeItem("%s", breach)
	}
	for _, crash := range r.Crashes {
		writeItem("CRASH: %s", strings.ReplaceAll(crash, "\n", " "))
	}
	for _, note := range r.Notes {
		writeItem("%s", note)
	}
}

func writeTriesTable(out io.Writer, r *tierlab.Result) {
	writeTableHeader(out, "Tries, and milliseconds to the first event (of plain answers: to their end)",
		"kind", "tries", "served", "refused", "failed", "p50", "p90", "p99", "most")
	events := firstEventLatencies(r.Recording.Requests)
	for _, s := range r.Classes {
		cells := []any{s.Class, s.Attempts, s.Completed, s.Refused, s.Failed}
		writeRow(out, append(cells, percentileCells(events[s.Class], time.Millisecond)...)...)
	}
}

func writeProgramsTable(out io.Writer, r *tierlab.Result) {
	writeTableHeader(out, "Programs, and seconds that they took", "outcome", "programs", "p50", "p90", "p99", "most")
	times := programDurations(r.Recording.Programs)
	for _, o := range slices.Sorted(maps.Keys(times)) {
		writeRow(out, append([]any{o, times[o].TotalCount()}, percentileCells(times[o], time.Second)...)...)
	}
}

// percentileCells returns the cells p50, p90, p99 and most in the given unit; they are empty without latencies.
func percentileCells(l latencies, unit time.Duration) []any {
	var cells []any
	for _, percentile := range []float64{50, 90, 99, 100} {
		if l.Histogram == nil {
			cells = append(cells, "")
			continue
		}
		cells = append(cells, fmt.Sprintf("%.1f", float64(l.valueAtPercentile(percentile))/float64(unit)))
	}
	return cells
}

func writeReceiversTable(out io.Writer, r *tierlab.Result) {
	writeTableHeader(out, "Receivers",
		"service", "receiver", "slots", "runs", "broke off", "slots in use", "most running and queued")
	for _, stats := range receiverStatsOf(r.Recording) {
		utilization := ""
		if stats.samples > 0 && stats.slots > 0 {
			utilization = fmt.Sprintf("%.0f %%", 100*stats.runningSum/float64(stats.samples*stats.slots))
		}
		writeRow(out, stats.service, stats.instance, stats.slots, stats.runs, stats.abortedRuns, utilization, stats.maxOutstanding)
	}
}

func writeTroublesTable(out io.Writer, r *tierlab.Result) {
	if len(r.Recording.Faults) == 0 {
		fmt.Fprint(out, "\n## Troubles\n\nNone struck.\n")
		return
	}
	writeTableHeader(out, "Troubles", "no", "from", "to", "what")
	for i, m := range r.Recording.Faults {
		writeRow(out, i+1, formatSeconds(m.From-r.Recording.From), formatSeconds(m.To-r.Recording.From), m.Fault)
	}
}

func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()) }
