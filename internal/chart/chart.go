// Package chart draws the charts that reports hold.
package chart

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Series is one line of a chart.
type Series struct {
	Name string
	X, Y []float64
}

// Band shades a part of the x axis.
type Band struct {
	Name     string
	From, To float64
}

// Chart is lines over a common axis.
type Chart struct {
	Title, X, Y string
	LogX, LogY  bool
	Least, Most float64 // of the y axis, where Most is above Least
	Bands       []Band
	Lines       []Series
	Points      bool // marks each value
}

// colours can be told apart by most people (Okabe and Ito).
var colours = []color.RGBA{{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255}, {86, 180, 233, 255},
	{230, 159, 0, 255}, {80, 80, 80, 255}}

// Save writes the chart to a file; its ending, such as .svg or .png, says how.
func (c Chart) Save(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, c.X, c.Y
	p.Title.Padding = vg.Points(6)
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	if c.LogX {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	if c.LogY {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	least, most := c.Least, c.Most
	if most <= least {
		for _, s := range c.Lines {
			for i, y := range s.Y {
				if i == 0 && most <= least {
					least, most = y, y
				}
				least, most = min(least, y), max(most, y)
			}
		}
	}
	for _, b := range c.Bands {
		box, err := plotter.NewPolygon(plotter.XYs{{X: b.From, Y: least}, {X: b.To, Y: least}, {X: b.To, Y: most}, {X: b.From, Y: most}})
		if err != nil {
			return fmt.Errorf("chart %s: %w", c.Title, err)
		}
		box.Color, box.LineStyle.Width = color.RGBA{225, 225, 225, 255}, 0
		p.Add(box)
		if b.Name != "" {
			p.Legend.Add(b.Name, box)
		}
	}
	for i, s := range c.Lines {
		points := make(plotter.XYs, len(s.X))
		for j := range s.X {
			points[j] = plotter.XY{X: s.X[j], Y: s.Y[j]}
		}
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return fmt.Errorf("chart %s, %s: %w", c.Title, s.Name, err)
		}
		line.Color, line.Width = colours[i%len(colours)], vg.Points(1.6)
		marks.Color = line.Color
		p.Add(line)
		if c.Points {
			p.Add(marks)
		}
		p.Legend.Add(s.Name, line)
	}
	if c.Most > c.Least {
		p.Y.Min, p.Y.Max = c.Least, c.Most
	}
	if err := p.Save(18*vg.Centimeter, 10*vg.Centimeter, path); err != nil {
		return fmt.Errorf("writing the chart %s: %w", path, err)
	}
	return nil
}
