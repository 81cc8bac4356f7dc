package tierreport

import (
	"fmt"
	"image/color"
	"io"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"emberquay/internal/lab/referee/tierrules"
	"emberquay/internal/lab/tierlab"
	"emberquay/internal/lab/tierworld"
)

// Sizes of the charts.
const (
	chartWidth         = 30 * vg.Centimeter
	panelHeight        = 7 * vg.Centimeter
	distributionHeight = 18 * vg.Centimeter
	panelSpace         = 4 * vg.Millimeter
)

var (
	faultMarkColor = color.NRGBA{R: 200, G: 60, B: 60, A: 160}
	faultSpanColor = color.NRGBA{R: 200, G: 60, B: 60, A: 28}
)

// series holds one line of a panel.
type series struct {
	name   string
	points []point
	step   bool // each value holds until the next point
}

// panel describes a chart over time.
type panel struct {
	title, unit string
	lines       []series
}

// WriteDay draws the day over time as SVG: outcomes of tries, latencies and the load of the receivers, with a
// mark at the start of each trouble. The marks are numbered as in the table of troubles.
func WriteDay(out io.Writer, title string, r *tierlab.Result) error {
	var plots [][]*plot.Plot
	for _, p := range dayPanels(title, r.Recording) {
		chart, err := p.draw(r.Recording)
		if err != nil {
			return eris.Wrap(err, p.title)
		}
		plots = append(plots, []*plot.Plot{chart})
	}
	return writeSVG(out, plots, vg.Length(len(plots))*panelHeight)
}

// dayPanels returns the panels of a day. A service without recorded load gets no load panel.
func dayPanels(title string, rec *tierlab.Recording) []panel {
	panels := []panel{
		{title + ": tries, by when they were sent", "a second", triesOverTime(rec)},
		{"To the first event, half and slowest of each second", "ms", latencyOverTime(rec)},
	}
	load := loadsByService(rec)
	for _, service := range []string{tierworld.Alfa, tierworld.Beta, tierworld.Model} {
		if l := load[service]; l != nil {
			panels = append(panels, panel{"Receivers of " + service + " together", "requests", []series{
				{"running and queued", l.outstanding, true},
				{"running", l.running, true},
				{"slots", l.slots, true},
			}})
		}
	}
	return panels
}

// triesOverTime counts the tries sent in each second, by outcome.
func triesOverTime(rec *tierlab.Recording) []series {
	var lines []series
	for _, kind := range []struct {
		name string
		of   outcome
	}{{"served", served}, {"refused", refused}, {"failed", failed}} {
		count := func(in []*tierrules.Request) float64 {
			n := 0
			for _, r := range in {
				if outcomeOf(r) == kind.of {
					n++
				}
			}
			return float64(n)
		}
		lines = append(lines, series{name: kind.name, points: valuesPerSecond(rec, rec.Requests, sentAt, count)})
	}
	return lines
}

// latencyOverTime returns the median and the maximum latency of streams to their first event, by class.
func latencyOverTime(rec *tierlab.Recording) []series {
	var lines []series
	for _, class := range []string{"turn", "text"} {
		for _, figure := range []struct {
			name    string
			percent float64
		}{{"p50", 50}, {"most", 100}} {
			latency := func(in []*tierrules.Request) float64 {
				l := firstEventLatencies(in)[class]
				if l.Histogram == nil {
					return math.NaN()
				}
				return l.valueAtPercentile(figure.percent).Seconds() * 1000
			}
			points := valuesPerSecond(rec, rec.Requests, sentAt, latency)
			lines = append(lines, series{name: class + " " + figure.name, points: points})
		}
	}
	return lines
}

// draw plots the panel with the marks of the troubles.
func (p panel) draw(rec *tierlab.Recording) (*plot.Plot, error) {
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = p.title, "s", p.unit
	chart.Legend.Top = true
	chart.Add(plotter.NewGrid())
	maxValue := 1.0
	for i, l := range p.lines {
		line, err := newLine(l, i)
		if err != nil {
			return nil, err
		}
		chart.Add(line)
		chart.Legend.Add(l.name, line)
		for _, point := range l.points {
			maxValue = max(maxValue, point.value)
		}
	}
	if err := addMarks(chart, rec, 1.12*maxValue); err != nil {
		return nil, err
	}
	chart.X.Min, chart.X.Max = 0, (rec.To - rec.From).Seconds()
	chart.Y.Min, chart.Y.Max = 0, 1.25*maxValue // leaves room for the mark numbers above the lines
	return chart, nil
}

func newLine(l series, colorIndex int) (*plotter.Line, error) {
	points := make(plotter.XYs, 0, len(l.points))
	for _, p := range l.points {
		points = append(points, plotter.XY{X: p.atSeconds, Y: p.value})
	}
	if len(points) == 0 { // plotter.NewLine fails without points
		points = plotter.XYs{{}}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return nil, err
	}
	line.Color = plotutil.Color(colorIndex)
	if l.step {
		line.StepStyle = plotter.PostStep
	}
	return line, nil
}

// addMarks draws a numbered vertical line at the start of each trouble and shades its duration.
func addMarks(chart *plot.Plot, rec *tierlab.Recording, top float64) error {
	var numbers plotter.XYLabels
	for i, m := range rec.Faults {
		from, to := (m.From - rec.From).Seconds(), (m.To - rec.From).Seconds()
		corners := plotter.XYs{{X: from, Y: 0}, {X: from, Y: top}, {X: to, Y: top}, {X: to, Y: 0}}
		shade, err := plotter.NewPolygon(corners)
		if err != nil {
			return err
		}
		shade.Color, shade.LineStyle.Width = faultSpanColor, 0
		line, err := plotter.NewLine(plotter.XYs{{X: from, Y: 0}, {X: from, Y: top}})
		if err != nil {
			return err
		}
		line.Color = faultMarkColor
		chart.Add(shade, line)
		numbers.XYs = append(numbers.XYs, plotter.XY{X: from, Y: top})
		numbers.Labels = append(numbers.Labels, fmt.Sprint(i+1))
	}
	if len(numbers.XYs) == 0 {
		return nil
	}
	labels, err := plotter.NewLabels(numbers)
	if err != nil {
		return err
	}
	chart.Add(labels)
	return nil
}

func sentAt(r *tierrules.Request) time.Duration { return r.Sent }

// percentiles lists the percentiles at which distributions are drawn.
var percentiles = []float64{0, 10, 25, 50, 75, 90, 95, 99, 99.9, 100}

// WriteDistribution draws the distributions of latencies and of program durations as SVG.
func WriteDistribution(out io.Writer, title string, r *tierlab.Result) error {
	first := newDistributionChart(title+": to the first event (of plain answers: to their end)", "ms")
	events := firstEventLatencies(r.Recording.Requests)
	for i, class := range slices.Sorted(maps.Keys(events)) {
		if err := addDistribution(first, class, i, events[class], 1000); err != nil {
			return eris.Wrap(err, class)
		}
	}
	second := newDistributionChart("Programs, by how they ended", "s")
	times := programDurations(r.Recording.Programs)
	for i, o := range slices.Sorted(maps.Keys(times)) {
		if err := addDistribution(second, string(o), i, times[o], 1); err != nil {
			return eris.Wrap(err, string(o))
		}
	}
	return writeSVG(out, [][]*plot.Plot{{first}, {second}}, distributionHeight)
}

// newDistributionChart returns an empty chart of durations by percentile.
func newDistributionChart(title, unit string) *plot.Plot {
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = title, "% of them take no longer", unit
	chart.Legend.Top, chart.Legend.Left = true, true
	ticks := make([]plot.Tick, 0, len(percentiles))
	for i, percent := range percentiles {
		ticks = append(ticks, plot.Tick{Value: float64(i), Label: fmt.Sprint(percent)})
	}
	chart.X.Tick.Marker = plot.ConstantTicks(ticks)
	chart.X.Min, chart.X.Max = 0, float64(len(percentiles)-1)
	chart.Y.Min, chart.Y.Max = 0, 1
	chart.Add(plotter.NewGrid())
	return chart
}

// addDistribution adds the line of one histogram. unitsPerSecond converts seconds to the unit of the chart.
func addDistribution(chart *plot.Plot, name string, colorIndex int, l latencies, unitsPerSecond float64) error {
	points := make(plotter.XYs, 0, len(percentiles))
	for i, percent := range percentiles {
		points = append(points, plotter.XY{X: float64(i), Y: l.valueAtPercentile(percent).Seconds() * unitsPerSecond})
	}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	line.Color, dots.Color = plotutil.Color(colorIndex), plotutil.Color(colorIndex)
	chart.Add(line, dots)
	chart.Legend.Add(fmt.Sprintf("%s (%d)", name, l.TotalCount()), line, dots)
	chart.Y.Min = 0
	return nil
}

// writeSVG draws the charts below each other into one SVG.
func writeSVG(out io.Writer, plots [][]*plot.Plot, height vg.Length) error {
	canvas := vgsvg.New(chartWidth, height)
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadX: panelSpace, PadY: panelSpace, PadTop: panelSpace,
		PadBottom: panelSpace, PadLeft: panelSpace, PadRight: panelSpace}
	for row, canvases := range plot.Align(plots, tiles, draw.New(canvas)) {
		for column, tile := range canvases {
			plots[row][column].Draw(tile)
		}
	}
	_, err := canvas.WriteTo(out)
	return eris.Wrap(err, "chart")
}
