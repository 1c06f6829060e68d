package gateway

import (
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/limiter"
	"github.com/garnetworks/garnetworks/warmer"
)

// coldLimit returns what this node may send to a server while it is cold.
func (g *Gateway) coldLimit(now time.Time, service *garnetworks.RoutedService, s *garnetworks.RegisteredServer) limiter.Limit {
	if service.ColdCallsPerSecond <= 0 || !now.Before(s.WarmAt) {
		return limiter.Limit{}
	}
	limit := limiter.Limit{Until: s.WarmAt}
	if g.options.Nodes == nil || now.Sub(g.started) < limiter.SettleTime {
		return limit
	}
	bounds := g.bounds.Load()
	perSecond := service.ColdCallsPerSecond*bounds.ColdOverage + bounds.ColdSlack
	limit.Interval = warmer.Interval(g.options.Self, g.options.Nodes(), s.Incarnation(), perSecond)
	return limit
}
