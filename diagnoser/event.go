package diagnoser

import (
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// catchUpTime is how long after its start, or after the object API came back, a node may
// know too little of the groups: it hears of servers within a second and of the other
// nodes' calls within another, and probes take one more.
const catchUpTime = 3 * time.Second

// lossWindow is how long after a loss was told the same instance's loss is not a new one:
// all nodes tell of it, some seconds apart.
const lossWindow = 10 * time.Second

// history is what events tell of the site.
type history struct {
	zones map[garnetworks.NodeID]garnetworks.ZoneID
	// back holds when each node started, or got the object API back.
	recoveries map[garnetworks.NodeID][]time.Time
	// losses holds when each instance was told to be silent or gone.
	losses map[garnetworks.InstanceID][]time.Time
}

func newHistory() history {
	return history{
		zones:      make(map[garnetworks.NodeID]garnetworks.ZoneID),
		recoveries: make(map[garnetworks.NodeID][]time.Time),
		losses:     make(map[garnetworks.InstanceID][]time.Time),
	}
}

// addEvent keeps what an event tells.
func (d *Diagnoser) addEvent(l *line) {
	d.lines.Events++
	h := &d.history
	switch garnetworks.EventKind(l.Message) {
	case garnetworks.EventNodeStarted:
		h.zones[l.Node] = l.Zone
		h.recoveries[l.Node] = append(h.recoveries[l.Node], l.At)
	case garnetworks.EventObjectAPIRestored:
		h.recoveries[l.Node] = append(h.recoveries[l.Node], l.At)
	case garnetworks.EventInstanceUnresponsive, garnetworks.EventServerGone, garnetworks.EventServerLapsed:
		h.losses[l.Server] = append(h.losses[l.Server], l.At)
	}
}

// recentlyRecovered reports whether a node had started, or had the object API back, a moment
// before.
func (h *history) recentlyRecovered(node garnetworks.NodeID, at time.Time) bool {
	return slices.ContainsFunc(h.recoveries[node], func(back time.Time) bool {
		return !at.Before(back) && at.Sub(back) < catchUpTime
	})
}

// lossTimes returns the times of the losses, each loss once.
func (h *history) lossTimes() []time.Time {
	var times []time.Time
	for _, told := range h.losses {
		slices.SortFunc(told, time.Time.Compare)
		var last time.Time
		for _, at := range told {
			if last.IsZero() || at.Sub(last) >= lossWindow {
				times = append(times, at)
			}
			last = at
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}
