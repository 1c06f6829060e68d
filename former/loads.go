package former

import (
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/follower"
)

// loadBudget counts the loads that may begin (rule O5): a token bucket whose
// depth is what the site forgives in a window beyond the rate. It begins empty: an
// earlier holder of the lease may just have spent its own.
type loadBudget struct {
	rate, depth float64
	tokens      float64
	at          time.Time
}

// loadSlack is the number of loads that a window may hold beyond its rate.
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

// count takes the loads that an order begins.
func (b *loadBudget) spend(o *garnetworks.GroupOrder, servers follower.Servers) {
	s, _ := serverOf(servers, o.Incarnation)
	switch o.Kind {
	case garnetworks.GroupJoin, garnetworks.GroupStage:
		if s.Model != o.Model && !slices.Contains(s.Staged, o.Model) {
			b.tokens--
		}
	}
}
