package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/diagnoser"
)

const (
	lateLine    = `{"@message":"call-ended","@timestamp":"2026-03-01T08:00:01Z","node":"n","call":"a","model":"m","route":"r","status":200,"outcome":"completed","prompt":900,"answer":80,"took-ms":900,"first-ms":700,"waited-ms":400,"objective-ms":400,"max-pause-ms":200,"timeout-ms":6000,"attempts":[{"group":"g","phase":"done","first-ms":300,"took-ms":500,"events":9}]}`
	refusedLine = `{"@message":"call-ended","@timestamp":"2026-03-01T08:00:02Z","node":"o","call":"b","model":"m","route":"r","status":503,"outcome":"not-run","kind":"overloaded","prompt":700,"answer":80,"took-ms":0,"objective-ms":400,"max-pause-ms":200,"timeout-ms":6000,"groups":2,"spare":7}`
	startLine   = `{"@message":"node-started","@timestamp":"2026-03-01T07:00:00Z","node":"n","zone":"z"}`
)

func noDial(tlsFlags) (garnetworks.PeerCaller, error) { return nil, nil }

// runCauses runs the causes command with input as standard input.
func runCauses(t *testing.T, input string, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	code = run(t.Context(), append([]string{"causes"}, args...), strings.NewReader(input), &out, &errs, noDial)
	return code, out.String(), errs.String()
}

// Guards against losing requests or misjudging their causes in lines piped from several nodes.
func TestCausesFromLines(t *testing.T) {
	input := startLine + "\n" + lateLine + "\n" + refusedLine + "\nsomething else\n"
	code, out, errs := runCauses(t, input, "--by", "model,kind,size,workspace,zone")
	if code != exitOK {
		t.Fatalf("exit code %d, %s", code, errs)
	}
	for _, want := range []string{
		"4 lines: 2 of calls, 1 of events, 0 cut, 1 foreign", "2 requests: 0 on time, 1 late, 1 refused",
		"waited-at-node", "turned-away-no-time", "by zone", "by kind and size tenth",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is not in:\n%s", want, out)
		}
	}
}

func TestCausesFromFilesAsJSONAndPlot(t *testing.T) {
	dir := t.TempDir()
	var files []string
	for name, text := range map[string]string{"n.log": startLine + "\n" + lateLine, "o.log": refusedLine} {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	plot := filepath.Join(dir, "causes.svg")
	code, out, errs := runCauses(t, "", append(files, "--output", "json", "--plot", plot)...)
	if code != exitOK {
		t.Fatalf("exit code %d, %s", code, errs)
	}
	var r diagnoser.Report
	if err := json.Unmarshal([]byte(out), &r); err != nil {
		t.Fatal(err)
	}
	if r.Total.Requests != 2 || len(r.Causes) != 2 {
		t.Errorf("the report is %+v", r)
	}
	if text, err := os.ReadFile(plot); err != nil || !bytes.Contains(text, []byte("waited-at-node")) {
		t.Errorf("the plot is not there or lacks its legend: %v", err)
	}
}

func TestCausesRefusesBadInput(t *testing.T) {
	credits := filepath.Join(t.TempDir(), "credits.yaml")
	if err := os.WriteFile(credits, []byte("kinds: [{name: a, on-time: 0}]"), 0o644); err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		input string
		args  []string
		want  string
	}{
		"no calls":        {startLine, nil, "no line of a call among 1 lines"},
		"no such file":    {"", []string{"nosuch.log"}, "nosuch.log"},
		"no such credits": {lateLine, []string{"--credits", "nosuch.yaml"}, "nosuch.yaml"},
		"bad credits":     {lateLine, []string{"--credits", credits}, "credits of kind"},
		"unknown table":   {lateLine, []string{"--by", "moon"}, "--by"},
		"unwritable plot": {lateLine, []string{"--plot", filepath.Join(t.TempDir(), "no", "p.svg")}, "plot"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			code, out, errs := runCauses(t, c.input, c.args...)
			if code != exitUsage || out != "" || !strings.Contains(errs, c.want) || strings.Count(errs, "\n") != 1 {
				t.Errorf("exit code %d, printed %q and %q", code, out, errs)
			}
		})
	}
}
