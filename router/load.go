package router

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// loadHorizon is the age at which a report tells no more than the mean does
	// (R7). A call holds its slot for some seconds, so that a load lasts longer
	// than the reports of it take.
	loadHorizon = 10 * time.Second
	// defaultCapacity is taken for an engine that reports none.
	defaultCapacity = 32
	// refreshInterval is the time between two computations of a pool's mean.
	refreshInterval = 50 * time.Millisecond
)

// load is what a node knows of a group's load.
type load struct {
	// own is the number of the node's calls in flight; never below 0.
	own int
	// others is the reported load without the node's own calls at that time.
	reportedOthers float64
	// at is when the report was measured, in nanoseconds; 0 if there was none.
	reportedAt int64
	capacity   float64
	// expected is others discounted by its age, as of the last refresh.
	expected float64
}

// report takes a report unless a newer one is known.
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

// fresh returns how much the report counts: 1 when new, 0 from loadHorizon on.
func (l *load) freshness(now int64) float64 {
	if l.reportedAt == 0 {
		return 0
	}
	return max(0, 1-float64(now-l.reportedAt)/float64(loadHorizon))
}

// refresh computes expected from the mean of the others' calls on a slot.
func (l *load) refresh(now int64, mean float64) {
	f := l.freshness(now)
	l.expected = f*l.reportedOthers + (1-f)*mean*l.capacity
}

// inUse returns the calls that the group is expected to have now.
func (l *load) inUse() float64 { return float64(l.own) + l.expected }
