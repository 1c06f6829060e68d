// Package warmer limits the calls that a backend server gets while it is cold, from all nodes
// together and without any agreement between them.
//
// Load pattern: an availability zone returns with cold servers while the others are at their
// limit. Each node then has calls waiting, and if each sent only one to a server, the server
// would get more than it takes and crash.
//
//	H1  A cold server gets calls from a few nodes only, which rendezvous hashing chooses,
//	    and from each of them one call per CallInterval. So no node has to know what the
//	    others send, and the total does not grow with the number of nodes.
//	H2  The chosen nodes are so few that the server's bound holds even if the nodes are
//	    partitioned into limiter.MaxViews sets, each of which chooses for itself.
//	H3  A node sends nothing to a cold server before it has run for limiter.SettleTime, or while it
//	    knows no other node: it may know few of the nodes that exist, and would wrongly find
//	    itself among the chosen.
//	H4  What the servers of a returning zone report may be older than their being cold. They
//	    count as cold until they have had the time for a new report.
package warmer

import (
	"cmp"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/limiter"
)

const (
	// CallInterval is the time between two calls of a chosen node to a cold server.
	CallInterval = 300 * time.Millisecond
	// callsPerWindow is the most calls that a chosen node sends in any second.
	callsPerWindow = int(time.Second/CallInterval) + 1
	// reportIntervals is the number of heartbeat intervals after which a server's report has
	// reached the nodes (rule H4): one until it is written, one for its way.
	reportIntervals = 2
)

// ReportTime returns how long servers of a returning zone count as cold (rule H4).
func ReportTime(heartbeat time.Duration) time.Duration { return reportIntervals * heartbeat }

// Chosen returns the number of nodes that may call a server that takes perSecond calls in a
// second while it is cold (rules H1 and H2).
func Chosen(perSecond float64) int { return int(perSecond) / (callsPerWindow * limiter.MaxViews) }

// Interval returns the limiter.Limit.Interval of a node that knows the others, for a cold server.
func Interval(self garnetworks.NodeID, others []garnetworks.NodeInfo, server garnetworks.Incarnation, perSecond float64) time.Duration {
	if len(others) == 0 { // rule H3
		return 0
	}
	if limiter.Rank(self, others, server) >= Chosen(perSecond) {
		return 0
	}
	return CallInterval
}

// Prefer orders servers for new work: warm ones first, then those that are warm soonest.
func Prefer(now time.Time, a, b *garnetworks.RegisteredServer) int {
	left := func(s *garnetworks.RegisteredServer) time.Duration { return max(0, s.WarmAt.Sub(now)) }
	return cmp.Compare(left(a), left(b))
}
