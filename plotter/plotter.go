// Package plotter draws the burn rates of the last six hours as SVG.
package plotter

import (
	"bytes"
	"fmt"
	"image/color"
	"math"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"medlargw.example/medlargw"
)

// Size of the plot.
const (
	width  = 9 * vg.Inch
	height = 3.5 * vg.Inch
)

// minYMax is the burn rate up to which the y axis extends even if all rates are
// lower.
const minYMax = 2.0

// legendHeadroom is the factor by which the y axis exceeds the highest burn
// rate, so that the legend does not cover the lines.
const legendHeadroom = 1.4

// Plotter draws plots. It has no state.
type Plotter struct{}

// SVG returns the plot. It has one line per class with an objective, and one
// line at the rate that uses up the error budget exactly. Steps without jobs
// have no point.
func (Plotter) SVG(r *medlargw.BurnReport) ([]byte, error) {
	p, err := newPlot(r)
	if err != nil {
		return nil, err
	}
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return nil, fmt.Errorf("plot: %w", err)
	}
	return b.Bytes(), nil
}

// newPlot returns the plot of a report.
func newPlot(r *medlargw.BurnReport) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Burn rate by class"
	p.Y.Label.Text = "times the allowed rate"
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04", Ticker: hourTicker{}, Time: plot.UTCUnixTime}
	p.X.Label.Text = "UTC"
	end := float64(r.TakenAt.Unix())
	p.X.Min = end - medlargw.BurnSixHours.Length().Seconds()
	p.X.Max = end
	p.Y.Min = 0
	p.Y.Max = minYMax
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	if err := addClasses(p, r); err != nil {
		return nil, err
	}
	allowed, err := plotter.NewLine(plotter.XYs{{X: p.X.Min, Y: 1}, {X: p.X.Max, Y: 1}})
	if err != nil {
		return nil, fmt.Errorf("plot: %w", err)
	}
	allowed.Color = color.Gray{Y: 96}
	allowed.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(allowed)
	p.Legend.Add("allowed", allowed)
	return p, nil
}

// addClasses adds the lines of the classes, and raises the maximum of the y
// axis where needed.
func addClasses(p *plot.Plot, r *medlargw.BurnReport) error {
	n := 0
	for i := range r.Rows {
		l := &r.Rows[i]
		xys := classPoints(r, l)
		if l.Team != "" || !l.HasObjective() || len(xys) == 0 {
			continue
		}
		line, dots, err := plotter.NewLinePoints(xys)
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		line.Color = plotutil.Color(n)
		line.Width = vg.Points(1.5)
		dots.Color = plotutil.Color(n)
		dots.Shape = plotutil.Shape(n) // Distinguishes the lines without relying on colour.
		dots.Radius = vg.Points(2)
		p.Add(line, dots)
		p.Legend.Add(string(l.Class), line, dots)
		for _, xy := range xys {
			p.Y.Max = max(p.Y.Max, math.Ceil(xy.Y*legendHeadroom))
		}
		n++
	}
	return nil
}

// classPoints returns the burn rate of each step, at the middle of the step.
func classPoints(r *medlargw.BurnReport, l *medlargw.BurnRow) plotter.XYs {
	var xys plotter.XYs
	for _, point := range r.Points {
		if point.Class == l.Class {
			x := min(point.Start.Add(r.Step/2).Unix(), r.TakenAt.Unix())
			xys = append(xys, plotter.XY{X: float64(x), Y: point.Counts.BurnRate(l.Objective.SuccessRatio)})
		}
	}
	return xys
}

// hourTicker is a plot.Ticker with a tick at each full hour.
type hourTicker struct{}

var _ plot.Ticker = hourTicker{}

// Ticks returns the ticks between two times in seconds since the epoch.
func (hourTicker) Ticks(low, high float64) []plot.Tick {
	var ticks []plot.Tick
	hour := time.Hour.Seconds()
	for x := math.Ceil(low/hour) * hour; x <= high; x += hour {
		ticks = append(ticks, plot.Tick{Value: x, Label: "."}) // plot.TimeTicks replaces the label by the time.
	}
	return ticks
}
