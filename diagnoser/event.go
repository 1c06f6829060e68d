package diagnoser

import (
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// backSpan is how long after its start, or after the object API came back, a node may
// know too little of the groups: it hears of servers within a second and of the other
// nodes' calls within another, and probes take one more.
const backSpan = 3 * time.Second

// sameLoss is how long after a loss was told the same instance's loss is not a new one:
// all nodes tell of it, some seconds apart.
const sameLoss = 10 * time.Second

// history is what events tell of the site.
type history struct {
	zones map[garnetworks.NodeID]garnetworks.ZoneID
	// back holds when each node started, or got the object API back.
	back map[garnetworks.NodeID][]time.Time
	// losses holds when each instance was told to be silent or gone.
	losses map[garnetworks.InstanceID][]time.Time
}

func newHistory() history {
	return history{
		zones:  make(map[garnetworks.NodeID]garnetworks.ZoneID),
		back:   make(map[garnetworks.NodeID][]time.Time),
		losses: make(map[garnetworks.InstanceID][]time.Time),
	}
}

// takeEvent keeps what an event tells.
func (d *Diagnoser) takeEvent(l *line) {
	d.lines.Events++
	h := &d.history
	switch garnetworks.EventKind(l.Message) {
	case garnetworks.EventNodeStarted:
		h.zones[l.Node] = l.Zone
		h.back[l.Node] = append(h.back[l.Node], l.At)
	case garnetworks.EventObjectAPIRestored:
		h.back[l.Node] = append(h.back[l.Node], l.At)
	case garnetworks.EventInstanceUnresponsive, garnetworks.EventServerGone, garnetworks.EventServerLapsed:
		h.losses[l.Server] = append(h.losses[l.Server], l.At)
	}
}

// justBack reports whether a node had started, or had the object API back, a moment
// before.
func (h *history) justBack(node garnetworks.NodeID, at time.Time) bool {
	return slices.ContainsFunc(h.back[node], func(back time.Time) bool {
		return !at.Before(back) && at.Sub(back) < backSpan
	})
}

// lossTimes returns the times of the losses, each loss once.
func (h *history) lossTimes() []time.Time {
	var times []time.Time
	for _, told := range h.losses {
		slices.SortFunc(told, time.Time.Compare)
		var last time.Time
		for _, at := range told {
			if last.IsZero() || at.Sub(last) >= sameLoss {
				times = append(times, at)
			}
			last = at
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}
