package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// initialWindow returns the window of a group that is new to the node.
func (s *Scheduler) initialWindow(slots int) float64 {
	if s.peersKnown {
		return maxWindow(slots)
	}
	return max(1, float64(slots)*initialWindowFraction)
}

func maxWindow(slots int) float64 { return float64(slots) * (1 + queuedFraction) }

// dispatch counts a call as placed at a group.
func (s *Scheduler) dispatch(now time.Time, p *pool, g *groupState, c *Call) {
	s.recordProbe(now, g.Zone)
	g.inflight++
	g.prefillTokens += c.PromptTokens
	if s.peersKnown {
		g.placed++
	}
	g.prefilling++
	p.allowance--
	if c.late {
		p.lateAllowance--
		p.recordLate(now, g)
	}
	if g.Limit.Active(now) {
		g.lastLimitedCall = now
	}
}

// expectedCalls estimates the group's current calls: peers are assumed to have placed calls
// since their last report in proportion to this node's (Q6).
func (p *pool) expectedCalls(g *groupState) float64 {
	n := float64(g.inflight + g.peerCalls)
	if p.share > 0 {
		n += float64(g.placed) * (1/p.share - 1) * mirroredShare
	}
	return n
}

// pickGroup returns the group for a call, or nil if none can take it now.
func (s *Scheduler) pickGroup(now time.Time, p *pool, c *Call) *groupState {
	if s.peersKnown && p.allowance < neededAllowance(c) && !c.Resumed { // Q6 and Q17
		return nil
	}
	if c.late && !s.refillLate(now, p) { // Q19
		return nil
	}
	free := s.freeGroups(now, p, c)
	var preferred []*groupState
	for _, g := range free {
		if g.Limit.Prefers(now, g.lastLimitedCall) {
			preferred = append(preferred, g)
		}
	}
	if len(preferred) > 0 {
		free = preferred
	}
	return s.leastLoaded(p, free)
}

// neededAllowance returns the allowance that the node must have left for a call.
func neededAllowance(c *Call) float64 {
	if c.excess {
		return excessAllowance
	}
	return 1
}

// freeGroups returns the groups that can take a call now.
func (s *Scheduler) freeGroups(now time.Time, p *pool, c *Call) []*groupState {
	var free []*groupState
	othersReachable := s.anyZoneReachable(now, p)
	for _, g := range p.groups {
		if othersReachable && s.zoneUnreachable(now, g.Zone) { // Q10
			continue
		}
		if g.gone || now.Before(g.cooldownUntil) || g.isLost(now) || slices.Contains(c.Tried, g.ID) {
			continue
		}
		limit := g.window
		if c.Resumed {
			limit = maxWindow(g.Slots)
		}
		if p.expectedCalls(g)+1 > limit || g.probing && g.inflight > 0 { // Q3
			continue
		}
		if g.failureRate > maxFailureRate && g.inflight >= maxFailingCalls { // Q8
			continue
		}
		if !g.Limit.Allows(now, g.lastLimitedCall) { // Q12
			continue
		}
		if c.late && !p.takesLate(now, g) { // Q14
			continue
		}
		if c.excess && !p.leavesReserve(g) { // Q17
			continue
		}
		if c.exceeds && g.prefillTime() > 0 { // Q19
			continue
		}
		if !p.canPrefill(g, c) { // Q9
			continue
		}
		free = append(free, g)
	}
	return free
}

// leastLoaded returns the least utilized of a few randomly drawn groups (Q7), or nil if
// there are none. It reorders free.
func (s *Scheduler) leastLoaded(p *pool, free []*groupState) *groupState {
	slices.SortFunc(free, func(a, b *groupState) int { return cmp.Compare(a.ID, b.ID) })
	var best *groupState
	bestUtilization := 0.0
	for range sampleSize {
		if len(free) == 0 {
			break
		}
		at := int(s.random() * float64(len(free)))
		g := free[at]
		free = slices.Delete(free, at, at+1)
		utilization := (p.expectedCalls(g) + prefillWeight*float64(g.prefilling)) / g.window
		utilization += g.prefillTime().Seconds() / prefillHorizon.Seconds()
		if g.Zone != s.zone {
			utilization += crossZonePenalty
		}
		if best == nil || utilization < bestUtilization {
			best, bestUtilization = g, utilization
		}
	}
	return best
}

// canPrefill reports whether the group can prefill the call's prompt in addition to those that
// it is processing for this node, within the node's share of the prefill budget (Q9). If no
// prompt is in progress, any length is accepted. A prompt longer than half of the budget counts
// as half of it, so that short prompts don't starve long ones.
func (p *pool) canPrefill(g *groupState, c *Call) bool {
	if g.prefillTokens == 0 || g.PrefillRate <= 0 || c.MaxGap <= 0 {
		return true
	}
	limit := g.PrefillRate * prefillFraction * c.MaxGap.Seconds()
	if p.share > 0 {
		limit *= p.share
	}
	return float64(g.prefillTokens)+min(float64(c.PromptTokens), limit/2) <= limit
}

// prefillTime returns how long the group takes to prefill the prompts of all nodes' calls that have
// no event yet; 0 if its rate is unknown.
func (g *groupState) prefillTime() time.Duration {
	if g.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(g.prefillTokens+g.peerPrefillTokens) / g.PrefillRate * float64(time.Second))
}

// PendingPrefill returns the prompt tokens of this node's calls that a group has yet to
// prefill.
func (s *Scheduler) PendingPrefill(model garnetworks.ModelName, group garnetworks.GroupID) int {
	if g := s.pool(model).groups[group]; g != nil {
		return g.prefillTokens
	}
	return 0
}

// PrefillDone records that a group has prefilled a prompt, or that the call ended before. It
// must be called once for each placed call.
func (s *Scheduler) PrefillDone(model garnetworks.ModelName, group garnetworks.GroupID, tokens int) {
	if g := s.pool(model).groups[group]; g != nil {
		g.prefillTokens = max(0, g.prefillTokens-tokens)
	}
}

// TryPlace places a call whose group stalls at another group, if one is free now (Q5), and
// counts it there. It never enqueues the call: a stalled group may continue, so the call stays
// there until a slot is free.
func (s *Scheduler) TryPlace(now time.Time, c Call) (garnetworks.GroupID, bool) {
	p := s.pool(c.Model)
	g := s.pickGroup(now, p, &c)
	if g == nil {
		return "", false
	}
	s.dispatch(now, p, g, &c)
	return g.ID, true
}

// isLost reports whether the group is reported lost and this node has no recent event that
// contradicts the report, or was found lost for this node (Q11).
func (g *groupState) isLost(now time.Time) bool {
	return g.lost && now.Sub(g.lastEvent) > eventValidity || g.foundLost(now)
}

// Lost reports whether the group is reported lost and gave this node no recent event.
func (s *Scheduler) Lost(now time.Time, model garnetworks.ModelName, group garnetworks.GroupID) bool {
	g := s.pool(model).groups[group]
	return g != nil && g.isLost(now)
}

// FirstEvent records the time from a call's dispatch to its first event (Q2).
func (s *Scheduler) FirstEvent(now time.Time, model garnetworks.ModelName, group garnetworks.GroupID, took, objective time.Duration) {
	p := s.pool(model)
	p.firstEventAt, p.peerWindows = now, nil
	p.firstEventTime += time.Duration(firstEventTimeWeight * float64(took-p.firstEventTime))
	g := p.groups[group]
	if g == nil {
		return
	}
	g.probing = false
	g.prefilling--
	g.failureRate -= failureWeight * g.failureRate
	if float64(took) > float64(objective)*TargetFraction {
		g.shrink(now, s.minWindow(g))
		return
	}
	if float64(g.inflight+g.peerCalls) >= g.window-1 {
		g.window = min(maxWindow(g.Slots), g.window+1/g.window)
	}
}

// minWindow returns the lower bound of the group's window.
func (s *Scheduler) minWindow(g *groupState) float64 {
	if s.peersKnown {
		return max(1, float64(g.Slots)*minWindowFraction)
	}
	return 1
}

func (g *groupState) shrink(now time.Time, minWindow float64) {
	if now.Sub(g.shrunkAt) < shrinkInterval {
		return
	}
	g.shrunkAt = now
	g.window = max(minWindow, g.window*shrinkFactor)
}

// Full records that a group refused a call because it is full.
func (s *Scheduler) Full(now time.Time, model garnetworks.ModelName, group garnetworks.GroupID) {
	if g := s.pool(model).groups[group]; g != nil {
		g.shrink(now, s.minWindow(g))
	}
}

// Failed records a call that the group failed or did not begin within FirstEventTimeout; the
// group may still answer others (Q8).
func (s *Scheduler) Failed(model garnetworks.ModelName, group garnetworks.GroupID) {
	if g := s.pool(model).groups[group]; g != nil {
		g.failureRate += failureWeight * (1 - g.failureRate)
	}
}

// FirstEventTimeout returns how long a call may have no event before it counts as failed.
func (s *Scheduler) FirstEventTimeout(model garnetworks.ModelName) time.Duration {
	return max(minFirstEventTimeout, firstEventTimeoutFactor*s.pool(model).firstEventTime)
}

// BackoffRequested records that a group refused a call with a backoff. Until its next first event it
// gets one call at a time, so that not all waiting calls are refused when the backoff ends.
func (s *Scheduler) BackoffRequested(model garnetworks.ModelName, group garnetworks.GroupID) {
	if g := s.pool(model).groups[group]; g != nil {
		g.probing = true
	}
}

// Stalled records that a group stalls, refuses calls or can't be reached (Q3).
func (s *Scheduler) Stalled(now time.Time, model garnetworks.ModelName, group garnetworks.GroupID) {
	if g := s.pool(model).groups[group]; g != nil {
		g.cooldownUntil = now.Add(groupCooldown)
		g.probing = true
	}
}
