package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks/diagnoser"
)

// causesCommand reports from the nodes' log lines why requests were not served in time.
type causesCommand struct {
	Logs    []string      `arg:"" optional:"" help:"Files with log lines of the nodes, in any order; standard input if none is named, or for -."`
	Credits string        `help:"A YAML file with what requests are worth; docs/causes.md describes it. All are worth the same without it."`
	Way     time.Duration `help:"Time between clients and nodes, both ways together." default:"4ms"`
	From    time.Time     `help:"Only requests received from this time on." format:"2006-01-02T15:04:05Z07:00"`
	Until   time.Time     `help:"Only requests received before this time." format:"2006-01-02T15:04:05Z07:00"`
	By      []string      `help:"Tables to print: model, kind, size, workspace, zone." enum:"model,kind,size,workspace,zone" default:"model,kind,zone"`
	Plot    string        `help:"File for a plot over time, as SVG; none if it is empty." type:"path"`
}

// tableNames maps the values of --by to the By field of the report's tables.
var tableNames = map[string]string{
	"model": "model", "kind": "kind", "size": "kind and size tenth", "workspace": "workspace", "zone": "zone",
}

// Run reads the log lines and prints the report.
func (c *causesCommand) Run(s *session) error {
	options := diagnoser.Options{Credits: diagnoser.DefaultCredits(), RoundTrip: c.Way, From: c.From, Until: c.Until}
	if c.Credits != "" {
		if err := readFile(c.Credits, func(r io.Reader) (err error) {
			options.Credits, err = diagnoser.ReadCredits(r)
			return err
		}); err != nil {
			return err
		}
	}
	d := diagnoser.New(options)
	if len(c.Logs) == 0 {
		c.Logs = []string{"-"}
	}
	for _, log := range c.Logs {
		if log == "-" {
			if err := d.Read(s.stdin); err != nil {
				return &exitError{exitUsage, err}
			}
			continue
		}
		if err := readFile(log, d.Read); err != nil {
			return err
		}
	}
	report := d.Report()
	if report.Lines.Calls == 0 {
		return &exitError{exitUsage, errors.Errorf("no line of a call among %d lines", report.Lines.Read)}
	}
	if c.Plot != "" {
		if err := plotCauses(report, c.Plot); err != nil {
			return &exitError{exitUsage, err}
		}
	}
	if s.json {
		return s.printJSON(report)
	}
	return c.print(s, report)
}

// readFile opens a file and passes it to read.
func readFile(name string, read func(io.Reader) error) error {
	file, err := os.Open(name)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	defer file.Close()
	if err := read(file); err != nil {
		return &exitError{exitUsage, errors.Wrap(err, name)}
	}
	return nil
}

// print prints the report as text.
func (c *causesCommand) print(s *session, r *diagnoser.Report) error {
	l := r.Lines
	fmt.Fprintf(s.stdout, "%d lines: %d of calls, %d of events, %d cut, %d foreign; %d calls whose lines were held back\n",
		l.Read, l.Calls, l.Events, l.Truncated, l.Foreign, l.Suppressed)
	t := &r.Total
	fmt.Fprintf(s.stdout, "%d requests: %d on time, %d late, %d refused, %d failed, %d left, %d not allowed; %s of the credit earned\n\n",
		t.Requests, t.OnTime, t.Late, t.Refused, t.Failed, t.Abandoned, t.NotAllowed, formatShare(t.Share()))
	for _, print := range []func(io.Writer, *diagnoser.Report) error{printCauses, printMoves, printFirsts} {
		if err := print(s.stdout, r); err != nil {
			return err
		}
	}
	for _, by := range c.By {
		for i := range r.Tables {
			if r.Tables[i].By == tableNames[by] {
				if err := printRows(s.stdout, &r.Tables[i]); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func printCauses(out io.Writer, r *diagnoser.Report) error {
	t := newTable("cause", "late", "refused", "failed", "other", "lost", "without it", "spare", "meaning")
	for i := range r.Causes {
		c := &r.Causes[i]
		spare := ""
		if c.Spare > 0 {
			spare = fmt.Sprint(c.Spare)
		}
		t.row(string(c.Cause), fmt.Sprint(c.Late), fmt.Sprint(c.Refused), fmt.Sprint(c.Failed), fmt.Sprint(c.Abandoned+c.NotAllowed),
			formatShare(c.Lost), formatShare(c.Bound), spare, c.Text)
	}
	return t.print(out)
}

func printMoves(out io.Writer, r *diagnoser.Report) error {
	if r.Failovers.Detect.Count == 0 {
		return nil
	}
	fmt.Fprintln(out, "\nafter a group was lost")
	t := newTable("step", "requests", "median ms", "third quartile", "most")
	for _, step := range []struct {
		name string
		diagnoser.Spread
	}{
		{"last event to the end of the attempt", r.Failovers.Detect},
		{"to the next place", r.Failovers.Place},
		{"to its first event", r.Failovers.Prefill},
	} {
		t.row(step.name, fmt.Sprint(step.Count), fmt.Sprint(step.Median), fmt.Sprint(step.ThirdQuartile), fmt.Sprint(step.Max))
	}
	return t.print(out)
}

func printFirsts(out io.Writer, r *diagnoser.Report) error {
	if len(r.FirstEvents) == 0 {
		return nil
	}
	fmt.Fprintln(out, "\nfirst events at groups, medians of calls told in full")
	t := newTable("model", "first event", "calls", "first ms", "prompt", "calls before", "unread tokens before")
	for _, f := range r.FirstEvents {
		when := "on time"
		if f.Late {
			when = "late"
		}
		t.row(string(f.Model), when, fmt.Sprint(f.Count), fmt.Sprint(f.FirstMS), fmt.Sprint(f.Prompt), fmt.Sprint(f.CallsAhead), fmt.Sprint(f.PrefillAhead))
	}
	return t.print(out)
}

func printRows(out io.Writer, table *diagnoser.Table) error {
	fmt.Fprintf(out, "\nby %s\n", table.By)
	t := newTable(table.By, "requests", "on time", "late", "refused", "failed", "left", "earned", "dearest cause", "lost")
	for i := range table.Rows {
		w := &table.Rows[i]
		dearest := w.Costliest()
		t.row(w.Name, fmt.Sprint(w.Requests), fmt.Sprint(w.OnTime), fmt.Sprint(w.Late), fmt.Sprint(w.Refused), fmt.Sprint(w.Failed),
			fmt.Sprint(w.Abandoned), formatShare(w.Share()), string(dearest), formatShare(w.ByCause[dearest]))
	}
	return t.print(out)
}

// formatShare formats a fraction of 1.
func formatShare(p float64) string { return fmt.Sprintf("%.3f", p) }
