package burn

import (
	"bytes"
	"image/color"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	lineWidth  = vg.Length(1.2)
	// legendHeadroom is the factor by which the Y axis exceeds the highest value, so that the legend
	// fits above the lines.
	legendHeadroom = 1.5
)

// drawObjective returns a plot of the burn rate of one objective as an SVG element. The plot has a
// line for each customer, and one for the threshold of the fast alert.
func (r Report) drawObjective(o Objective) ([]byte, error) {
	p := plot.New()
	p.X.Label.Text = "time"
	p.X.Tick.Marker = plot.TickerFunc(hourTicks)
	p.Y.Label.Text = "burn over 5 minutes"
	p.Y.Min = 0
	p.X.Min = float64(r.Time.Add(-slowLongWindow).Unix())
	p.X.Max = float64(r.Time.Unix())
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	for i, c := range r.Customers {
		line, err := newLine(c.objective(o).Series)
		if err != nil {
			return nil, err
		}
		if line == nil {
			continue
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(string(c.Customer), line)
	}
	threshold := plotter.NewFunction(func(float64) float64 { return fastBurnThreshold })
	threshold.Color = color.Gray{}
	threshold.Width = lineWidth
	p.Add(threshold)
	p.Legend.Add("fast alert", threshold)
	p.Y.Max = max(p.Y.Max, fastBurnThreshold) * legendHeadroom
	return renderSVG(p)
}

// hourTicks returns a tick for each full hour, in UTC. Both limits are in seconds since the Unix epoch.
func hourTicks(from, to float64) []plot.Tick {
	var ticks []plot.Tick
	at := time.Unix(int64(from), 0).UTC().Truncate(time.Hour)
	for ; float64(at.Unix()) <= to; at = at.Add(time.Hour) {
		if float64(at.Unix()) >= from {
			ticks = append(ticks, plot.Tick{Value: float64(at.Unix()), Label: at.Format("15:04")})
		}
	}
	return ticks
}

// newLine returns the line of a series, or nil if the series is empty.
func newLine(series []Point) (*plotter.Line, error) {
	if len(series) == 0 {
		return nil, nil
	}
	points := make(plotter.XYs, 0, len(series))
	for _, s := range series {
		at := time.Unix(0, 0).Add(time.Duration(s.Minute) * bucketDuration)
		points = append(points, plotter.XY{X: float64(at.Unix()), Y: s.Burn})
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return nil, errors.Wrap(err, "plot series")
	}
	line.Width = lineWidth
	return line, nil
}

// renderSVG draws a plot and returns its svg element, without the XML declaration and comments
// before it.
func renderSVG(p *plot.Plot) ([]byte, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return nil, errors.Wrap(err, "render plot as SVG")
	}
	start := bytes.Index(out.Bytes(), []byte("<svg"))
	if start < 0 {
		return nil, errors.New("rendered plot has no svg element")
	}
	return out.Bytes()[start:], nil
}
