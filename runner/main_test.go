package runner

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes what stateful tests draw, so that each run reaches the same
// verdict; flags on the command line go before.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3", "rapid.nofailfile": "true", "rapid.shrinktime": "0s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
