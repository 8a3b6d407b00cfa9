package main

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 13 * vg.Centimeter
	// curvePoints is the number of points of a quantile curve up to maxNines.
	curvePoints = 60
	// maxNines ends the curves at the 99.9th percentile.
	maxNines = 3.0
)

// quantileCurve returns response time over ideal at evenly spaced nines of the quantile.
func quantileCurve(r *ratioHistogram) []float64 {
	out := make([]float64, curvePoints+1)
	for i := range out {
		out[i] = r.quantile(1 - math.Pow(10, -maxNines*float64(i)/curvePoints))
	}
	return out
}

// plotQuantiles draws response time over ideal of each policy over the quantile.
func plotQuantiles(path string, rows []*summary) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s", rows[0].Deployment, rows[0].Scenario)
	p.X.Label.Text = "quantile (1: 90%, 2: 99%, 3: 99.9%)"
	p.Y.Label.Text = "response time over ideal"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	var lines []any
	for _, s := range rows {
		points := make(plotter.XYs, len(s.curve))
		for i, v := range s.curve {
			points[i] = plotter.XY{X: maxNines * float64(i) / curvePoints, Y: math.Max(v, 0.1)}
		}
		lines = append(lines, s.Policy, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

// plotTradeOff draws the 99th percentile of each job kind over the wasted messages: a
// line for each kind through the policies in the order they were measured, without the
// reference, which comes first.
func plotTradeOff(path string, rows []*summary) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s: response time against messages", rows[0].Deployment, rows[0].Scenario)
	p.X.Label.Text = "wasted messages, percent"
	p.Y.Label.Text = "p99 of response time over ideal"
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	var lines []any
	for _, kind := range slices.Sorted(maps.Keys(rows[0].Kinds)) {
		var points plotter.XYs
		for _, s := range rows[1:] {
			points = append(points, plotter.XY{X: 100 * s.Messages.Wasted, Y: s.Kinds[kind].P99})
		}
		lines = append(lines, kind, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}
