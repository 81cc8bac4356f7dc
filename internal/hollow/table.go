package hollow

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// column is one figure of a result.
type column struct {
	name   string
	text   string // head in the text table
	figure func(Result) float64
}

var columns = []column{
	{"nodes", "nodes", func(r Result) float64 { return float64(r.Nodes) }},
	{"controls", "controls", func(r Result) float64 { return float64(r.Controls) }},
	{"receivers", "receivers", func(r Result) float64 { return float64(r.Receivers) }},
	{"load_before", "load", func(r Result) float64 { return r.LoadBefore }},
	{"formed_s", "formed s", func(r Result) float64 { return r.FormedSeconds }},
	{"rest_kb_sent_s", "KB/s sent", func(r Result) float64 { return r.Rest.KBSent }},
	{"rest_kb_received_s", "received", func(r Result) float64 { return r.Rest.KBReceived }},
	{"rest_packets_s", "packets/s", func(r Result) float64 { return r.Rest.PacketsSent }},
	{"rest_core_percent", "core %", func(r Result) float64 { return 100 * r.Rest.CoreShare }},
	{"rest_resident_mb", "MB", func(r Result) float64 { return r.Rest.ResidentMB }},
	{"rest_heap_mb", "heap MB", func(r Result) float64 { return r.Rest.HeapMB }},
	{"rest_sockets", "sockets", func(r Result) float64 { return r.Rest.Sockets }},
	{"control_kb_sent_s", "control KB/s", func(r Result) float64 { return r.ControlRest.KBSent }},
	{"control_kb_received_s", "received", func(r Result) float64 { return r.ControlRest.KBReceived }},
	{"control_api_kb_s", "API", func(r Result) float64 { return r.ControlRest.APIKB }},
	{"control_core_percent", "core %", func(r Result) float64 { return 100 * r.ControlRest.CoreShare }},
	{"control_resident_mb", "MB", func(r Result) float64 { return r.ControlRest.ResidentMB }},
	{"heartbeats_s", "beats/s", func(r Result) float64 { return r.HeartbeatsASecond }},
	{"heartbeats_failed", "failed", func(r Result) float64 { return float64(r.HeartbeatsFailed) }},
}

// latencyColumns are those of one kind of change.
func latencyColumns(name string, of func(Result) Latency) []column {
	return []column{
		{name + "_ack_p50_ms", name + " ack p50", func(r Result) float64 { return of(r).Acknowledged.P50 }},
		{name + "_ack_most_ms", "most", func(r Result) float64 { return of(r).Acknowledged.Most }},
		{name + "_p50_ms", "known p50", func(r Result) float64 { return of(r).ByNode.P50 }},
		{name + "_p99_ms", "p99", func(r Result) float64 { return of(r).ByNode.P99 }},
		{name + "_most_ms", "most", func(r Result) float64 { return of(r).ByNode.Most }},
		{name + "_missing", "missing", func(r Result) float64 { return float64(of(r).Missing) }},
	}
}

var changeColumns = append(
	latencyColumns("configuration", func(r Result) Latency { return r.Configuration }),
	latencyColumns("drain", func(r Result) Latency { return r.Drain })...)

var restartColumns = append(append([]column{
	{"restarting", "restarting", func(r Result) float64 { return float64(r.Restarting) }},
	{"restarts", "restarts", func(r Result) float64 { return float64(r.Restarts) }},
	{"restart_kb_sent_s", "KB/s sent", func(r Result) float64 { return r.RestartUsage.KBSent }},
	{"restart_core_percent", "core %", func(r Result) float64 { return 100 * r.RestartUsage.CoreShare }},
},
	latencyColumns("restart_configuration", func(r Result) Latency { return r.ConfigurationInRestarts })...),
	latencyColumns("restart_drain", func(r Result) Latency { return r.DrainInRestarts })...)

// WriteText prints tables for a terminal.
func WriteText(out io.Writer, results []Result) error {
	nodes := columns[:1]
	for _, table := range []struct {
		title   string
		columns []column
	}{
		{"At rest: a proxy, then a control plane", columns},
		{"Changes in a calm fleet: milliseconds since the order, over all pairs of a change and a node", append(nodes[:1:1], changeColumns...)},
		{"The same while nodes restart", append(nodes[:1:1], restartColumns...)},
	} {
		fmt.Fprintf(out, "%s\n", table.title)
		if err := writeTable(out, table.columns, results); err != nil {
			return err
		}
		fmt.Fprintln(out)
	}
	return writeReports(out, results)
}

func writeTable(out io.Writer, columns []column, results []Result) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, c := range columns {
		fmt.Fprintf(t, "%s\t", c.text)
	}
	fmt.Fprintln(t)
	for _, r := range results {
		for _, c := range columns {
			fmt.Fprintf(t, "%s\t", strconv.FormatFloat(c.figure(r), 'f', digits(c.figure(r)), 64))
		}
		fmt.Fprintln(t)
	}
	return eris.Wrap(t.Flush(), "table")
}

// digits are those after the point that a figure needs.
func digits(figure float64) int {
	switch {
	case figure == float64(int64(figure)):
		return 0
	case figure < 10:
		return 2
	}
	return 1
}

func writeReports(out io.Writer, results []Result) error {
	fmt.Fprintln(out, "Shared reports: a proxy, by how many all of them share a second")
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "nodes\treports/s\tthat came/s\tKB/s sent\treceived\tpackets/s\tcore %\t")
	for _, r := range results {
		for _, reports := range r.Reports {
			u := reports.Usage
			fmt.Fprintf(t, "%d\t%.0f\t%.1f\t%.2f\t%.2f\t%.1f\t%.2f\t\n", r.Nodes, reports.ASecond, u.ReportsASecond, u.KBSent, u.KBReceived,
				u.PacketsSent, 100*u.CoreShare)
		}
	}
	return eris.Wrap(t.Flush(), "table")
}

// WriteCSV writes a line for each fleet; the reports are in the JSON only.
func WriteCSV(out io.Writer, results []Result) error {
	all := append(append(columns[:len(columns):len(columns)], changeColumns...), restartColumns...)
	w := csv.NewWriter(out)
	names := make([]string, 0, len(all))
	for _, c := range all {
		names = append(names, c.name)
	}
	_ = w.Write(names)
	for _, r := range results {
		figures := make([]string, 0, len(all))
		for _, c := range all {
			figures = append(figures, strconv.FormatFloat(c.figure(r), 'f', -1, 64))
		}
		_ = w.Write(figures)
	}
	w.Flush()
	return eris.Wrap(w.Error(), "CSV")
}

// WriteJSON writes all that was measured.
func WriteJSON(out io.Writer, results []Result) error {
	e := json.NewEncoder(out)
	e.SetIndent("", " ")
	return eris.Wrap(e.Encode(results), "JSON")
}

// ReadJSON reads what WriteJSON wrote.
func ReadJSON(in io.Reader) (results []Result, err error) {
	err = json.NewDecoder(in).Decode(&results)
	return results, eris.Wrap(err, "JSON")
}
