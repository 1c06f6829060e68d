package diagnoser

import (
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// catchUpTime is how long after its start, or after the object API came back, a node may
// lack state: it learns of servers, of the other nodes' calls and of probe results, each
// within about a second.
const catchUpTime = 3 * time.Second

// lossWindow is the time after a report of an instance's loss within which the next report
// is of the same loss, since every node reports it, some seconds apart.
const lossWindow = 10 * time.Second

// history holds what the event lines say about the site.
type history struct {
	zones map[garnetworks.NodeID]garnetworks.ZoneID
	// recoveries holds when each node started or regained the object API.
	recoveries map[garnetworks.NodeID][]time.Time
	// losses holds when each instance was reported unresponsive or gone.
	losses map[garnetworks.InstanceID][]time.Time
}

func newHistory() history {
	return history{
		zones:      make(map[garnetworks.NodeID]garnetworks.ZoneID),
		recoveries: make(map[garnetworks.NodeID][]time.Time),
		losses:     make(map[garnetworks.InstanceID][]time.Time),
	}
}

// addEvent stores what an event line says.
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

// recentlyRecovered reports whether a node had started, or regained the object API, less
// than catchUpTime before.
func (h *history) recentlyRecovered(node garnetworks.NodeID, at time.Time) bool {
	return slices.ContainsFunc(h.recoveries[node], func(recovery time.Time) bool {
		return !at.Before(recovery) && at.Sub(recovery) < catchUpTime
	})
}

// lossTimes returns the sorted times of all losses, without repeated reports.
func (h *history) lossTimes() []time.Time {
	var times []time.Time
	for _, reports := range h.losses {
		slices.SortFunc(reports, time.Time.Compare)
		var last time.Time
		for _, at := range reports {
			if last.IsZero() || at.Sub(last) >= lossWindow {
				times = append(times, at)
			}
			last = at
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}
