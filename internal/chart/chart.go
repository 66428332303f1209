// Package chart draws the line charts of reports.
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

// Chart is a set of lines with common axes.
type Chart struct {
	Title, X, Y string // X and Y are the labels of the axes
	LogX, LogY  bool
	YMin, YMax  float64 // range of the y axis if YMax exceeds YMin; else the range follows from the values
	Bands       []Band
	Lines       []Series
	MarkPoints  bool // mark each value with a point
}

// colours is the palette of Okabe and Ito, which people with colour vision deficiency can distinguish.
var colours = []color.RGBA{{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255},
	{86, 180, 233, 255},
	{230, 159, 0, 255}, {80, 80, 80, 255}}

// Save writes the chart to a file. The extension of the path, such as .svg or .png, selects the format.
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
	yMin, yMax := c.YMin, c.YMax
	if yMax <= yMin {
		for _, s := range c.Lines {
			for i, y := range s.Y {
				if i == 0 && yMax <= yMin {
					yMin, yMax = y, y
				}
				yMin, yMax = min(yMin, y), max(yMax, y)
			}
		}
	}
	for _, b := range c.Bands {
		box, err := plotter.NewPolygon(plotter.XYs{{X: b.From, Y: yMin}, {X: b.To, Y: yMin},
			{X: b.To, Y: yMax}, {X: b.From, Y: yMax}})
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
		if c.MarkPoints {
			p.Add(marks)
		}
		p.Legend.Add(s.Name, line)
	}
	if c.YMax > c.YMin {
		p.Y.Min, p.Y.Max = c.YMin, c.YMax
	}
	if err := p.Save(18*vg.Centimeter, 10*vg.Centimeter, path); err != nil {
		return fmt.Errorf("writing the chart %s: %w", path, err)
	}
	return nil
}
