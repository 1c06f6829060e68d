package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/garnetworks/garnetworks/experimenter"
)

func TestRun(t *testing.T) {
	cases := map[string]struct {
		flags flags
		lines int
		ok    bool
	}{
		"one pattern, all policies": {flags{Pattern: []string{"calm"}, Seed: 1}, 1 + len(experimenter.PolicyNames()), true},
		"with kinds":                {flags{Pattern: []string{"calm"}, Policy: []string{"scheduler"}, Kinds: true}, 14, true},
		"unknown pattern":           {flags{Pattern: []string{"none"}}, 0, false},
		"unknown policy":            {flags{Pattern: []string{"calm"}, Policy: []string{"none"}}, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			err := run(c.flags, &out)
			if (err == nil) != c.ok {
				t.Fatalf("got %v", err)
			}
			if lines := strings.Count(out.String(), "\n"); c.ok && lines != c.lines {
				t.Errorf("%d lines, want %d:\n%s", lines, c.lines, out.String())
			}
		})
	}
}

func TestRunGroups(t *testing.T) {
	cases := map[string]struct {
		flags flags
		lines int
		plots []string
		ok    bool
	}{
		"all policies":    {flags{Pattern: []string{"lost-engines"}, Seed: 1}, 1 + len(experimenter.GroupPolicyNames()), nil, true},
		"with a plot":     {flags{Pattern: []string{"lost-engines"}, Policy: []string{"naive"}, Seed: 1}, 2, []string{"lost-engines.svg"}, true},
		"unknown pattern": {flags{Pattern: []string{"calm"}}, 0, nil, false},
		"unknown policy":  {flags{Pattern: []string{"lost-engines"}, Policy: []string{"scheduler"}}, 0, nil, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if len(c.plots) > 0 {
				c.flags.Plot = t.TempDir()
			}
			var out strings.Builder
			err := runGroups(c.flags, &out)
			if (err == nil) != c.ok {
				t.Fatalf("got %v", err)
			}
			if lines := strings.Count(out.String(), "\n"); c.ok && lines != c.lines {
				t.Errorf("%d lines, want %d:\n%s", lines, c.lines, out.String())
			}
			for _, plot := range c.plots {
				text, err := os.ReadFile(filepath.Join(c.flags.Plot, plot))
				if err != nil || !strings.Contains(string(text), "naive, large") {
					t.Errorf("the plot %s: %v, %d bytes", plot, err, len(text))
				}
			}
		})
	}
}

func TestLoadPlot(t *testing.T) {
	dir := t.TempDir()
	var out strings.Builder
	if err := run(flags{Pattern: []string{"calm"}, Seed: 1, Plot: dir}, &out); err != nil {
		t.Fatal(err)
	}
	if text, err := os.ReadFile(filepath.Join(dir, "load.svg")); err != nil || !strings.Contains(string(text), "least-running") {
		t.Errorf("%v, %d bytes", err, len(text))
	}
}
