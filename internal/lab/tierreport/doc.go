// Package tierreport writes the results of a day of the tier on loopback: tables in Markdown and charts in SVG.
//
//	err := tierreport.Write("report", "a rough day", result) // report.md, day.svg, distribution.svg
//
// It does not modify the result. HdrHistogram counts latencies from a microsecond to ten minutes with three
// significant digits; longer latencies count as ten minutes. Times in tables and charts are seconds since the
// start of traffic.
package tierreport
