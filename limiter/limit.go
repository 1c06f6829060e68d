package limiter

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/garnetworks/garnetworks"
)

// MaxViews is the number of disjoint sets of nodes that may choose independently: a partition
// separates one availability zone from the others.
const MaxViews = 2

// SettleTime is how long a node may take to learn of the other nodes after its start.
const SettleTime = 5 * time.Second

// unlimitedTime is the end of a limit that has none.
var unlimitedTime = time.Unix(1<<40, 0)

// Limit is what a node may send to one server. The zero value is no limit.
type Limit struct {
	// Until is when the limit ends.
	Until time.Time
	// From is when the first call may be sent, and Interval the time between two calls of this
	// node; 0 if it sends none.
	From     time.Time
	Interval time.Duration
	// Overdue says that nothing was learned of the server for some time, so that a call there is
	// preferred: its answer shows whether the limit has ended.
	Overdue bool
	// Reserved says that the calls are this node's share of a limit, which no other node may use.
	Reserved bool
}

// Never allows no call.
func Never() Limit { return Limit{Until: unlimitedTime} }

// Active reports whether the limit applies.
func (l Limit) Active(now time.Time) bool { return now.Before(l.Until) }

// Next returns when a call may be sent if the last one was sent at lastCall.
func (l Limit) Next(lastCall time.Time) time.Time {
	if l.Interval == 0 {
		return l.Until
	}
	next := lastCall.Add(l.Interval)
	if next.Before(l.From) {
		next = l.From
	}
	if next.After(l.Until) {
		next = l.Until
	}
	return next
}

// Allows reports whether a call may be sent now if the last one was sent at lastCall.
func (l Limit) Allows(now, lastCall time.Time) bool {
	return !l.Active(now) || !now.Before(l.Next(lastCall))
}

// Prefers reports whether a call that the limit allows goes to the server rather than to others if the
// last one was sent at lastCall (rules L5 and L7).
func (l Limit) Prefers(now, lastCall time.Time) bool {
	if !l.Allows(now, lastCall) || !l.Active(now) {
		return false
	}
	return l.Overdue || l.Reserved && now.Sub(l.Next(lastCall)) >= l.Interval
}

// Stricter returns a limit that keeps both a and b.
func Stricter(now time.Time, a, b Limit) Limit {
	switch {
	case !a.Active(now):
		return b
	case !b.Active(now):
		return a
	}
	if b.Until.After(a.Until) {
		a.Until = b.Until
	}
	if b.From.After(a.From) {
		a.From = b.From
	}
	if a.Interval == 0 || b.Interval == 0 {
		a.Interval = 0
	} else {
		a.Interval = max(a.Interval, b.Interval)
	}
	a.Overdue = a.Overdue || b.Overdue
	a.Reserved = a.Reserved && b.Reserved
	return a
}

// Calls holds the time of a node's last call to each server that was limited at the time.
type Calls map[garnetworks.Incarnation]time.Time

// Allows reports whether a call to the server may be sent now.
func (c Calls) Allows(now time.Time, server garnetworks.Incarnation, limit Limit) bool {
	return limit.Allows(now, c[server])
}

// Record records that a call is sent to the server now.
func (c Calls) Record(now time.Time, server garnetworks.Incarnation, limit Limit) {
	if limit.Active(now) {
		c[server] = now
	}
}

// Retain removes the servers for which has returns false.
func (c Calls) Retain(has func(garnetworks.Incarnation) bool) {
	for server := range c {
		if !has(server) {
			delete(c, server)
		}
	}
}

// Rank returns the number of other nodes that are chosen for a server before this one.
func Rank(self garnetworks.NodeID, others []garnetworks.NodeInfo, server garnetworks.Incarnation) int {
	own := weight(self, server)
	before := 0
	for i := range others {
		if others[i].ID == self {
			continue
		}
		if cmp.Or(cmp.Compare(weight(others[i].ID, server), own), cmp.Compare(self, others[i].ID)) > 0 {
			before++
		}
	}
	return before
}

// firstRanks returns the other nodes among the count nodes that are chosen for a server first.
func firstRanks(count int, view *View, server garnetworks.Incarnation) []garnetworks.NodeInfo {
	type ranked struct {
		garnetworks.NodeInfo
		weight uint64
	}
	first := make([]ranked, 0, count+1)
	add := func(node garnetworks.NodeInfo) {
		r := ranked{node, weight(node.ID, server)}
		if len(first) == count && r.weight < first[count-1].weight {
			return
		}
		at, _ := slices.BinarySearchFunc(first, r, func(a, b ranked) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.ID, b.ID))
		})
		first = slices.Insert(first, at, r)
		first = first[:min(len(first), count)]
	}
	add(garnetworks.NodeInfo{ID: view.Self})
	for i := range view.Others {
		if view.Others[i].ID != view.Self {
			add(view.Others[i])
		}
	}
	var others []garnetworks.NodeInfo
	for i := range first {
		if first[i].ID != view.Self {
			others = append(others, first[i].NodeInfo)
		}
	}
	return others
}

func weight(node garnetworks.NodeID, server garnetworks.Incarnation) uint64 {
	const separator = "\x00"
	return xxhash.Sum64String(string(server.Instance) + separator + string(node))
}
