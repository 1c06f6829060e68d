package main

import (
	"image/color"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/diagnoser"
)

// Size of the plot of causes; each of its two parts has half the height.
const (
	causesWidth  = 24 * vg.Centimeter
	causesHeight = 18 * vg.Centimeter
)

// plotCauses plots the requests missed per second by cause, and below them the groups that
// received calls and the losses of instances, to an SVG file.
func plotCauses(r *diagnoser.Report, file string) error {
	missed, err := missedPlot(r)
	if err != nil {
		return errors.Wrap(err, "the causes can't be drawn")
	}
	groups, err := groupsPlot(r)
	if err != nil {
		return errors.Wrap(err, "the groups can't be drawn")
	}
	canvas := vgsvg.New(causesWidth, causesHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Centimeter / 2}
	all := plot.Align([][]*plot.Plot{{missed}, {groups}}, tiles, draw.New(canvas))
	missed.Draw(all[0][0])
	groups.Draw(all[1][0])
	return writeTo(file, canvas)
}

// missedPlot returns a stacked bar chart of the requests missed per second, by cause.
func missedPlot(r *diagnoser.Report) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "requests that missed, by second of receipt"
	p.Y.Label.Text = "requests"
	p.Legend.Top, p.Legend.Left = true, true
	width := causesWidth / vg.Length(2*max(len(r.Seconds), 1))
	var below *plotter.BarChart
	for i := range r.Causes {
		cause := r.Causes[i].Cause
		values := make(plotter.Values, len(r.Seconds))
		total := 0
		for second := range r.Seconds {
			n := r.Seconds[second].ByCause[cause]
			values[second] = float64(n)
			total += n
		}
		if total == 0 {
			continue
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return nil, err
		}
		bars.Color, bars.LineStyle.Width = plotutil.SoftColors[i%len(plotutil.SoftColors)], 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(string(cause), bars)
	}
	return p, nil
}

// groupsPlot plots the number of groups by model, with a mark for each second with losses.
func groupsPlot(r *diagnoser.Report) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "groups that had calls, and losses of instances"
	p.X.Label.Text, p.Y.Label.Text = "seconds", "groups"
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	models := make(garnetworks.Set[garnetworks.ModelName])
	var losses plotter.XYs
	for second := range r.Seconds {
		for model := range r.Seconds[second].Groups {
			models.Add(model)
		}
		for range r.Seconds[second].Losses {
			losses = append(losses, plotter.XY{X: float64(second)})
		}
	}
	for i, model := range slices.Sorted(maps.Keys(models)) {
		points := make(plotter.XYs, len(r.Seconds))
		for second := range r.Seconds {
			points[second] = plotter.XY{X: float64(second), Y: float64(r.Seconds[second].Groups[model])}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(string(model), line)
	}
	if len(losses) == 0 {
		return p, nil
	}
	marks, err := plotter.NewScatter(losses)
	if err != nil {
		return nil, err
	}
	marks.Shape, marks.Color = draw.CrossGlyph{}, color.RGBA{R: 200, A: 255}
	p.Add(marks)
	p.Legend.Add("instance lost", marks)
	return p, nil
}

// writeTo writes a drawing to a file.
func writeTo(file string, drawing io.WriterTo) error {
	out, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "the plot can't be written")
	}
	_, err = drawing.WriteTo(out)
	if closeErr := out.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrapf(err, "%s can't be written", file)
}
