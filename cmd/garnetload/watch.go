package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// watchInterval is the time between two samples of the watched processes.
const watchInterval = time.Second

// Size of the plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// processBody is what a process holds at a moment.
type processBody struct {
	PID int `json:"pid"`
	// Resident is its resident memory and Peak the most until then, in bytes; Descriptors are its open files.
	Resident    int64 `json:"resident-bytes"`
	Peak        int64 `json:"peak-bytes"`
	Descriptors int   `json:"descriptors"`
}

// sampleBody is a moment of a run.
type sampleBody struct {
	Seconds float64 `json:"seconds"`
	// Ended and Completed are the calls since the last sample.
	Ended     int           `json:"ended"`
	Completed int           `json:"completed"`
	Processes []processBody `json:"processes"`
}

// watch samples the processes of --watch and the calls that end.
type watch struct {
	pids []int

	mu               sync.Mutex
	ended, completed int
	samples          []sampleBody
}

// add counts a call that has ended.
func (w *watch) add(outcome string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended++
	if outcome == outcomeCompleted {
		w.completed++
	}
}

// run takes samples until ctx ends, and a last one then. A process that has ended is left out.
func (w *watch) run(ctx context.Context) {
	if len(w.pids) == 0 {
		return
	}
	start := time.Now()
	for running := true; running; {
		running = sleep(ctx, watchInterval)
		w.sample(time.Since(start))
	}
}

// sample takes a sample at a time after the start.
func (w *watch) sample(at time.Duration) {
	var processes []processBody
	for _, pid := range w.pids {
		if p, err := readProcess(pid); err == nil {
			processes = append(processes, p)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples = append(w.samples, sampleBody{at.Seconds(), w.ended, w.completed, processes})
	w.ended, w.completed = 0, 0
}

// readProcess reads what a process holds.
func readProcess(pid int) (processBody, error) {
	p := processBody{PID: pid}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return p, err
	}
	for line := range strings.Lines(string(text)) {
		for format, field := range map[string]*int64{"VmRSS: %d kB": &p.Resident, "VmHWM: %d kB": &p.Peak} {
			var kilobytes int64
			if n, _ := fmt.Sscanf(line, format, &kilobytes); n == 1 {
				*field = kilobytes << 10
			}
		}
	}
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	p.Descriptors = len(list)
	return p, err
}

// writeSamples prints a row for each sample.
func writeSamples(t io.Writer, samples []sampleBody) {
	if len(samples) == 0 {
		return
	}
	_, _ = fmt.Fprint(t, "\nsecond\tended\tcompleted\tprocess\tresident MB\tpeak MB\tdescriptors\t\n")
	for _, s := range samples {
		for _, p := range s.Processes {
			_, _ = fmt.Fprintf(t, "%.0f\t%d\t%d\t%d\t%d\t%d\t%d\t\n", s.Seconds, s.Ended, s.Completed, p.PID, p.Resident>>20, p.Peak>>20, p.Descriptors)
		}
	}
}

// plotSamples draws the processes' memory and descriptors and the calls' completed part over time as SVG.
func plotSamples(file string, samples []sampleBody) error {
	p := plot.New()
	p.Title.Text = "processes beside crowds"
	p.X.Label.Text, p.Y.Label.Text = "seconds", "MB; tens of descriptors; % of calls completed"
	p.Y.Min = 0
	lines := make(map[string]plotter.XYs)
	var names []string
	add := func(name string, x, y float64) {
		if _, ok := lines[name]; !ok {
			names = append(names, name)
		}
		lines[name] = append(lines[name], plotter.XY{X: x, Y: y})
	}
	const percent, tens = 100, 10
	for _, s := range samples {
		if s.Ended > 0 {
			add("completed", s.Seconds, percent*float64(s.Completed)/float64(s.Ended))
		}
		for _, process := range s.Processes {
			add(fmt.Sprintf("memory of %d", process.PID), s.Seconds, float64(process.Resident>>20))
			add(fmt.Sprintf("descriptors of %d", process.PID), s.Seconds, float64(process.Descriptors)/tens)
		}
	}
	var drawn []any
	for _, name := range names {
		drawn = append(drawn, name, lines[name])
	}
	if err := plotutil.AddLines(p, drawn...); err != nil {
		return errors.Wrap(err, "the lines can't be drawn")
	}
	return errors.Wrapf(p.Save(plotWidth, plotHeight, file), "%s can't be written", file)
}
