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
				report.Groups = append(report.Groups, garnetworks.GroupLoad{Group: g.ID, Running: g.inflight, PrefillTokens: g.prefillTokens})
			}
		}
	}
	return report
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

// peerReport is the last report of the other nodes' load.
type peerReport struct {
	groups map[garnetworks.GroupID]garnetworks.GroupLoad
	// demands are calls per second.
	demands map[garnetworks.ModelName]float64
	lost    garnetworks.Set[garnetworks.GroupID]
	// nodes is the number of nodes of the site, this one included.
	nodes int
}

func newPeerReport(peers *garnetworks.LoadReport) peerReport {
	report := peerReport{
		groups:  make(map[garnetworks.GroupID]garnetworks.GroupLoad, len(peers.Groups)),
		demands: make(map[garnetworks.ModelName]float64, len(peers.Demands)),
		lost:    garnetworks.NewSet(peers.Lost...),
		nodes:   peers.Nodes + 1,
	}
	for _, g := range peers.Groups {
		report.groups[g.Group] = g
	}
	for _, d := range peers.Demands {
		report.demands[d.Model] = d.CallsPerSecond
	}
	return report
}

// SetPeerLoad sets the load and demand of the other nodes by a new report and returns decisions
// on waiting calls (Q6). If known is false, there is no report: peers is ignored.
func (s *Scheduler) SetPeerLoad(now time.Time, peers garnetworks.LoadReport, known bool) []Decision {
	if known != s.peersKnown {
		s.peersKnown = known
		s.resetWindows()
	}
	if !known {
		s.report = peerReport{}
		for _, p := range s.pools {
			// allowance isn't read while the peers are unknown.
			p.peerDemand, p.refill, p.share = 0, 0, initialWindowFraction
			for _, g := range p.groups {
				g.lost = false
			}
		}
		return s.Advance(now)
	}
	s.report = newPeerReport(&peers)
	for model, p := range s.pools {
		for id, g := range p.groups {
			g.lost = s.report.lost.Has(id)
			g.setPeerLoad(s.report.groups[id])
		}
		s.grant(now, p, s.report.demands[model], s.report.nodes)
	}
	return s.Advance(now)
}

// addGroup adds a group to its pool, with the load that the peers last reported for it.
func (s *Scheduler) addGroup(p *pool, g Group) {
	added := &groupState{Group: g, window: s.startWindow(p, &g), lost: s.report.lost.Has(g.ID)}
	added.setPeerLoad(s.report.groups[g.ID])
	p.groups[g.ID] = added
}

// setPeerLoad sets what the other nodes report of the group.
func (g *groupState) setPeerLoad(load garnetworks.GroupLoad) {
	g.peerCalls, g.peerPrefillTokens, g.placed = load.Running, load.PrefillTokens, 0
}

// grantNew gives the node its part of the free slots of groups that are new to it (Q18). It keeps
// a higher allowance.
func (s *Scheduler) grantNew(now time.Time, model garnetworks.ModelName) {
	if !s.peersKnown {
		return
	}
	p := s.pool(model)
	before := p.allowance
	s.grant(now, p, s.report.demands[model], s.report.nodes)
	p.allowance = max(p.allowance, before)
}

// resetWindows clears what depends on whether the peers' load is known: the allowances, the
// calls of peers, and the windows, which cover the calls of one node or of the whole site.
func (s *Scheduler) resetWindows() {
	for _, p := range s.pools {
		p.allowance = 0
		for _, g := range p.groups {
			g.setPeerLoad(garnetworks.GroupLoad{})
			g.window = s.startWindow(p, &g.Group)
		}
	}
}

// grant computes the node's share, refill and allowance of a pool. peerDemand is in calls per
// second; nodes includes this one.
func (s *Scheduler) grant(now time.Time, p *pool, peerDemand float64, nodes int) {
	freeSlots, runningCalls := 0.0, 0.0
	// limitedPlaces are the calls of this node that limited groups take until the next report.
	limitedPlaces := 0.0
	othersReachable := s.anyZoneReachable(now, p)
	for _, g := range p.groups {
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
	// The fraction of a slot is carried over, so that small shares add up to a slot. A node that
	// gets less than a call per report keeps a whole one, so that it has it for its next call.
	carried := min(max(p.allowance, 0), 1)
	if ownDemand*peerReportDelay.Seconds() >= 1 {
		carried = max(p.allowance-math.Floor(p.allowance), 0)
	}
	p.allowance = freeSlots*p.share + carried
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
