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

// report prints what a day came to: a row a product, a row a receiver, the rules.
func report(out io.Writer, day *world.Day, r *standin.Result, show int) {
	a := r.Account
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "product\ttexts\tin time\tlate\tnacked\tfailed\tlost\tunheard\tp50 ms\tp99 ms\trevenue\tof\tbest by capacity\t")
	for _, p := range a.Products {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t\n", p.Name, p.Texts, p.InTime, p.Late, p.Nacked,
			p.Failed, p.Lost, p.Unheard, p.P50, p.P99, p.Earned+p.Faded, p.Asked, r.BestRevenue[p.Name])
	}
	t.Flush()
	fmt.Fprintln(out)
	t = tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "receiver\tdest\tkind\tcalls/s borne\tcalls\tdelivered\tfull\terrors\tbroken\tgiven up\tstruck by\t")
	for _, o := range a.Receivers {
		m := day.Receivers[o.No]
		struck := ""
		for _, s := range day.Incidents {
			for _, no := range s.Receivers {
				if no == o.No {
					struck += fmt.Sprintf(" %s %.1f-%.1fs", s.What, s.From.Seconds(), s.To.Seconds())
				}
			}
		}
		if o.Overloads > 0 {
			struck += " FELL OVER"
		}
		fmt.Fprintf(t, "%d\t%d\t%s\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t\n", o.No, m.Destination().No, m.Destination().Kind.Name,
			m.Capacity(0), o.Calls, o.Delivered, o.Full, o.Errored, o.Broken, o.GivenUp, struck)
	}
	t.Flush()
	inTime, late, asked := a.Revenue()
	fmt.Fprintf(out, "\nrevenue %.1f in time and %.1f late of %.1f asked for: %.3f; by capacity alone about %.3f\n", inTime, late, asked,
		(inTime+late)/max(1e-9, asked), total(r.BestRevenue)/max(1e-9, asked))
	fmt.Fprintf(out, "%d hand-ins, %d submits (%d worked on for nothing), %d refusals, %d waits told\n", a.HandIns, a.Submits, a.Wasted, a.Refusals, a.Waits)
	fmt.Fprintf(out, "took %.1f s; CPU of the senders %.2f s, of the stand-ins %.2f s; senders' peak memory %v KB; texts at most %s late\n",
		r.Elapsed.Seconds(), r.SenderCPU.Seconds(), r.StandinCPU.Seconds(), r.PeakMemoryKB, r.MaxHandInDelay.Round(100*time.Microsecond))
	if r.MaxHandInDelay > lateAtMost {
		fmt.Fprintf(out, "the machine was busy: texts were up to %s late, take the figures with care\n", r.MaxHandInDelay.Round(time.Millisecond))
	}
	fmt.Fprintf(out, "\n%s", r.Verdict)
	for _, c := range r.Crashes {
		fmt.Fprintf(out, "CRASHED: %s\n", c)
	}
	breaches(out, r.Breaches, r.OmittedBreaches, show)
}

// total adds up what products earned.
func total(earned map[string]float64) (sum float64) {
	for _, e := range earned {
		sum += e
	}
	return sum
}

// breaches prints so many of the broken rules; more: beyond those kept.
func breaches(out io.Writer, broken []referee.Breach, more, show int) {
	for i, b := range broken {
		if i >= show {
			fmt.Fprintf(out, "... and %d more\n", len(broken)-show+more)
			break
		}
		fmt.Fprintln(out, b)
		for _, l := range b.Last {
			fmt.Fprintf(out, "    %s\n", l)
		}
	}
}

// lateAtMost is how late the clients may be before a day's figures are doubtful.
const lateAtMost = 50 * time.Millisecond
