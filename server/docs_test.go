package server

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/garnetworks/garnetworks"
)

// A caller's program is written by the page for callers. A kind whose row is
// missing there, or says another outcome than the node, makes it repeat what ran.
func TestCallersPageHasEachKind(t *testing.T) {
	page, err := os.ReadFile("../docs/callers.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range garnetworks.ErrorResponses() {
		if a.Kind == garnetworks.KindNotFound {
			// From here on the kinds are those of operators and processes.
			return
		}
		row := fmt.Sprintf("| `%s` | %d | %s |", a.Kind, a.Status, a.Outcome)
		if !strings.Contains(string(page), row) {
			t.Errorf("the page has no row that begins %s", row)
		}
	}
}
