// Package chart draws the figures of experiments as line charts in SVG files. It computes nothing from the
// points.
//
// # Usage
//
//	err := chart.Write("goodput.svg", chart.Chart{Title: "Goodput", X: "load", Y: "goodput", Lines: lines})
package chart

import (
	"image/color"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Line is one curve.
type Line struct {
	Name   string
	Points []Point
}

// Point is one point of a curve.
type Point struct{ X, Y float64 }

// Chart is a figure with one or more curves.
type Chart struct {
	Title, X, Y string
	LogX, LogY  bool
	Lines       []Line
}

const (
	width  = 16 * vg.Centimeter
	height = 10 * vg.Centimeter
)

// Write draws a chart to a file. The file's name has to end in .svg.
func Write(path string, c Chart) (err error) {
	defer func() { err = errors.Wrapf(err, "draw %s", path) }()
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, c.X, c.Y
	p.BackgroundColor = color.White
	p.Legend.Top, p.Legend.Left = true, true
	if c.LogX {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	if c.LogY {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	for i, l := range c.Lines {
		if err := add(p, i, l); err != nil {
			return err
		}
	}
	return p.Save(width, height, path)
}

func add(p *plot.Plot, i int, l Line) error {
	points := make(plotter.XYs, 0, len(l.Points))
	for _, v := range l.Points {
		points = append(points, plotter.XY{X: v.X, Y: v.Y})
	}
	curve, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	curve.Color, curve.Dashes = plotutil.Color(i), plotutil.Dashes(i)
	marks.Color, marks.Shape = plotutil.Color(i), plotutil.Shape(i)
	p.Add(curve, marks)
	p.Legend.Add(l.Name, curve, marks)
	return nil
}
