package former

import (
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/follower"
)

// Loads begun by successive lease holders must stay within the site's limit in every window, so
// a new holder must not start with a full budget.
func TestLoadsStayUnderLimit(t *testing.T) {
	profile := &garnetworks.EngineProfile{LoadsPerSecond: 5.5}
	bounds := garnetworks.SiteBounds{LoadWindow: 5 * time.Second, LoadOverage: 1.1}
	limit := profile.LoadsPerSecond*bounds.LoadWindow.Seconds()*bounds.LoadOverage + loadSlack
	var begun []time.Time
	now := time.Unix(0, 0)
	for holder := range 4 {
		var b loadBudget
		for range 30 + 40*holder {
			now = now.Add(100 * time.Millisecond)
			b.configure(profile, bounds)
			for range b.available(now) {
				b.spend(&garnetworks.GroupOrder{Kind: garnetworks.GroupStage, Model: "m"}, follower.Servers{})
				begun = append(begun, now)
			}
		}
	}
	for i, from := range begun {
		in := 0
		for _, at := range begun[i:] {
			if at.Sub(from) < bounds.LoadWindow {
				in++
			}
		}
		if float64(in) > limit {
			t.Fatalf("%d loads begin within %s of %s, the limit is %.1f", in, bounds.LoadWindow, from, limit)
		}
	}
	if len(begun) < 50 {
		t.Errorf("only %d loads began", len(begun))
	}
}
