package former

import (
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/follower"
)

// loadBudget limits the loads that may begin (rule O5). It is a token bucket whose depth
// is what the site's bounds allow within a window beyond the rate. It starts empty, since
// an earlier lease holder may just have spent its own.
type loadBudget struct {
	rate, depth float64
	tokens      float64
	at          time.Time
}

// loadSlack is the number of loads that a window may contain beyond its rate.
const loadSlack = 3

func (b *loadBudget) configure(profile *garnetworks.EngineProfile, bounds garnetworks.SiteBounds) {
	b.rate = profile.LoadsPerSecond * loadRateFraction
	beyond := profile.LoadsPerSecond * bounds.LoadWindow.Seconds() * (bounds.LoadOverage - loadRateFraction)
	b.depth = max(1, beyond+loadSlack-1)
}

func (b *loadBudget) available(now time.Time) int {
	if !b.at.IsZero() {
		b.tokens = min(b.depth, b.tokens+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	return int(b.tokens)
}

// spend takes a token if the order begins a load.
func (b *loadBudget) spend(o *garnetworks.GroupOrder, servers follower.Servers) {
	s, _ := serverOf(servers, o.Incarnation)
	switch o.Kind {
	case garnetworks.GroupJoin, garnetworks.GroupStage:
		if s.Model != o.Model && !slices.Contains(s.Staged, o.Model) {
			b.tokens--
		}
	}
}
