package limiter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// What a server tolerates beyond its limit: in any toleranceWindow tolerance times what the limit
// allows, and toleranceSlack calls.
const (
	toleranceWindow = 4 * time.Second
	tolerance       = 1.5
	toleranceSlack  = 5.0
)

const (
	// nodesPerCall is the number of chosen nodes for each call per second of a limit, in addition
	// to those that the slack allows. More nodes share the calls more evenly, but each may send
	// one at the beginning of a window.
	nodesPerCall = 0.4
	// minRate is the least number of calls per second that are sent to a server whatever its
	// limit: without them no node would learn that the limit has ended.
	minRate = 0.2
	// minStaleTime is the time without a report of a limited server after which the chosen nodes
	// prefer it, and after twice that more nodes are chosen (rule L5). It spans several reports.
	// staleCalls is the same as a number of calls.
	minStaleTime = 3 * time.Second
	staleCalls   = 4
	// maxDoublings limits how often the number of chosen nodes doubles.
	maxDoublings = 20
	// announceTime is how long an observation is reported, long enough for a lost report or two.
	// An unchanged limit is reported again after announceInterval.
	announceTime     = 450 * time.Millisecond
	announceInterval = 2 * time.Second
	// changedFraction is the relative change from which a limit is reported at once.
	changedFraction = 0.1
	// reportDelay is the longest time for which a report is under way without growing older.
	reportDelay = time.Second
	// endedTime is how long the end of a limit is remembered and reported, so that nodes that
	// were out of touch learn of it.
	endedTime = time.Minute
	// MaxReported limits the servers in a report.
	MaxReported = 64
)

// View is what a node knows of the site's nodes.
type View struct {
	Self garnetworks.NodeID
	// Others are the other nodes. A changed membership must come in a new slice.
	Others []garnetworks.NodeInfo
	// Settled says that the node has had the time to learn of the others (rule L3).
	Settled bool
}

// none is the CallsPerSecond of a server that names no limit any more.
const none = -1.0

// named is what a node knows of a server that names a limit.
type named struct {
	// perSecond is the limit, or none; at is when the newest answer that is known arrived.
	perSecond float64
	at        time.Time
	// announced is the observation that this node reports, from announcedAt on.
	announced   float64
	announcedAt time.Time
	// rank is the node's rank among the nodes that rankedAmong holds.
	rank        int
	ranked      bool
	rankedAmong []garnetworks.NodeInfo
	// sharers are the other nodes among the sharersOf first ranks of sharersAmong.
	sharers      []garnetworks.NodeInfo
	sharersOf    int
	sharersAmong []garnetworks.NodeInfo
	// from and interval are those of the last Limit.
	from     time.Time
	interval time.Duration
}

func (n *named) ended() bool { return n.perSecond < 0 }

// Limits holds the limits that servers named to this node or, by their reports, to others. It is
// not safe for concurrent use.
type Limits struct {
	random  func() float64
	servers map[garnetworks.Incarnation]*named
}

// NewLimits returns a Limits without servers; random must return values in [0, 1).
func NewLimits(random func() float64) *Limits {
	return &Limits{random: random, servers: make(map[garnetworks.Incarnation]*named)}
}

// Count returns the number of servers that name a limit.
func (l *Limits) Count() int {
	count := 0
	for _, n := range l.servers {
		if !n.ended() {
			count++
		}
	}
	return count
}

// Knows reports whether a server names a limit, or did a short time ago.
func (l *Limits) Knows(server garnetworks.Incarnation) bool {
	_, ok := l.servers[server]
	return ok
}

// Observe records the limit in a server's answer, or that the answer to a call that was sent at
// sent names none. It reports whether a limit has begun or ended.
func (l *Limits) Observe(now, sent time.Time, server garnetworks.Incarnation, limit garnetworks.Option[float64]) bool {
	n := l.servers[server]
	if !limit.Present && (n == nil || !n.ended() && !sent.After(n.at)) { // rule L4
		return false
	}
	if n == nil {
		n = &named{perSecond: none, announced: none}
		l.servers[server] = n
	}
	wasEnded := n.ended()
	n.perSecond, n.at = limit.Or(none), now
	if now.Sub(n.announcedAt) >= announceInterval || differs(n.announced, n.perSecond) {
		n.announced, n.announcedAt = n.perSecond, now
	}
	return wasEnded != n.ended()
}

// differs reports whether a limit has changed so much that other nodes need to know at once.
func differs(before, after float64) bool {
	return (before < 0) != (after < 0) || math.Abs(after-before) > changedFraction*before
}

// Report returns what this node's own calls showed recently (rule L4).
func (l *Limits) Report(now time.Time) []garnetworks.ServerLimit {
	var list []garnetworks.ServerLimit
	for server, n := range l.servers {
		if age := now.Sub(n.announcedAt); age <= announceTime {
			list = append(list, garnetworks.ServerLimit{Instance: server.Instance, StartMS: server.StartMS, CallsPerSecond: n.announced, AgeMS: age.Milliseconds()})
		}
	}
	slices.SortFunc(list, func(a, b garnetworks.ServerLimit) int {
		return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), a.Incarnation().Compare(b.Incarnation()))
	})
	return list[:min(len(list), MaxReported)]
}

// Merge records what other nodes report, and reports whether a limit has begun or ended.
func (l *Limits) Merge(now time.Time, reports []garnetworks.ServerLimit) bool {
	changed := false
	for i := range reports {
		r := &reports[i]
		at := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
		n := l.servers[r.Incarnation()]
		switch {
		case n == nil && r.CallsPerSecond < 0:
			continue
		case n == nil:
			n = &named{perSecond: none, announced: none}
			l.servers[r.Incarnation()] = n
		case n.ended() != (r.CallsPerSecond < 0) && at.Sub(n.at) <= reportDelay:
			// The report may be older than it seems.
			continue
		case !at.After(n.at):
			continue
		}
		changed = changed || n.ended() != (r.CallsPerSecond < 0)
		n.perSecond, n.at = max(r.CallsPerSecond, none), at
	}
	return changed
}

// Retain removes limits that ended, and servers for which has returns false, if nothing was learned
// of them for endedTime. The entry of a server that still runs may lapse for a while.
func (l *Limits) Retain(now time.Time, has func(garnetworks.Incarnation) bool) {
	for server, n := range l.servers {
		if (n.ended() || !has(server)) && now.Sub(n.at) > endedTime {
			delete(l.servers, server)
		}
	}
}

// Limit returns what the node may send to a server.
func (l *Limits) Limit(now time.Time, server garnetworks.Incarnation, view *View) Limit {
	n := l.servers[server]
	if n == nil || n.ended() {
		return Limit{}
	}
	interval, overdue := n.share(now, server, view)
	if n.interval == 0 && interval > 0 {
		// A random phase keeps nodes that are chosen at the same time apart.
		n.from = now.Add(time.Duration(l.random() * float64(interval)))
	}
	n.interval = interval
	return Limit{Until: unlimitedTime, From: n.from, Interval: interval, Overdue: overdue, Reserved: interval > 0 && n.perSecond > 0}
}

// Share is the part of a server's limit that another node may use.
type Share struct {
	Node           garnetworks.NodeInfo
	CallsPerSecond float64
}

// Shares returns the shares of other nodes in a server's limit; none if it names no limit, or takes
// no calls.
func (l *Limits) Shares(server garnetworks.Incarnation, view *View) []Share {
	n := l.servers[server]
	if n == nil || n.perSecond <= 0 || !view.Settled { // rule L3
		return nil
	}
	chosen := min(chosenNodes(n.perSecond), len(view.Others)+1)
	if n.sharersOf != chosen || !garnetworks.SameSlice(n.sharersAmong, view.Others) {
		n.sharers, n.sharersOf, n.sharersAmong = firstRanks(chosen, view, server), chosen, view.Others
	}
	rate := totalRate(n.perSecond, chosen) / float64(chosen)
	shares := make([]Share, len(n.sharers))
	for i := range n.sharers {
		shares[i] = Share{n.sharers[i], rate}
	}
	return shares
}

// share returns the time between two calls of the node, 0 if it is not chosen, and Limit.Overdue.
func (n *named) share(now time.Time, server garnetworks.Incarnation, view *View) (interval time.Duration, overdue bool) {
	if !view.Settled { // rule L3
		return 0, false
	}
	if !n.ranked || !garnetworks.SameSlice(n.rankedAmong, view.Others) {
		n.rank, n.ranked, n.rankedAmong = Rank(view.Self, view.Others, server), true, view.Others
	}
	chosen := min(chosenNodes(n.perSecond), len(view.Others)+1)
	rate := totalRate(n.perSecond, chosen)
	staleTime := max(minStaleTime, time.Duration(staleCalls/rate*float64(time.Second)))
	periods := int(now.Sub(n.at) / staleTime)
	if doublings := min(max(0, periods-1), maxDoublings); doublings > 0 { // rule L5
		chosen = min(chosen<<doublings, len(view.Others)+1)
	}
	if n.rank >= chosen {
		return 0, false
	}
	return time.Duration(float64(chosen) / rate * float64(time.Second)), periods > 0
}

// chosenNodes returns the number of nodes that may call a server with a limit.
func chosenNodes(perSecond float64) int {
	return int(toleranceSlack/MaxViews + nodesPerCall*perSecond)
}

// totalRate returns the calls per second that the chosen nodes send together: at most the limit,
// and so few that MaxViews times as many nodes keep the servers' tolerance (rule L2).
func totalRate(perSecond float64, chosen int) float64 {
	perSecond = max(perSecond, minRate)
	window := toleranceWindow.Seconds()
	tolerated := (tolerance*perSecond*window + toleranceSlack) / (MaxViews * window)
	return min(perSecond, tolerated-float64(chosen)/window)
}
