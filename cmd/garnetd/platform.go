package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/emitter"
	"github.com/garnetworks/garnetworks/launcher"
	"github.com/garnetworks/garnetworks/platform"
)

// logCloseTimeout is how long an exiting process waits for its last log lines to be written.
const logCloseTimeout = 200 * time.Millisecond

// servePlatform runs the node on the users' platform, with the settings file that the
// platform names in the environment.
func servePlatform(f flags, stdout, stderr io.Writer) int {
	hangups := notifyHangups()
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		_, _ = fmt.Fprintf(stderr, "settings: the environment variable %s names no file\n", platform.SettingsVariable)
		return exitSettings
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitSettings
	}
	if f.CheckSettings {
		_, _ = fmt.Fprintln(stdout, "settings are right")
		return exitOK
	}
	logOutput := emitter.New(stdout, 0)
	defer logOutput.Close(logCloseTimeout)
	logger := hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: logOutput, JSONFormat: true}).With("node", string(settings.Node))
	backends := platform.NewBackends()
	node, err := launcher.New(launcher.Options{
		Site:    settings,
		Program: version,
		Objects: platform.NewStore(settings.ObjectAPI),
		Reader:  platform.SiteReader{},
		Calls:   platform.CallReader{},
		Proxy:   backends,
		Orders:  platform.NewOrders(),
		Ready:   platform.ReadyHandler,
		Sweep:   backends.Sweep,
		Logger:  logger,

		LinesDropped: logOutput.Dropped,
	})
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitSettings
	}
	stop, _, release := signalContexts()
	defer release()
	reloader := newSettingsReloader(path, hangups, logger, func(changed garnetworks.NodeSettings) { node.Reload(changed.Bounds) })
	go reloader.run(stop)
	if err := node.Run(stop); err != nil {
		logger.Error("node failed", "error", err)
		return exitFailed
	}
	return exitOK
}
