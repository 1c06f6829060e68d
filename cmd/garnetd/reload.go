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

// settingsPollInterval is how often the settings file is checked for changes without a signal.
const settingsPollInterval = 5 * time.Second

// settingsReloader applies the settings file whenever it has changed.
//
// The platform sends SIGHUP after changing the file. Uncaught, the signal would end the
// process with all its calls in flight, also while the node is shutting down, so it is
// caught until the process exits.
type settingsReloader struct {
	path   string
	last   []byte
	logger hclog.Logger
	apply  func(garnetworks.NodeSettings)
	signal chan os.Signal
}

// notifyHangups starts catching SIGHUP and returns the channel that receives the signals.
func notifyHangups() chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// newSettingsReloader reads the file as it stands, without applying it; run applies later
// changes.
func newSettingsReloader(path string, hangups chan os.Signal, logger hclog.Logger, apply func(garnetworks.NodeSettings)) *settingsReloader {
	r := &settingsReloader{path: path, logger: logger, apply: apply, signal: hangups}
	var err error
	if r.last, err = os.ReadFile(path); err != nil {
		logger.Error("settings-refused", "error", err.Error())
	}
	return r
}

// run reloads the file on each SIGHUP and at each poll until ctx ends.
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

// reloadIfChanged applies the file if it has changed. A file that is unreadable or invalid is
// logged and changes nothing. If signaled, an unchanged file is logged as well.
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
