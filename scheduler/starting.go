package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// maxObservationAge is the age up to which another node's observations are better than the initial
// values. A node with a call in several seconds still vouches for them; older ones are from another
// load.
const maxObservationAge = 10 * time.Second

// Observations returns what this node has observed of the models that it calls (Q18). Windows are
// left out while the peers' load is unknown, since they cover the calls of this node only then.
func (s *Scheduler) Observations(now time.Time) garnetworks.Observations {
	var list garnetworks.Observations
	for _, model := range slices.Sorted(maps.Keys(s.pools)) {
		p := s.pools[model]
		if p.firstEventAt.IsZero() {
			continue
		}
		m := garnetworks.ModelObservations{
			Model: model, FirstEventMS: p.firstEventTime.Milliseconds(), ServiceMS: p.serviceTime.Milliseconds(), AgeMS: now.Sub(p.firstEventAt).Milliseconds(),
		}
		for _, id := range slices.Sorted(maps.Keys(p.groups)) {
			if g := p.groups[id]; s.peersKnown && !g.gone {
				m.Windows = append(m.Windows, garnetworks.GroupWindow{Group: id, Calls: g.window})
			}
		}
		list.Models = append(list.Models, m)
	}
	return list
}

// TakeOver uses another node's observations for models of which this node has none of its own, if
// they are recent (Q18). It returns the number of these models.
func (s *Scheduler) TakeOver(observations garnetworks.Observations) int {
	taken := 0
	for i := range observations.Models {
		m := &observations.Models[i]
		p := s.pool(m.Model)
		if !p.firstEventAt.IsZero() || m.FirstEventMS <= 0 || time.Duration(m.AgeMS)*time.Millisecond > maxObservationAge {
			continue
		}
		taken++
		p.firstEventTime = time.Duration(m.FirstEventMS) * time.Millisecond
		if p.serviceTime == 0 {
			p.serviceTime = time.Duration(m.ServiceMS) * time.Millisecond
		}
		p.peerWindows = make(map[garnetworks.GroupID]float64, len(m.Windows))
		for _, w := range m.Windows {
			p.peerWindows[w.Group] = w.Calls
		}
		for _, g := range p.groups {
			g.window = s.startWindow(p, &g.Group)
		}
	}
	return taken
}

// startWindow returns the window of a group that is new to the node, or whose window is reset:
// that of another node until this node has observations of its own.
func (s *Scheduler) startWindow(p *pool, g *Group) float64 {
	if calls, ok := p.peerWindows[g.ID]; ok && s.peersKnown {
		return min(max(calls, 1), maxWindow(g.Slots))
	}
	return s.initialWindow(g.Slots)
}
