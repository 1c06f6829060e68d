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

// Guards against SIGHUP, by which the platform announces changed settings, ending the node
// with its calls in flight.
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

// Guards against a partly written or invalid settings file replacing the settings in force.
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

// stopped returns a canceled context.
func stopped() context.Context {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	return ctx
}

// Guards against SIGHUP ending a node during its shutdown grace period, with calls in flight.
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
	// The signal may be delivered after Kill returns; if it isn't caught, it ends the test.
	for len(f.signal) == 0 {
		time.Sleep(time.Millisecond)
	}
}
