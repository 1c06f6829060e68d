// Command garnetd is the daemon of an entry instance. It reads its settings, joins the
// site and serves calls until a signal stops it.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/hashicorp/go-hclog"

	"github.com/garnetworks/garnetworks/configurer"
	"github.com/garnetworks/garnetworks/runner"
)

// version is the program version that the node reports to other nodes.
const version = "0.1.0"

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

type flags struct {
	Settings      string        `short:"s" help:"Settings file." type:"path"`
	CheckSettings bool          `help:"Check the settings file and exit."`
	PrintExample  bool          `help:"Print a settings file with every field and exit."`
	LameDuck      time.Duration `help:"How long a stopping node goes on taking calls after it dropped its readiness." default:"3s"`
	Platform      bool          `help:"Run on the users' platform: take the settings from the file that the platform names in the environment."`
	Version       bool          `help:"Print the version and exit."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("garnetd"), kong.Description("The daemon of an entry instance."), kong.UsageOnError())
	os.Exit(run(f, os.Stdout, os.Stderr))
}

func run(f flags, stdout, stderr io.Writer) int {
	switch {
	case f.Version:
		_, _ = fmt.Fprintln(stdout, version)
		return exitOK
	case f.PrintExample:
		_, _ = fmt.Fprint(stdout, configurer.Example())
		return exitOK
	case f.Platform:
		return servePlatform(f, stdout, stderr)
	case f.Settings == "":
		_, _ = fmt.Fprintln(stderr, "settings: file: missing value; allowed: a file name by --settings; --print-example prints one")
		return exitSettings
	}
	settings, err := configurer.Load(f.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, configurer.Lines(err))
		return exitSettings
	}
	if f.CheckSettings {
		_, _ = fmt.Fprintln(stdout, "settings are right")
		return exitOK
	}
	return serve(f, settings, stderr)
}

// serve runs the node until the first SIGINT or SIGTERM, which starts a graceful shutdown;
// the second signal ends the grace period.
func serve(f flags, settings configurer.Settings, stderr io.Writer) int {
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       "garnetd",
		Level:      hclog.LevelFromString(settings.LogLevel),
		Output:     stderr,
		JSONFormat: true,
	})
	stop, force, release := signalContexts()
	defer release()
	r, err := runner.New(runner.Options{Settings: settings, Logger: logger, Program: version, LameDuck: f.LameDuck})
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitSettings
	}
	if err := r.Run(stop, force); err != nil {
		logger.Error("node failed", "error", err)
		return exitFailed
	}
	return exitOK
}

// signalContexts returns a context that is canceled by the first SIGINT or SIGTERM, one that
// is canceled by the second, and a function that stops catching these signals.
func signalContexts() (stop, force context.Context, release func()) {
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGINT, syscall.SIGTERM)
	stop, cancelStop := context.WithCancel(context.Background())
	force, cancelForce := context.WithCancel(context.Background())
	go func() {
		<-received
		cancelStop()
		<-received
		cancelForce()
	}()
	return stop, force, func() { signal.Stop(received) }
}
