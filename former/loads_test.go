package former

import (
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/follower"
)

// Story: a domain comes back and wants many loads at once, and the lease passes on
// in the middle. Two holders in a row each spend a whole budget, and the weight
// store gets more than the site allows in some window.
func TestLoadsStayUnderLimit(t *testing.T) {
	profile := &garnetworks.EngineProfile{LoadsPerSecond: 5.5}
	bounds := garnetworks.SiteBounds{LoadWindow: 5 * time.Second, LoadOverage: 1.1}
	ceiling := profile.LoadsPerSecond*bounds.LoadWindow.Seconds()*bounds.LoadOverage + loadSlack
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
		if float64(in) > ceiling {
			t.Fatalf("%d loads begin within %s of %s, the ceiling is %.1f", in, bounds.LoadWindow, from, ceiling)
		}
	}
	if len(begun) < 50 {
		t.Errorf("only %d loads began", len(begun))
	}
}
