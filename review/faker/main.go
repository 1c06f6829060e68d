// Command faker plays one case of the review: it starts stand-ins of the platform's store, of
// engines and of a plain service on loopback addresses, the entry nodes as processes with the
// command of the deploy file, and clients. It writes what was sent, answered and run, and checks
// one rule by what clients and engines saw.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record writes the lines of a case, each with the time since its start.
type record struct {
	out   io.Writer
	start time.Time
}

func (r *record) printf(format string, values ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
	_, _ = io.WriteString(r.out, line)
}

// cases holds the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(r *record, dir string, trouble bool) (broken bool, err error){
	"late":     lateCase,
	"restored": restoredCase,
	"spoiled":  spoiledCase,
}

func main() {
	name := flag.String("case", "", "case to play")
	output := flag.String("record", "", "file to write what happened to")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(run(*name, *output, *trouble))
}

func run(name, output string, trouble bool) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitNotRun
	}
	file, err := os.Create(output)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	r := &record{out: &lockedWriter{w: io.MultiWriter(file, os.Stdout)}, start: time.Now()}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		r.printf("not run: %v", err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	broken, err := play(r, filepath.Clean(dir), trouble)
	switch {
	case err != nil && !errors.Is(err, errRule):
		r.printf("not run: %v", err)
		return exitNotRun
	case broken:
		r.printf("the rule is broken: %v", err)
		return exitBroken
	}
	r.printf("the rule held")
	return exitHeld
}
