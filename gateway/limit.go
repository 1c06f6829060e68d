package gateway

import (
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/limiter"
)

// limitsInterval is the time between two updates of the groups' limits, which change with the
// nodes of the site and with the age of what is known of a server.
const limitsInterval = 200 * time.Millisecond

// leavingRetention is how long it is remembered that a server leaves after the server was last
// listed, since its entry may lapse for a while.
const leavingRetention = time.Minute

// view returns what the node knows of the site's nodes.
func (g *Gateway) view(now time.Time) limiter.View {
	v := limiter.View{Self: g.options.Self}
	if g.options.Nodes != nil {
		v.Others = g.options.Nodes()
	}
	v.Settled = now.Sub(g.started) >= limiter.SettleTime && (len(v.Others) > 0 || g.options.Alone)
	return v
}

// serverLimit returns what this node may send to a server; g.mu is held.
func (g *Gateway) serverLimit(now time.Time, view *limiter.View, server garnetworks.Incarnation, cold limiter.Limit) limiter.Limit {
	if _, leaving := g.leaving[server]; leaving {
		return limiter.Never()
	}
	limit := limiter.Stricter(now, cold, g.limits.Limit(now, server, view))
	return limiter.Stricter(now, limit, g.backoffs.Limit(server))
}

// refusesCalls reports whether a server has requested a backoff that has not ended, or leaves. A call
// may have got its slot before that.
func (g *Gateway) refusesCalls(server garnetworks.Incarnation) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	_, leaving := g.leaving[server]
	return leaving || now.Before(g.backoffs[server])
}

// applyLimits updates the groups' limits; g.mu is held.
func (g *Gateway) applyLimits(now time.Time) {
	g.limitsApplied = now
	view := g.view(now)
	for id, h := range g.heads {
		g.scheduler.SetLimit(h.model, id, g.serverLimit(now, &view, h.incarnation, h.cold))
	}
	g.options.Meter.LimitedServers(g.limits.Count())
}

// refreshLimits updates the groups' limits once per limitsInterval while there are any.
func (g *Gateway) refreshLimits(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limits.Count() > 0 && now.Sub(g.limitsApplied) >= limitsInterval {
		g.applyLimits(now)
	}
}

// observeLimit records what a server's answer to a call that was sent at sent says of its limit.
// Only a success shows that the server names none: an error may come from a part of it that knows
// no limit.
func (g *Gateway) observeLimit(server garnetworks.Incarnation, sent time.Time, answer *garnetworks.ProxiedResponse) {
	if !answer.CallLimit.Present && !(answer.FromServer && answer.Status < 300) {
		return
	}
	now := time.Now()
	g.mu.Lock()
	changed := g.limits.Observe(now, sent, server, answer.CallLimit)
	if changed {
		g.applyLimits(now)
	}
	g.mu.Unlock()
	if !changed {
		return
	}
	// A server may name a limit in some of its answers only.
	kind := string(limitEvent(answer.CallLimit.Present))
	if folded, ok := g.successLines.Allow(now, kind); ok {
		g.options.Logger.Info(kind, "instance", server.Instance, "limit", answer.CallLimit.Or(0), "folded", folded)
	}
}

// observeRetryAfter records the backoff that a refusing server requested.
func (g *Gateway) observeRetryAfter(server garnetworks.Incarnation, backoff time.Duration) {
	if backoff <= 0 {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.backoffs.Observe(now, server, backoff)
	g.applyLimits(now)
}

// observeLeaving records that a server announces that it leaves. Its answers may show this before
// its entry does, and the entries of some servers never show it.
func (g *Gateway) observeLeaving(server garnetworks.Incarnation) {
	now := time.Now()
	g.mu.Lock()
	_, known := g.leaving[server]
	g.leaving[server] = now
	if !known {
		g.applyLimits(now)
	}
	g.mu.Unlock()
	if !known {
		g.options.Logger.Info(string(garnetworks.EventServerLeaving), "instance", server.Instance)
	}
}

func limitEvent(begun bool) garnetworks.EventKind {
	if begun {
		return garnetworks.EventServerLimited
	}
	return garnetworks.EventServerLimitEnded
}
