package gateway

import (
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/retrier"
)

const (
	// minRetryNodes is the least number of nodes among which the site's retries are divided, so
	// that a node that sees few others does not take too large a share.
	minRetryNodes = 6
	// nodeCountRetention is how long a node count is kept after a lower one was reported. It is
	// longer than a usual partition.
	nodeCountRetention = 5 * time.Minute
	// Fractions of the site's retry limit: retryCallShare of its part for each call, or
	// retryStartShare in the first span of a process, and retrySlackShare of its constant part.
	// A span may hold both the retries of a process and those of its successors, so that the
	// first two add up to less than 1. The rest covers nodes that count the nodes differently.
	retryCallShare, retryStartShare, retrySlackShare = 0.7, 0.2, 0.8
)

// countNodes counts the nodes that share the site's retries: all that this node has listed, or that
// report to it; g.mu is held.
func (g *Gateway) countNodes(now time.Time, reporting int) {
	listed := 0
	if g.options.Nodes != nil {
		listed = len(g.options.Nodes())
	}
	g.setNodeCount(now, max(listed, reporting)+1)
}

// setNodeCount sets the number of nodes that share the site's retries, whether this node reaches
// them or not; g.mu is held.
//
// A lower number takes effect only after nodeCountRetention: during a partition the nodes on
// each side would divide the site's retries among themselves and exceed its limit together.
func (g *Gateway) setNodeCount(now time.Time, nodes int) {
	if nodes < g.nodes && now.Sub(g.nodesUpdated) < nodeCountRetention {
		return
	}
	g.nodesUpdated = now
	if nodes != g.nodes {
		g.nodes = nodes
		g.updateRetryLimits()
	}
}

// retryWindow returns the retry window of a service; g.mu is held.
func (g *Gateway) retryWindow(service garnetworks.ServiceName) *retrier.Window {
	w := g.retryWindows[service]
	if w == nil {
		w = retrier.NewWindow(g.retryLimits(), random, g.started)
		g.retryWindows[service] = w
	}
	return w
}

// retryLimits returns this node's share of the site's retry limits; g.mu is held.
func (g *Gateway) retryLimits() retrier.WindowLimits {
	bounds := g.bounds.Load()
	limits := retrier.WindowLimits{
		Span:          bounds.RetryWindow,
		Fraction:      bounds.RetryRatio * retryCallShare,
		StartFraction: bounds.RetryRatio * retryStartShare,
	}
	// A node that knows no other although there should be some would take the share of many.
	if g.nodes > 1 || g.options.Alone {
		limits.Slack = bounds.RetrySlack * retrySlackShare / float64(max(g.nodes, minRetryNodes))
	}
	return limits
}

// updateRetryLimits applies the current limits to all services; g.mu is held.
func (g *Gateway) updateRetryLimits() {
	limits := g.retryLimits()
	for _, w := range g.retryWindows {
		w.SetLimits(limits)
	}
}

// takeRetry takes a retry from the service's window and reports whether it allowed one.
func (g *Gateway) takeRetry(service garnetworks.ServiceName) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.take(now, service)
}

// take implements takeRetry; g.mu is held.
func (g *Gateway) take(now time.Time, service garnetworks.ServiceName) bool {
	allowed := g.retryWindow(service).Take(now)
	g.options.Meter.Retry(service, allowed)
	return allowed
}

func (g *Gateway) recordCall(service garnetworks.ServiceName) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryWindow(service).RecordCall(now)
}

// uncountCall takes the call back from the service's window: the node that took it over counts it
// and its retries (rule T3).
func (x *exchange) uncountCall() {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.retryWindow(x.service.Name).RemoveCall(now)
}
