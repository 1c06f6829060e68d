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
const settingsPollInterval = 5 * time.Second

// settingsReloader applies the settings file whenever it has changed.
//
// Failure: the platform sends SIGHUP when the file has changed. A process that does
// not catch the signal is ended by it, with all calls in flight. That holds for a node
// that is stopping as well, so the signal is caught until the process ends.
type settingsReloader struct {
	path   string
	last   []byte
	logger hclog.Logger
	apply  func(garnetworks.NodeSettings)
	signal chan os.Signal
}

// catchHangups catches SIGHUP from now on.
func notifyHangups() chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// newSettingsFollower reads the file once, and again at each of the hangups.
func newSettingsReloader(path string, hangups chan os.Signal, logger hclog.Logger, apply func(garnetworks.NodeSettings)) *settingsReloader {
	r := &settingsReloader{path: path, logger: logger, apply: apply, signal: hangups}
	var err error
	if r.last, err = os.ReadFile(path); err != nil {
		logger.Error("settings-refused", "error", err.Error())
	}
	return r
}

// run follows the file until ctx ends.
func (r *settingsReloader) run(ctx context.Context) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.signal:
			r.reloadIfChanged(true)
		case <-ticker.C:
			r.reloadIfChanged(false)
		}
	}
}

// reloadIfChanged applies the file if it has changed; what can't be reloadIfChanged changes nothing.
func (r *settingsReloader) reloadIfChanged(signaled bool) {
	text, err := os.ReadFile(r.path)
	if err != nil {
		r.logger.Error("settings-refused", "error", err.Error())
		return
	}
	if bytes.Equal(text, r.last) {
		if signaled {
			r.logger.Info("settings-reloaded", "changed", false)
		}
		return
	}
	r.last = text
	settings, err := platform.ReadSettings(text)
	if err != nil {
		r.logger.Error("settings-refused", "error", err.Error())
		return
	}
	r.apply(settings)
	r.logger.Info("settings-reloaded", "changed", true)
}
