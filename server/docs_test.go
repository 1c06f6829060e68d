package server

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/garnetworks/garnetworks"
)

// Failure: the callers' documentation lacks an error kind or states another outcome than the
// server, and a client written by it repeats a call that ran.
func TestCallersPageHasEachKind(t *testing.T) {
	page, err := os.ReadFile("../docs/callers.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range garnetworks.ErrorResponses() {
		if a.Kind == garnetworks.KindNotFound {
			// The kinds from here on are only returned to operators and between processes.
			return
		}
		row := fmt.Sprintf("| `%s` | %d | %s |", a.Kind, a.Status, a.Outcome)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/callers.md has no row that begins with %s", row)
		}
	}
}
