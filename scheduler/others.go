package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Load returns the calls that this node has at each group, and the demand for each model.
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

// OfferedLoad returns the number of calls of each model that would be running if all arrivals
// were served: the arrival rate at all nodes, by the last report, times the service time.
// Models without a completed call are left out.
func (s *Scheduler) OfferedLoad(now time.Time) map[garnetworks.ModelName]float64 {
	load := make(map[garnetworks.ModelName]float64)
	for model, p := range s.pools {
		if p.serviceTime > 0 {
			load[model] = (p.demand(now) + p.peerDemand) * p.serviceTime.Seconds()
		}
	}
	return load
}

// recordServiceTime adds the time that a call was at a group to the moving average.
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

// SetPeerLoad sets the load and demand of the other nodes, or that they are unknown, and
// returns decisions on waiting calls (Q6).
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

// resetWindows reinitializes all windows. Whether a window covers the calls of one node or
// of the whole site depends on peersKnown.
func (s *Scheduler) resetWindows() {
	for _, p := range s.pools {
		p.allowance = 0
		for _, g := range p.groups {
			g.peerCalls, g.placed = 0, 0
			g.window = s.initialWindow(g.Slots)
		}
	}
}

// applyPeerLoad sets the peers' calls of a pool and computes the node's allowance. With many
// nodes, a node's proportional share can be less than one slot although slots are free; it
// then gets a minimum, so that it doesn't reject its second call in a burst.
func (s *Scheduler) applyPeerLoad(now time.Time, p *pool, running map[garnetworks.GroupID]int, peerDemand float64, nodes int) {
	freeSlots, runningCalls := 0.0, 0.0
	for _, g := range p.groups {
		g.peerCalls, g.placed = running[g.ID], 0
		runningCalls += float64(g.peerCalls + g.inflight)
		if !g.gone && !now.Before(g.cooldownUntil) && !s.zoneUnreachable(now, g.Zone) && !g.isLost(now) {
			freeSlots += max(0, g.window-float64(g.peerCalls+g.inflight))
		}
	}
	ownDemand := p.demand(now)
	p.peerDemand = peerDemand
	p.share = 1
	if ownDemand+peerDemand > 0 {
		p.share = ownDemand / (ownDemand + peerDemand)
	}
	// Carries over the fractional part, so that a node with few calls gets a whole slot in time.
	remainder := p.allowance - math.Floor(p.allowance)
	p.allowance = freeSlots*p.share + min(max(remainder, 0), 1)
	refillShare := max(p.share, 1/float64(nodes))
	p.refill = refillShare * freeSlots / peerReportDelay.Seconds()
	if p.serviceTime > 0 {
		p.refill += refillShare * runningCalls / p.serviceTime.Seconds()
	}
	if freeSlots >= surplusFactor*(ownDemand+peerDemand)*peerReportDelay.Seconds()+1 {
		p.allowance = max(p.allowance, freeSlots*surplusShare)
	}
	// Between two calls the demand of a node with few calls is near zero. If there is a free
	// slot for each node, it need not wait for the next report.
	p.allowance = max(p.allowance, math.Floor(freeSlots/float64(nodes)))
}
