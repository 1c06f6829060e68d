package router

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// loadHorizon is the age from which a report counts no more than the mean (R7). It is long
	// compared to the report interval, since a call holds its slot for seconds.
	loadHorizon = 10 * time.Second
	// defaultCapacity is assumed for an engine that reports none.
	defaultCapacity = 32
	// refreshInterval is the minimum time between two computations of a scope's means.
	refreshInterval = 50 * time.Millisecond
)

// load is the load of a group as known to the node.
type load struct {
	// own is the number of this node's calls in flight; never negative.
	own int
	// reportedOthers is the reported load minus this node's calls at the time of the report.
	reportedOthers float64
	// reportedAt is the time of the report in Unix nanoseconds; 0 if there is none.
	reportedAt int64
	capacity   float64
	// expected is reportedOthers adjusted for its age at the last refresh.
	expected float64
}

// update stores a report if it is newer than the current one and not empty.
func (l *load) update(now int64, report garnetworks.EngineLoad) {
	at := now
	if !report.At.IsZero() {
		at = min(now, report.At.UnixNano())
	}
	if at <= l.reportedAt || report.Capacity <= 0 && report.Running == 0 && report.Waiting == 0 {
		return
	}
	l.reportedAt = at
	l.capacity = defaultCapacity
	if report.Capacity > 0 {
		l.capacity = float64(report.Capacity)
	}
	l.reportedOthers = max(0, float64(report.Running+report.Waiting-l.own))
	l.expected = l.reportedOthers
}

// freshness returns the weight of the report: 1 when new, falling to 0 at loadHorizon.
func (l *load) freshness(now int64) float64 {
	if l.reportedAt == 0 {
		return 0
	}
	return max(0, 1-float64(now-l.reportedAt)/float64(loadHorizon))
}

// refresh computes expected; mean is the mean number of other nodes' calls per slot.
func (l *load) refresh(now int64, mean float64) {
	f := l.freshness(now)
	l.expected = f*l.reportedOthers + (1-f)*mean*l.capacity
}

// inUse returns the expected number of calls that the group has now.
func (l *load) inUse() float64 { return float64(l.own) + l.expected }
