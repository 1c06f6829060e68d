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
		for _, g := range p.groups {
			if g.inflight > 0 {
				report.Groups = append(report.Groups, garnetworks.GroupLoad{Group: g.ID, Running: g.inflight})
			}
		}
	}
	return report
}

// OfferedLoad returns the number of calls that each model's arrivals would keep running, if all of
// them were served: those of all nodes, as last heard, times the time that a call is at a
// group. Models of which no call has been served are left out.
func (s *Scheduler) OfferedLoad(now time.Time) map[garnetworks.ModelName]float64 {
	work := make(map[garnetworks.ModelName]float64)
	for model, p := range s.pools {
		if p.serviceTime > 0 {
			work[model] = (p.demand(now) + p.peerDemand) * p.serviceTime.Seconds()
		}
	}
	return work
}

// held takes how long a call was at a group.
func (p *pool) recordServiceTime(took time.Duration) {
	if p.serviceTime == 0 {
		p.serviceTime = took
	}
	p.serviceTime += time.Duration(serviceTimeWeight * float64(took-p.serviceTime))
}

func (p *pool) demand(now time.Time) float64 {
	if p.demandAt.IsZero() {
		return 0
	}
	return p.demandRate * math.Exp(-float64(now.Sub(p.demandAt))/float64(demandDecay))
}

func (p *pool) recordArrival(now time.Time) {
	p.demandRate = p.demand(now) + 1/demandDecay.Seconds()
	p.demandAt = now
}

// SetPeerLoad takes what the other nodes have and are asked for, and returns the
// calls that can be placed now (Q6).
func (s *Scheduler) SetPeerLoad(now time.Time, peers garnetworks.LoadReport, known bool) []Decision {
	if known != s.peersKnown {
		s.peersKnown = known
		s.resetWindows()
	}
	if !known {
		for _, p := range s.pools {
			p.peerDemand, p.refill = 0, 0
			for _, g := range p.groups {
				g.lost = false
			}
		}
		return s.Advance(now)
	}
	running := make(map[garnetworks.GroupID]int, len(peers.Groups))
	for _, g := range peers.Groups {
		running[g.Group] = g.Running
	}
	demands := make(map[garnetworks.ModelName]float64, len(peers.Demands))
	for _, d := range peers.Demands {
		demands[d.Model] = d.CallsPerSecond
	}
	lost := garnetworks.NewSet(peers.Lost...)
	for model, p := range s.pools {
		for id, g := range p.groups {
			g.lost = lost.Has(id)
		}
		s.applyPeerLoad(now, p, running, demands[model], peers.Nodes+1)
	}
	return s.Advance(now)
}

// resetWindows begins anew when the meaning of the windows changes.
func (s *Scheduler) resetWindows() {
	for _, p := range s.pools {
		p.allowance = 0
		for _, g := range p.groups {
			g.peerCalls, g.placed = 0, 0
			g.window = s.initialWindow(g.Slots)
		}
	}
}

// hear takes the other nodes' calls and divides the places that are free.
//
// Load pattern: 88 nodes, and a model that gets 42 calls a second. A node's part of 80 free
// places is less than one, and its second call in a moment was turned away beside them. All
// nodes together place six calls until they hear of each other again; while far more places
// are free than that, each may take a fifth of them.
func (s *Scheduler) applyPeerLoad(now time.Time, p *pool, running map[garnetworks.GroupID]int, demand float64, nodes int) {
	free, total := 0.0, 0.0
	for _, g := range p.groups {
		g.peerCalls, g.placed = running[g.ID], 0
		total += float64(g.peerCalls + g.inflight)
		if !g.gone && !now.Before(g.cooldownUntil) && !s.zoneUnreachable(now, g.Zone) && !g.isLost(now) {
			free += max(0, g.window-float64(g.peerCalls+g.inflight))
		}
	}
	own := p.demand(now)
	p.peerDemand = demand
	p.share = 1
	if own+demand > 0 {
		p.share = own / (own + demand)
	}
	// What was left of a part of a place is kept, so that a node with few calls
	// gets its whole place in time.
	remainder := p.allowance - math.Floor(p.allowance)
	p.allowance = free*p.share + min(max(remainder, 0), 1)
	fraction := max(p.share, 1/float64(nodes))
	p.refill = fraction * free / peerReportDelay.Seconds()
	if p.serviceTime > 0 {
		p.refill += fraction * total / p.serviceTime.Seconds()
	}
	if free >= surplusFactor*(own+demand)*peerReportDelay.Seconds()+1 {
		p.allowance = max(p.allowance, free*surplusShare)
	}
	// A node with few calls seems to have none between two of them. Where there is a
	// place for each node, it need not wait for the news after its call.
	p.allowance = max(p.allowance, math.Floor(free/float64(nodes)))
}
