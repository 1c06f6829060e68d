package scheduler

import (
	"math"
	"time"
)

const (
	// firstEventPasses is the number of passes that a first event takes besides the prefill of its
	// own prompt: the rest of the running pass, the pass that gives the event, and as much again
	// because passes vary with the prompts that arrive together.
	firstEventPasses = 3
	// promptWeight is the weight of a new call in the moving averages of prompts and objectives.
	promptWeight = 0.05
	// informativeRate is the number of this node's calls per second at a group from which its windows
	// follow its own first events.
	informativeRate = 1
	// lateRateFraction is the part of the rate that calls which can only be late may take while more
	// calls arrive than can be on time.
	lateRateFraction = 0.1
)

// promptAverages are moving averages over the calls that arrive at the node.
type promptAverages struct {
	// tokens is the length of a prompt, objective the time to a first event in seconds.
	tokens, objective float64
}

func (a *promptAverages) record(c *Call) {
	weight := promptWeight
	if a.tokens == 0 {
		weight = 1
	}
	a.tokens += weight * (float64(c.PromptTokens) - a.tokens)
	a.objective += weight * (c.Objective.Seconds() - a.objective)
}

// rateOnTime returns the calls per second of which a group can give the first events on time (Q19):
// a pass takes PassTime and the prefill of the prompts that arrived during the last one, and
// firstEventPasses of them and the call's own prefill fit into the objective.
func (a *promptAverages) rateOnTime(g *Group) float64 {
	if g.PrefillRate <= 0 || g.PassTime <= 0 || a.tokens <= 0 || a.objective <= 0 {
		return math.Inf(1)
	}
	prefill := a.tokens / g.PrefillRate
	pass := (a.objective - networkTime.Seconds() - prefill) / firstEventPasses
	if pass <= 0 {
		return math.Inf(1) // no rate of calls could be on time
	}
	return max(1-g.PassTime.Seconds()/pass, minReadFraction) / prefill
}

// siteRateOnTime returns the same for all groups of a pool that serve. It is infinite if none does:
// then something else than prompts holds the calls back.
func (s *Scheduler) siteRateOnTime(now time.Time, p *pool) float64 {
	rate := 0.0
	othersReachable := s.anyZoneReachable(now, p)
	for _, g := range p.groups {
		if othersReachable && s.zoneUnreachable(now, g.Zone) { // Q10
			continue
		}
		if g.gone || now.Before(g.cooldownUntil) || g.isLost(now) || g.Limit.Active(now) {
			continue
		}
		rate += p.prompts.rateOnTime(&g.Group)
	}
	if rate == 0 {
		return math.Inf(1)
	}
	return rate
}

// fractionOnTime returns the fraction of the arriving calls that can be on time, by the rate at which
// calls arrive at all nodes.
func (s *Scheduler) fractionOnTime(now time.Time, p *pool) float64 {
	own := p.demand(now)
	if !s.peersKnown || own >= informativeRate*float64(len(p.groups)) || own+p.peerDemand <= 0 {
		return 1
	}
	return min(1, s.siteRateOnTime(now, p)/(own+p.peerDemand))
}

// exceedsRate reports whether a call is one of those that can't be on time, because more calls arrive
// at all nodes than the groups can read (Q19).
func (s *Scheduler) exceedsRate(now time.Time, p *pool, c *Call) bool {
	if c.Resumed {
		return false
	}
	fraction := s.fractionOnTime(now, p)
	return fraction < 1 && s.random() >= fraction
}

// refillLate adds what has accrued to the number of late calls that the node may place, and reports
// whether it may place one.
func (s *Scheduler) refillLate(now time.Time, p *pool) bool {
	elapsed := now.Sub(p.lateRefilled).Seconds()
	p.lateRefilled = now
	if s.fractionOnTime(now, p) == 1 {
		p.lateAllowance = 1
		return true
	}
	p.lateAllowance = min(1, p.lateAllowance+elapsed*lateRateFraction*p.share*s.siteRateOnTime(now, p))
	return p.lateAllowance >= 1
}
