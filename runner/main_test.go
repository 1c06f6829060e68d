package runner

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed and number of rapid's checks, so that runs are reproducible.
// Command-line flags take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3", "rapid.nofailfile": "true", "rapid.shrinktime": "0s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
