package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/garnetworks/garnetworks/configurer"
)

func TestRunBeforeServing(t *testing.T) {
	dir := t.TempDir()
	valid := filepath.Join(dir, "right.yaml")
	invalid := filepath.Join(dir, "wrong.yaml")
	if err := os.WriteFile(valid, []byte(configurer.Example()), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(invalid, []byte(strings.Replace(configurer.Example(), "zone: zone-a", "zoom: zone-a", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		flags  flags
		code   int
		stdout string
		stderr string
	}{
		"version":       {flags{Version: true}, exitOK, version, ""},
		"example":       {flags{PrintExample: true}, exitOK, "listen:", ""},
		"no settings":   {flags{}, exitSettings, "", "settings: file: missing value"},
		"missing file":  {flags{Settings: filepath.Join(dir, "none.yaml")}, exitSettings, "", "can't be read"},
		"valid file":    {flags{Settings: valid, CheckSettings: true}, exitOK, "settings are right", ""},
		"unknown field": {flags{Settings: invalid, CheckSettings: true}, exitSettings, "", `settings: zoom: unknown field "zone-a"`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			if code := run(tt.flags, &stdout, &stderr); code != tt.code {
				t.Errorf("exit code %d, want %d", code, tt.code)
			}
			if !strings.Contains(stdout.String(), tt.stdout) || !strings.Contains(stderr.String(), tt.stderr) {
				t.Errorf("stdout %q, stderr %q", stdout.String(), stderr.String())
			}
		})
	}
}
