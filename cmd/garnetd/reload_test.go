package main

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/garnetworks/garnetworks"
)

const settingsText = "node: n1\nzone: z1\nlisten: {front: '127.0.0.1:1'}\nplatform: {address: '127.0.0.1:2'}\nbounds: {revoke-ms: "

// Story: the platform tells all nodes by SIGHUP that their settings have changed.
// The nodes were ended by the signal, with all calls in flight.
func TestHangupReloadsSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.yaml")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(settingsText + "5000}\n")
	applied := make(chan garnetworks.NodeSettings, 1)
	f := newSettingsReloader(path, notifyHangups(), hclog.NewNullLogger(), func(site garnetworks.NodeSettings) { applied <- site })
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); f.run(ctx) }()
	write(settingsText + "4000}\n")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if site := <-applied; site.Bounds.RevokeTime != 4*time.Second {
		t.Errorf("applied %s", site.Bounds.RevokeTime)
	}
	stop()
	<-ended
}

// Story: a settings file is being written while it is read, or holds nonsense. What
// was in force stays.
func TestInvalidSettingsAreIgnored(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.yaml")
	f := newSettingsReloader(path, notifyHangups(), hclog.NewNullLogger(), func(garnetworks.NodeSettings) { t.Error("applied") })
	defer f.run(stopped())
	f.reloadIfChanged(true)
	if err := os.WriteFile(path, []byte("node: ["), 0o600); err != nil {
		t.Fatal(err)
	}
	f.reloadIfChanged(true)
}

// stopped returns a context that has ended.
func stopped() context.Context {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	return ctx
}

// Story: a node is stopped as planned and finishes its calls. Meanwhile the platform
// tells all nodes by SIGHUP that their settings have changed. The node no longer caught
// the signal and was ended by it, half a second into its grace period.
func TestHangupDoesNotEndAStoppingNode(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.yaml")
	if err := os.WriteFile(path, []byte(settingsText+"1000}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	f := newSettingsReloader(path, notifyHangups(), hclog.NewNullLogger(), func(garnetworks.NodeSettings) {})
	stopping, stop := context.WithCancel(t.Context())
	stop()
	f.run(stopping)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	// The signal is delivered before this one returns, or ends the test.
	for len(f.signal) == 0 {
		time.Sleep(time.Millisecond)
	}
}
