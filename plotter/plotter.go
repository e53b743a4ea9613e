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

// The size of the plot.
const (
	width  = 9 * vg.Inch
	height = 3.5 * vg.Inch
)

// leastRate is the top of the scale when nothing burns faster.
const leastRate = 2.0

// legendRoom is the factor by which the scale exceeds the highest rate, so that
// the legend lies above the lines.
const legendRoom = 1.4

// Plotter draws. It has no state.
type Plotter struct{}

// SVG returns the plot: one line per class with an objective, and one at the
// rate that uses the budget up exactly. Steps without jobs are left out.
func (Plotter) SVG(r *medlargw.BurnReport) ([]byte, error) {
	p, err := layOut(r)
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

func layOut(r *medlargw.BurnReport) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Burn rate by class"
	p.Y.Label.Text = "times the allowed rate"
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04", Ticker: hours{}, Time: plot.UTCUnixTime}
	p.X.Label.Text = "UTC"
	end := float64(r.Taken.Unix())
	p.X.Min = end - medlargw.BurnSixHours.Length().Seconds()
	p.X.Max = end
	p.Y.Min = 0
	p.Y.Max = leastRate
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

func addClasses(p *plot.Plot, r *medlargw.BurnReport) error {
	n := 0
	for i := range r.Lines {
		l := &r.Lines[i]
		xys := classPoints(r, l)
		if l.Team != "" || !l.Bound() || len(xys) == 0 {
			continue
		}
		line, dots, err := plotter.NewLinePoints(xys)
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		line.Color = plotutil.Color(n)
		line.Width = vg.Points(1.5)
		dots.Color = plotutil.Color(n)
		dots.Shape = plotutil.Shape(n) // Tells lines apart without their colour.
		dots.Radius = vg.Points(2)
		p.Add(line, dots)
		p.Legend.Add(string(l.Class), line, dots)
		for _, xy := range xys {
			p.Y.Max = max(p.Y.Max, math.Ceil(xy.Y*legendRoom))
		}
		n++
	}
	return nil
}

// classPoints returns the burn rate of each step, at the middle of the step.
func classPoints(r *medlargw.BurnReport, l *medlargw.BurnLine) plotter.XYs {
	var xys plotter.XYs
	for _, point := range r.Points {
		if point.Class == l.Class {
			x := min(point.Start.Add(r.Step/2).Unix(), r.Taken.Unix())
			xys = append(xys, plotter.XY{X: float64(x), Y: point.Counts.Burn(l.Objective.Answered)})
		}
	}
	return xys
}

// hours puts a tick at each full hour.
type hours struct{}

var _ plot.Ticker = hours{}

// Ticks returns the ticks between two times in seconds since the epoch.
func (hours) Ticks(low, high float64) []plot.Tick {
	var ticks []plot.Tick
	hour := time.Hour.Seconds()
	for x := math.Ceil(low/hour) * hour; x <= high; x += hour {
		ticks = append(ticks, plot.Tick{Value: x, Label: "."}) // The label is replaced by the time.
	}
	return ticks
}
