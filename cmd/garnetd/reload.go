package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/platform"
)

// readSettingsEvery is how often the settings file is looked at without a signal;
// the file is a few KB.
const readSettingsEvery = 5 * time.Second

// settingsFollower applies the settings file whenever it has changed.
//
// Failure: the platform sends SIGHUP when the file has changed. A process that does
// not catch the signal is ended by it, with all calls in flight. That holds for a node
// that is stopping as well, so the signal is caught until the process ends.
type settingsFollower struct {
	path   string
	last   []byte
	logger hclog.Logger
	apply  func(garnetworks.NodeSettings)
	signal chan os.Signal
}

// catchHangups catches SIGHUP from now on.
func catchHangups() chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// newSettingsFollower reads the file once, and again at each of the hangups.
func newSettingsFollower(path string, hangups chan os.Signal, logger hclog.Logger, apply func(garnetworks.NodeSettings)) *settingsFollower {
	f := &settingsFollower{path: path, logger: logger, apply: apply, signal: hangups}
	var err error
	if f.last, err = os.ReadFile(path); err != nil {
		logger.Error("settings-refused", "error", err.Error())
	}
	return f
}

// run follows the file until ctx ends.
func (f *settingsFollower) run(ctx context.Context) {
	ticker := time.NewTicker(readSettingsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.signal:
			f.read(true)
		case <-ticker.C:
			f.read(false)
		}
	}
}

// read applies the file if it has changed; what can't be read changes nothing.
func (f *settingsFollower) read(asked bool) {
	text, err := os.ReadFile(f.path)
	if err != nil {
		f.logger.Error("settings-refused", "error", err.Error())
		return
	}
	if bytes.Equal(text, f.last) {
		if asked {
			f.logger.Info("settings-reloaded", "changed", false)
		}
		return
	}
	f.last = text
	site, err := platform.ReadSettings(text)
	if err != nil {
		f.logger.Error("settings-refused", "error", err.Error())
		return
	}
	f.apply(site)
	f.logger.Info("settings-reloaded", "changed", true)
}
