package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"emberquay/internal/lab/referee"
	"emberquay/internal/lab/standin"
	"emberquay/internal/lab/world"
)

// printResult prints the result of a day: a row per product, a row per receiver, and the verdict on the rules.
func printResult(out io.Writer, day *world.Day, r *standin.Result, show int) {
	account := r.Account
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "product\ttexts\tin time\tlate\tnacked\tfailed\tlost\tunheard\tp50 ms\tp99 ms\trevenue\tof\tbest by capacity\t")
	for _, p := range account.Products {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t\n", p.Name, p.Texts, p.InTime, p.Late, p.Nacked,
			p.Failed, p.Lost, p.Unheard, p.P50, p.P99, p.Earned+p.Faded, p.Asked, r.BestRevenue[p.Name])
	}
	t.Flush()
	fmt.Fprintln(out)
	t = tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "receiver\tdest\tkind\tcalls/s borne\tcalls\tdelivered\tfull\terrors\tbroken\tgiven up\tstruck by\t")
	for _, o := range account.Receivers {
		m := day.Receivers[o.No]
		strikes := ""
		for _, s := range day.Incidents {
			for _, no := range s.Receivers {
				if no == o.No {
					strikes += fmt.Sprintf(" %s %.1f-%.1fs", s.What, s.From.Seconds(), s.To.Seconds())
				}
			}
		}
		if o.Overloads > 0 {
			strikes += " FELL OVER"
		}
		fmt.Fprintf(t, "%d\t%d\t%s\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t\n", o.No, m.Destination().No, m.Destination().Kind.Name,
			m.Capacity(0), o.Calls, o.Delivered, o.Full, o.Errored, o.Broken, o.GivenUp, strikes)
	}
	t.Flush()
	inTime, late, asked := account.Revenue()
	fmt.Fprintf(out, "\nrevenue %.1f in time and %.1f late of %.1f asked for: %.3f; by capacity alone about %.3f\n", inTime, late, asked,
		(inTime+late)/max(1e-9, asked), sumEarned(r.BestRevenue)/max(1e-9, asked))
	fmt.Fprintf(out, "%d hand-ins, %d submits (%d worked on for nothing), %d refusals, %d waits told\n", account.HandIns, account.Submits, account.Wasted, account.Refusals, account.Waits)
	fmt.Fprintf(out, "took %.1f s; CPU of the senders %.2f s, of the stand-ins %.2f s; senders' peak memory %v KB; texts at most %s late\n",
		r.Elapsed.Seconds(), r.SenderCPU.Seconds(), r.StandinCPU.Seconds(), r.PeakMemoryKB, r.MaxHandInDelay.Round(100*time.Microsecond))
	if r.MaxHandInDelay > maxTextDelay {
		fmt.Fprintf(out, "the machine was busy: texts were up to %s late, take the figures with care\n", r.MaxHandInDelay.Round(time.Millisecond))
	}
	fmt.Fprintf(out, "\n%s", r.Verdict)
	for _, c := range r.Crashes {
		fmt.Fprintf(out, "CRASHED: %s\n", c)
	}
	printBreaches(out, r.Breaches, r.OmittedBreaches, show)
}

// sumEarned returns the sum of the products' revenue.
func sumEarned(earned map[string]float64) (sum float64) {
	for _, e := range earned {
		sum += e
	}
	return sum
}

// printBreaches prints up to limit breaches; omitted is the number of breaches that the list leaves out.
func printBreaches(out io.Writer, list []referee.Breach, omitted, limit int) {
	for i, b := range list {
		if i >= limit {
			fmt.Fprintf(out, "... and %d more\n", len(list)-limit+omitted)
			break
		}
		fmt.Fprintln(out, b)
		for _, l := range b.Last {
			fmt.Fprintf(out, "    %s\n", l)
		}
	}
}

// maxTextDelay is the maximum delay of a client's text; beyond it the machine was too busy for reliable figures.
const maxTextDelay = 50 * time.Millisecond
