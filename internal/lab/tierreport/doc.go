// Package tierreport writes what a day of the tier on loopback came to: tables in Markdown and charts in SVG.
//
//	err := tierreport.Write("report", "a rough day", result) // report.md, day.svg, distribution.svg
//
// It only reads the result. Latencies are counted by HdrHistogram from a microsecond to ten minutes, to three
// digits; what is slower counts as ten minutes. Instants in tables and charts are seconds since traffic
// began.
package tierreport
