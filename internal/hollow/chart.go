package hollow

import (
	"io"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The size of the chart.
const (
	chartWidth  = 28 * vg.Centimeter
	chartHeight = 20 * vg.Centimeter
)

// line is a figure over the number of nodes.
type line struct {
	name   string
	figure func(Result) float64
}

// panel is one part of the chart.
type panel struct {
	title, unit string
	lines       []line
}

var panels = [2][2]panel{
	{
		{"Traffic of a node at rest", "KB/s sent, payload", []line{
			{"proxy", func(r Result) float64 { return r.Rest.KBSent }},
			{"control plane", func(r Result) float64 { return r.ControlRest.KBSent }},
			{"proxy, 3% restarting", func(r Result) float64 { return r.RestartUsage.KBSent }},
		}},
		{"Processor of a node", "% of a core", []line{
			{"proxy", func(r Result) float64 { return 100 * r.Rest.CoreShare }},
			{"control plane", func(r Result) float64 { return 100 * r.ControlRest.CoreShare }},
			{"proxy, 3% restarting", func(r Result) float64 { return 100 * r.RestartUsage.CoreShare }},
		}},
	},
	{
		{"A configuration is known", "ms since the order", []line{
			{"p50", func(r Result) float64 { return r.Configuration.ByNode.P50 }},
			{"p99", func(r Result) float64 { return r.Configuration.ByNode.P99 }},
			{"most", func(r Result) float64 { return r.Configuration.ByNode.Most }},
			{"most, 3% restarting", func(r Result) float64 { return r.ConfigurationInRestarts.ByNode.Most }},
		}},
		{"A drain is known", "ms since the receiver's word", []line{
			{"p50", func(r Result) float64 { return r.Drain.ByNode.P50 }},
			{"p99", func(r Result) float64 { return r.Drain.ByNode.P99 }},
			{"most", func(r Result) float64 { return r.Drain.ByNode.Most }},
			{"most, 3% restarting", func(r Result) float64 { return r.DrainInRestarts.ByNode.Most }},
		}},
	},
}

// WriteChart draws the results as an SVG.
func WriteChart(out io.Writer, results []Result) error {
	plots := make([][]*plot.Plot, len(panels))
	for row := range panels {
		for _, p := range panels[row] {
			drawn, err := p.draw(results)
			if err != nil {
				return eris.Wrap(err, p.title)
			}
			plots[row] = append(plots[row], drawn)
		}
	}
	canvas := vgsvg.New(chartWidth, chartHeight)
	space := 4 * vg.Millimeter
	tiles := draw.Tiles{Rows: len(panels), Cols: len(panels[0]), PadX: space, PadY: space, PadTop: space, PadBottom: space, PadLeft: space, PadRight: space}
	for row, canvases := range plot.Align(plots, tiles, draw.New(canvas)) {
		for column, tile := range canvases {
			plots[row][column].Draw(tile)
		}
	}
	_, err := canvas.WriteTo(out)
	return eris.Wrap(err, "chart")
}

func (p panel) draw(results []Result) (*plot.Plot, error) {
	drawn := plot.New()
	drawn.Title.Text = p.title
	drawn.X.Label.Text, drawn.Y.Label.Text = "nodes", p.unit
	drawn.X.Min, drawn.Y.Min = 0, 0
	drawn.Legend.Top, drawn.Legend.Left = true, true
	drawn.Add(plotter.NewGrid())
	var lines []any
	for _, l := range p.lines {
		points := make(plotter.XYs, 0, len(results))
		for _, r := range results {
			points = append(points, plotter.XY{X: float64(r.Nodes), Y: l.figure(r)})
		}
		lines = append(lines, l.name, points)
	}
	err := plotutil.AddLinePoints(drawn, lines...)
	drawn.Y.Min = 0
	return drawn, err
}
