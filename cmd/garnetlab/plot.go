package main

import (
	"fmt"
	"maps"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/experimenter"
)

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// plotGroups plots the number of serving groups over time, one line per policy and model,
// to an SVG file named after the pattern.
func plotGroups(dir, pattern string, results map[string]*experimenter.GroupResult) error {
	p := plot.New()
	p.Title.Text = pattern + ": groups that serve"
	p.X.Label.Text, p.Y.Label.Text = "seconds", "groups"
	p.Y.Min = 0
	p.Legend.Left = true
	var lines []any
	for _, policy := range slices.Sorted(maps.Keys(results)) {
		for _, model := range servingModels(results[policy]) {
			lines = append(lines, policy+", "+string(model), servingPoints(results[policy], model))
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "the lines can't be drawn")
	}
	file := filepath.Join(dir, pattern+".svg")
	return errors.Wrapf(p.Save(plotWidth, plotHeight, file), "%s can't be written", file)
}

// plotLoad plots, for each policy and pattern, the share of the attainable worth that was
// earned, to load.svg.
func plotLoad(dir string, patterns []string, shares map[string][]float64) error {
	p := plot.New()
	p.Title.Text = "part of the worth that was earned"
	p.Y.Min, p.Y.Max = 0, 1
	p.NominalX(patterns...)
	p.Legend.Top = true
	const width = vg.Length(20)
	for i, policy := range slices.Sorted(maps.Keys(shares)) {
		bars, err := plotter.NewBarChart(plotter.Values(shares[policy]), width)
		if err != nil {
			return errors.Wrap(err, "the bars can't be drawn")
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = (vg.Length(i) - vg.Length(len(shares)-1)/2) * width
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	file := filepath.Join(dir, "load.svg")
	return errors.Wrapf(p.Save(plotWidth, plotHeight, file), "%s can't be written", file)
}

func servingModels(r *experimenter.GroupResult) []garnetworks.ModelName {
	names := make(garnetworks.Set[garnetworks.ModelName])
	for _, s := range r.Samples {
		for m := range s.Serving {
			names.Add(m)
		}
	}
	return slices.Sorted(maps.Keys(names))
}

func servingPoints(r *experimenter.GroupResult, model garnetworks.ModelName) plotter.XYs {
	xys := make(plotter.XYs, 0, len(r.Samples))
	for _, s := range r.Samples {
		xys = append(xys, plotter.XY{X: s.At.Seconds(), Y: float64(s.Serving[model])})
	}
	return xys
}

// groupsRow returns one tab-separated row of the table that runGroups prints.
func groupsRow(pattern, policy string, r *experimenter.GroupResult) string {
	const median, upperQuartile = 50, 75
	return fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%d\t%.0f\t%.3f\n", pattern, policy, r.Losses,
		r.Downtime.ValueAtQuantile(median), r.Downtime.ValueAtQuantile(upperQuartile), r.Downtime.Max(), r.Idle.Seconds(), r.ServedShare)
}
