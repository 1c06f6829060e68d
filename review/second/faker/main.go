package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// options are the command line's.
type options struct {
	daemon  string
	record  string
	trouble bool
}

// cases maps the names of the cases to what plays them. A case returns what broke its rule.
var cases = map[string]func(s *site) (broken []string, err error){
	"watch-cuts": playWatchCuts,
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	name := flag.String("case", "", "the case to play")
	flag.StringVar(&o.daemon, "daemon", "target/garnetd", "the daemon's program")
	flag.StringVar(&o.record, "record", "record.txt", "the file to write what was sent, answered and run to")
	flag.BoolVar(&o.trouble, "trouble", true, "play the disruption")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", *name)
		return exitFailed
	}
	s, err := newSite(&o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		s.close()
		os.Exit(exitFailed)
	}()
	broken, err := play(s)
	if err != nil {
		s.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for _, what := range broken {
		s.note("broken: %s", what)
		fmt.Println(what)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	s.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
