package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks/configurer"
	"github.com/garnetworks/garnetworks/parser"
)

func TestOnceGetsExpectedAnswers(t *testing.T) {
	var stdout, stderr bytes.Buffer
	f := flags{Once: true, Engines: 8, Wait: time.Minute, LogLevel: "error"}
	if code := run(t.Context(), f, &stdout, &stderr); code != exitOK {
		t.Errorf("got exit code %d\n%s\n%s", code, &stdout, &stderr)
	}
}

// Guards against written settings and manifests that garnetd refuses, such as after a field
// was renamed.
func TestWrittenFilesAreValid(t *testing.T) {
	dir := t.TempDir()
	ctx, cancel := context.WithCancel(t.Context())
	var stdout, stderr bytes.Buffer
	ended := make(chan int, 1)
	go func() {
		ended <- run(ctx, flags{StandInsOnly: true, Dir: dir, FirstPort: 7100, Engines: 8}, &stdout, &stderr)
	}()
	manifest := filepath.Join(dir, "manifest.yaml")
	for {
		if data, err := os.ReadFile(manifest); err == nil && strings.HasSuffix(string(data), "...\n") {
			break
		}
		select {
		case code := <-ended:
			t.Fatalf("ended with code %d\n%s", code, &stderr)
		case <-time.After(5 * time.Millisecond):
		}
	}
	cancel()
	if code := <-ended; code != exitOK {
		t.Fatalf("got exit code %d\n%s", code, &stderr)
	}
	for _, zone := range zones {
		if _, err := configurer.Load(filepath.Join(dir, settingsFileName(zone))); err != nil {
			t.Error(err)
		}
	}
	text, err := os.ReadFile(manifest)
	if err != nil {
		t.Fatal(err)
	}
	if _, problems := parser.Parse("manifest.yaml", text); len(problems) > 0 {
		t.Error(problems)
	}
}
