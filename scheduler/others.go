package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Load returns the number of this node's calls at each group that has any, and this node's
// arrival rate of calls to each model.
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
// were served: the node's own arrival rate plus that of its peers by their last report (0
// while unknown), times the service time. Models without a completed call are left out.
func (s *Scheduler) OfferedLoad(now time.Time) map[garnetworks.ModelName]float64 {
	load := make(map[garnetworks.ModelName]float64)
	for model, p := range s.pools {
		if p.serviceTime > 0 {
			load[model] = (p.demand(now) + p.peerDemand) * p.serviceTime.Seconds()
		}
	}
	return load
}

// recordServiceTime adds the time from a call's dispatch to its end to the moving average.
func (p *pool) recordServiceTime(took time.Duration) {
	if p.serviceTime == 0 {
		p.serviceTime = took
	}
	p.serviceTime += time.Duration(serviceTimeWeight * float64(took-p.serviceTime))
}

// demand returns the arrival rate in calls per second, an exponential average with the time
// constant demandDecay.
func (p *pool) demand(now time.Time) float64 {
	if p.demandAt.IsZero() {
		return 0
	}
	return p.demandRate * math.Exp(-float64(now.Sub(p.demandAt))/float64(demandDecay))
}

// recordArrival adds a call's arrival to the average arrival rate.
func (p *pool) recordArrival(now time.Time) {
	p.demandRate = p.demand(now) + 1/demandDecay.Seconds()
	p.demandAt = now
}

// SetPeerLoad sets the load and demand of the other nodes by a new report and returns decisions
// on waiting calls (Q6). If known is false, there is no report: peers is ignored.
func (s *Scheduler) SetPeerLoad(now time.Time, peers garnetworks.LoadReport, known bool) []Decision {
	if known != s.peersKnown {
		s.peersKnown = known
		s.resetWindows()
	}
	if !known {
		for _, p := range s.pools {
			// share keeps its last value; allowance isn't read while the peers are unknown.
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

// resetWindows clears what depends on whether the peers' load is known: the allowances, the
// calls of peers, and the windows, which cover the calls of one node or of the whole site.
func (s *Scheduler) resetWindows() {
	for _, p := range s.pools {
		p.allowance = 0
		for _, g := range p.groups {
			g.peerCalls, g.placed = 0, 0
			g.window = s.initialWindow(g.Slots)
		}
	}
}

// applyPeerLoad sets the peers' calls of a pool and computes the node's allowance. peerDemand
// is in calls per second; nodes includes this one.
func (s *Scheduler) applyPeerLoad(now time.Time, p *pool, running map[garnetworks.GroupID]int, peerDemand float64, nodes int) {
	freeSlots, runningCalls := 0.0, 0.0
	// limitedPlaces are the calls of this node that limited groups take until the next report.
	limitedPlaces := 0.0
	othersReachable := s.anyZoneReachable(now, p)
	for _, g := range p.groups {
		g.peerCalls, g.placed = running[g.ID], 0
		runningCalls += float64(g.peerCalls + g.inflight)
		if g.gone || now.Before(g.cooldownUntil) || othersReachable && s.zoneUnreachable(now, g.Zone) || g.isLost(now) { // Q10
			continue
		}
		if g.Limit.Active(now) {
			limitedPlaces += float64(min(g.placesWithin(now, peerReportDelay), g.Slots))
			continue
		}
		freeSlots += max(0, g.window-float64(g.peerCalls+g.inflight))
	}
	ownDemand := p.demand(now)
	p.peerDemand = peerDemand
	p.share = 1
	if ownDemand+peerDemand > 0 {
		p.share = ownDemand / (ownDemand + peerDemand)
	}
	// The fraction of a slot is carried over, so that small shares add up to a slot.
	remainder := p.allowance - math.Floor(p.allowance)
	p.allowance = freeSlots*p.share + min(max(remainder, 0), 1)
	// The share of a node with few calls can be close to 0. At least 1/nodes is assumed here, so
	// that the node doesn't overestimate its wait and reject calls (Q1).
	refillShare := max(p.share, 1/float64(nodes))
	p.refill = refillShare * freeSlots / peerReportDelay.Seconds()
	if p.serviceTime > 0 {
		p.refill += refillShare * runningCalls / p.serviceTime.Seconds()
	}
	// While there are many free slots, the node may exceed its share; see surplusFactor.
	if freeSlots >= surplusFactor*(ownDemand+peerDemand)*peerReportDelay.Seconds()+1 {
		p.allowance = max(p.allowance, freeSlots*surplusShare)
	}
	// Each node may take an equal part of the free slots, if that is a slot at least: between two
	// calls the demand of a node with few calls decays to almost zero, and so does its share.
	p.allowance = max(p.allowance, math.Floor(freeSlots/float64(nodes)))
	p.allowance += limitedPlaces
}
