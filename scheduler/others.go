package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Load returns what this node has at each group, and is asked for.
func (s *Scheduler) Load(now time.Time) garnetworks.LoadReport {
	var report garnetworks.LoadReport
	for _, model := range slices.Sorted(maps.Keys(s.pools)) {
		p := s.pools[model]
		report.Demands = append(report.Demands, garnetworks.ModelDemand{Model: model, CallsPerSecond: p.demand(now)})
		for _, l := range p.places {
			if l.inflight > 0 {
				report.Groups = append(report.Groups, garnetworks.GroupLoad{Group: l.ID, Running: l.inflight})
			}
		}
	}
	return report
}

// Work returns the number of calls that each model's arrivals would keep running, if all of
// them were served: those of all nodes, as last heard, times the time that a call is at a
// group. Models of which no call has been served are left out.
func (s *Scheduler) Work(now time.Time) map[garnetworks.ModelName]float64 {
	work := make(map[garnetworks.ModelName]float64)
	for model, p := range s.pools {
		if p.heldTime > 0 {
			work[model] = (p.demand(now) + p.othersDemand) * p.heldTime.Seconds()
		}
	}
	return work
}

// held takes how long a call was at a group.
func (p *pool) held(took time.Duration) {
	if p.heldTime == 0 {
		p.heldTime = took
	}
	p.heldTime += time.Duration(heldTimeWeight * float64(took-p.heldTime))
}

func (p *pool) demand(now time.Time) float64 {
	if p.arrivedAt.IsZero() {
		return 0
	}
	return p.arrivals * math.Exp(-float64(now.Sub(p.arrivedAt))/float64(demandMemory))
}

func (p *pool) arrived(now time.Time) {
	p.arrivals = p.demand(now) + 1/demandMemory.Seconds()
	p.arrivedAt = now
}

// SetOthers takes what the other nodes have and are asked for, and returns the
// calls that can be placed now (Q6).
func (s *Scheduler) SetOthers(now time.Time, others garnetworks.LoadReport, known bool) []Decision {
	if known != s.known {
		s.known = known
		s.resetWindows()
	}
	if !known {
		for _, p := range s.pools {
			p.othersDemand, p.refill = 0, 0
			for _, l := range p.places {
				l.lost = false
			}
		}
		return s.Advance(now)
	}
	running := make(map[garnetworks.GroupID]int, len(others.Groups))
	for _, l := range others.Groups {
		running[l.Group] = l.Running
	}
	demands := make(map[garnetworks.ModelName]float64, len(others.Demands))
	for _, d := range others.Demands {
		demands[d.Model] = d.CallsPerSecond
	}
	lost := garnetworks.NewSet(others.Lost...)
	for model, p := range s.pools {
		for id, l := range p.places {
			l.lost = lost.Has(id)
		}
		s.hear(now, p, running, demands[model], others.Nodes+1)
	}
	return s.Advance(now)
}

// resetWindows begins anew when the meaning of the windows changes.
func (s *Scheduler) resetWindows() {
	for _, p := range s.pools {
		p.allowance = 0
		for _, l := range p.places {
			l.others, l.placed = 0, 0
			l.window = s.firstWindow(l.Slots)
		}
	}
}

// hear takes the other nodes' calls and divides the places that are free.
//
// Load pattern: 88 nodes, and a model that gets 42 calls a second. A node's part of 80 free
// places is less than one, and its second call in a moment was turned away beside them. All
// nodes together place six calls until they hear of each other again; while far more places
// are free than that, each may take a fifth of them.
func (s *Scheduler) hear(now time.Time, p *pool, running map[garnetworks.GroupID]int, demand float64, nodes int) {
	free, all := 0.0, 0.0
	for _, l := range p.places {
		l.others, l.placed = running[l.ID], 0
		all += float64(l.others + l.inflight)
		if !l.gone && !now.Before(l.restUntil) && !s.cutOff(now, l.Zone) && !l.isLost(now) {
			free += max(0, l.window-float64(l.others+l.inflight))
		}
	}
	own := p.demand(now)
	p.othersDemand = demand
	p.share = 1
	if own+demand > 0 {
		p.share = own / (own + demand)
	}
	// What was left of a part of a place is kept, so that a node with few calls
	// gets its whole place in time.
	rest := p.allowance - math.Floor(p.allowance)
	p.allowance = free*p.share + min(max(rest, 0), 1)
	part := max(p.share, 1/float64(nodes))
	p.refill = part * free / newsTime.Seconds()
	if p.heldTime > 0 {
		p.refill += part * all / p.heldTime.Seconds()
	}
	if free >= plenty*(own+demand)*newsTime.Seconds()+1 {
		p.allowance = max(p.allowance, free*plentyPart)
	}
	// A node with few calls seems to have none between two of them. Where there is a
	// place for each node, it need not wait for the news after its call.
	p.allowance = max(p.allowance, math.Floor(free/float64(nodes)))
}
