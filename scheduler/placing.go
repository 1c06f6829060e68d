package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// firstWindow is the window of a group that is new to the node.
func (s *Scheduler) initialWindow(slots int) float64 {
	if s.peersKnown {
		return maxWindow(slots)
	}
	return max(1, float64(slots)*initialWindowFraction)
}

func maxWindow(slots int) float64 { return float64(slots) * (1 + queuedFraction) }

// put counts a call at a place.
func (s *Scheduler) dispatch(now time.Time, p *pool, g *groupState, c *Call) {
	s.recordProbe(now, g.Zone)
	g.inflight++
	g.prefillTokens += c.PromptTokens
	g.placed++
	g.prefilling++
	p.allowance--
}

// expected is the number of calls that the group has now, if the other nodes have
// placed theirs since they were heard of as this node has placed its own (Q6).
func (p *pool) expectedCalls(g *groupState) float64 {
	n := float64(g.inflight + g.peerCalls)
	if p.share > 0 {
		n += float64(g.placed) * (1/p.share - 1) * mirroredShare
	}
	return n
}

// best returns the place that a call shall go to, or nil if none is free.
func (s *Scheduler) pickGroup(now time.Time, p *pool, c *Call) *groupState {
	if s.peersKnown && p.allowance < 1 && !c.Resumed { // Q6
		return nil
	}
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
		if !p.canPrefill(g, c) { // Q9
			continue
		}
		free = append(free, g)
	}
	return s.leastLoaded(p, free)
}

// choose returns the better one of a few groups drawn at random (Q7), or nil if
// there is none.
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
		if g.Zone != s.zone {
			utilization += crossZonePenalty
		}
		if best == nil || utilization < bestUtilization {
			best, bestUtilization = g, utilization
		}
	}
	return best
}

// reads reports whether the group can read the call's prompt beside those that it reads
// for this node, within the node's part of what keeps its other calls in time (Q9). A
// single prompt is always read, however long it is, and one that is longer than half of
// that part counts as half of it: else short ones would always find a place before it. The
// largest tenths of three kinds earn 0.66 of their worth under overload with it and 0.64
// without, mean over four seeds of the lab.
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

// PendingPrefill returns the prompt tokens of this node's calls that a group has not read.
func (s *Scheduler) PendingPrefill(model garnetworks.ModelName, group garnetworks.GroupID) int {
	if g := s.pool(model).groups[group]; g != nil {
		return g.prefillTokens
	}
	return 0
}

// PrefillDone takes that a group has read a prompt, or that its call ended before. It is called
// once for each call that was placed.
func (s *Scheduler) PrefillDone(model garnetworks.ModelName, group garnetworks.GroupID, tokens int) {
	if g := s.pool(model).groups[group]; g != nil {
		g.prefillTokens = max(0, g.prefillTokens-tokens)
	}
}

// TryPlace takes a place at another group for a call whose group stands still, if
// one is free now (Q5). It does not wait: until there is a place, the call is better
// off where it is, since a group that stands still may go on.
func (s *Scheduler) TryPlace(now time.Time, c Call) (garnetworks.GroupID, bool) {
	p := s.pool(c.Model)
	g := s.pickGroup(now, p, &c)
	if g == nil {
		return "", false
	}
	s.dispatch(now, p, g, &c)
	return g.ID, true
}

// isLost reports whether nothing shall be sent to the group for what others know of it
// (Q11).
func (g *groupState) isLost(now time.Time) bool {
	return g.lost && now.Sub(g.lastEvent) > eventValidity
}

// Lost reports whether the group is known to be lost, and gave this node no event since.
func (s *Scheduler) Lost(now time.Time, model garnetworks.ModelName, group garnetworks.GroupID) bool {
	g := s.pool(model).groups[group]
	return g != nil && g.isLost(now)
}

// FirstEvent takes the time from a call's sending to its first event (Q2).
func (s *Scheduler) FirstEvent(now time.Time, model garnetworks.ModelName, group garnetworks.GroupID, took, objective time.Duration) {
	p := s.pool(model)
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

// least is the window under which a group's does not shrink.
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

// Full takes a group's refusal of a call because it is full.
func (s *Scheduler) Full(now time.Time, model garnetworks.ModelName, group garnetworks.GroupID) {
	if g := s.pool(model).groups[group]; g != nil {
		g.shrink(now, s.minWindow(g))
	}
}

// Failed takes a call that the group failed, or did not begin within BeginTime, though
// it may answer others (Q8).
func (s *Scheduler) Failed(model garnetworks.ModelName, group garnetworks.GroupID) {
	if g := s.pool(model).groups[group]; g != nil {
		g.failureRate += failureWeight * (1 - g.failureRate)
	}
}

// FirstEventTimeout returns how long a call may have no event before it counts as failed.
func (s *Scheduler) FirstEventTimeout(model garnetworks.ModelName) time.Duration {
	return max(minFirstEventTimeout, firstEventTimeoutFactor*s.pool(model).firstEventTime)
}

// Stalled takes a sign that a group stands still, refuses or can't be reached (Q3).
func (s *Scheduler) Stalled(now time.Time, model garnetworks.ModelName, group garnetworks.GroupID) {
	if g := s.pool(model).groups[group]; g != nil {
		g.cooldownUntil = now.Add(groupCooldown)
		g.probing = true
	}
}
