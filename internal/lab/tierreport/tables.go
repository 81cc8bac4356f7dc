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

// mostBreaches bounds the breaches that are told one by one.
const mostBreaches = 50

// WriteTables writes the tables as Markdown.
func WriteTables(out io.Writer, title string, r *tierlab.Result) error {
	var text bytes.Buffer
	fmt.Fprintf(&text, "# %s\n\n", title)
	fmt.Fprintf(&text, "Instants are seconds since traffic began, which went on for %.1f s.",
		(r.Recording.To - r.Recording.From).Seconds())
	fmt.Fprintf(&text, " The whole took %.1f s.\n\n", r.Took.Seconds())
	fmt.Fprintf(&text, "![The day over time](%s)\n\n![Latencies](%s)\n", DayFile, DistributionFile)
	rulesTable(&text, r)
	servedTable(&text, r)
	programsTable(&text, r)
	receiversTable(&text, r)
	troublesTable(&text, r)
	_, err := out.Write(text.Bytes())
	return err
}

// row writes a line of a table.
func row(out io.Writer, cells ...any) {
	for _, cell := range cells {
		fmt.Fprintf(out, "| %v ", cell)
	}
	fmt.Fprintln(out, "|")
}

// head begins a table.
func head(out io.Writer, title string, names ...string) {
	fmt.Fprintf(out, "\n## %s\n\n", title)
	cells := make([]any, 0, len(names))
	for _, name := range names {
		cells = append(cells, name)
	}
	row(out, cells...)
	fmt.Fprintln(out, strings.Repeat("| --- ", len(names))+"|")
}

func rulesTable(out io.Writer, r *tierlab.Result) {
	head(out, "Rules", "rule", "verdict", "looked at")
	for _, rule := range tierrules.Rules {
		verdict := "kept"
		if n := r.Verdict.BreachCount(rule); n > 0 {
			verdict = fmt.Sprintf("**broken %d times**", n)
		}
		row(out, rule, verdict, r.Verdict.Checked[rule])
	}
	said := false
	item := func(format string, args ...any) {
		if !said {
			fmt.Fprintln(out)
		}
		said = true
		fmt.Fprintf(out, "- "+format+"\n", args...)
	}
	for i, breach := range r.Verdict.Breaches {
		if i == mostBreaches {
			item("and %d more", len(r.Verdict.Breaches)-mostBreaches)
			break
		}
		item("%s", breach)
	}
	for _, crash := range r.Crashes {
		item("CRASH: %s", strings.ReplaceAll(crash, "\n", " "))
	}
	for _, note := range r.Notes {
		item("%s", note)
	}
}

func servedTable(out io.Writer, r *tierlab.Result) {
	head(out, "Tries, and milliseconds to the first event (of plain answers: to their end)",
		"kind", "tries", "served", "refused", "failed", "p50", "p90", "p99", "most")
	events := firstEvents(r.Recording.Requests)
	for _, s := range r.Served {
		cells := []any{s.Class, s.Tries, s.Whole, s.Refused, s.Failed}
		row(out, append(cells, quantiles(events[s.Class], time.Millisecond)...)...)
	}
}

func programsTable(out io.Writer, r *tierlab.Result) {
	head(out, "Programs, and seconds that they took", "outcome", "programs", "p50", "p90", "p99", "most")
	times := programTimes(r.Recording.Programs)
	for _, o := range slices.Sorted(maps.Keys(times)) {
		row(out, append([]any{o, times[o].TotalCount()}, quantiles(times[o], time.Second)...)...)
	}
}

// quantiles are the cells p50, p90, p99 and most, in a unit.
func quantiles(l latencies, unit time.Duration) []any {
	var cells []any
	for _, percent := range []float64{50, 90, 99, 100} {
		if l.Histogram == nil {
			cells = append(cells, "")
			continue
		}
		cells = append(cells, fmt.Sprintf("%.1f", float64(l.at(percent))/float64(unit)))
	}
	return cells
}

func receiversTable(out io.Writer, r *tierlab.Result) {
	head(out, "Receivers",
		"service", "receiver", "slots", "runs", "broke off", "slots in use", "most running and queued")
	for _, f := range receivers(r.Recording) {
		use := ""
		if f.looks > 0 && f.slots > 0 {
			use = fmt.Sprintf("%.0f %%", 100*f.busy/float64(f.looks*f.slots))
		}
		row(out, f.service, f.instance, f.slots, f.runs, f.brokeOff, use, f.most)
	}
}

func troublesTable(out io.Writer, r *tierlab.Result) {
	if len(r.Recording.Marks) == 0 {
		fmt.Fprint(out, "\n## Troubles\n\nNone struck.\n")
		return
	}
	head(out, "Troubles", "no", "from", "to", "what")
	for i, m := range r.Recording.Marks {
		row(out, i+1, seconds(m.From-r.Recording.From), seconds(m.To-r.Recording.From), m.Strike)
	}
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()) }
