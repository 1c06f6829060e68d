package scheduler

import (
	"math"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// maxLateFraction is the part of a group's window that calls which can only be late may take.
	maxLateFraction = 0.5
	// lateReserve is the part of a group's window that they leave free for calls that can be on
	// time.
	lateReserve = 0.15
	// followedFraction is the fraction of its remaining time for which a caller follows
	// Retry-After.
	followedFraction = 1.0 / 3
	// serviceTimeFactor is the number of usual service times that a late call must have left when
	// it gets its slot: with one, the calls with long answers end at their deadline, without a
	// whole answer.
	serviceTimeFactor = 1.5
	// returnTime is how long after a rejection callers may return: the longest Retry-After, and
	// as much again because other nodes reject calls a little later.
	returnTime = 2 * maxRetryAfter
)

// firstArrived returns when the caller sent the call for the first time.
func (c *Call) firstArrived() time.Time {
	if c.FirstArrived.IsZero() {
		return c.Arrived
	}
	return c.FirstArrived
}

// returned reports whether the call was rejected before.
func (c *Call) returned() bool { return c.firstArrived().Before(c.Arrived) }

// maxWait is how much longer the call may wait: for an answer on time, or for one that is complete
// by its deadline.
func (p *pool) maxWait(now time.Time, c *Call) time.Duration {
	if c.late {
		return p.lateWait(now, c)
	}
	return p.patience(now, c)
}

// lateWait is how much longer the call may wait for a complete answer by its deadline; below 0 if
// there is none or no time.
func (p *pool) lateWait(now time.Time, c *Call) time.Duration {
	if c.Deadline.IsZero() {
		return -1
	}
	return c.Deadline.Sub(now) - time.Duration(serviceTimeFactor*float64(p.serviceTime)) - networkTime
}

// canOnlyBeLate reports whether the call can't be on time any more, but complete by its deadline.
func (p *pool) canOnlyBeLate(now time.Time, c *Call) bool {
	return !c.Resumed && !c.Deadline.IsZero() && p.patience(now, c) <= 0
}

// admitLate makes a call that can't be on time one that may be late, and reports whether it did
// (Q14): its caller has returned already, or won't return, and a slot can be expected by then.
func (p *pool) admitLate(now time.Time, c *Call) bool {
	if c.Resumed || c.late || !c.returned() && c.mayReturn(now) {
		return false
	}
	late := *c
	late.late = true
	ahead := p.ahead(&late)
	if p.expectedWait(now, ahead+1) > p.lateWait(now, c) {
		return false
	}
	c.late, c.aheadLate = true, ahead
	return true
}

// mayReturn reports whether the caller can be expected to return and to be recognized then.
func (c *Call) mayReturn(now time.Time) bool {
	return c.Deadline.IsZero() || c.RecognizedAfter <= min(maxRetryAfter, followed(c, now))
}

// followed returns the longest time for which the caller follows Retry-After.
func followed(c *Call, now time.Time) time.Duration {
	return time.Duration(float64(c.Deadline.Sub(now)) * followedFraction)
}

// takesLate reports whether the group has a slot for a call that can only be late (Q14).
func (p *pool) takesLate(now time.Time, g *groupState) bool {
	limit := max(1, g.window*maxLateFraction)
	if p.share > 0 {
		limit = max(1, limit*p.share)
	}
	return p.expectedCalls(g)+1 <= g.window*(1-lateReserve) && p.lateCalls(now, g)+1 <= limit+0.5
}

// lateCalls estimates how many of the late calls that this node has placed are still at the group.
func (p *pool) lateCalls(now time.Time, g *groupState) float64 {
	if g.latePlacedAt.IsZero() || p.serviceTime <= 0 {
		return g.latePlaced
	}
	return g.latePlaced * math.Exp(-float64(now.Sub(g.latePlacedAt))/float64(p.serviceTime))
}

// recordLate counts a late call as placed at a group.
func (p *pool) recordLate(now time.Time, g *groupState) {
	g.latePlaced = p.lateCalls(now, g) + 1
	g.latePlacedAt = now
}

// tellReturn returns when a rejected caller shall return, if a slot is expected after wait: not
// before those that were rejected earlier, and not before its return is recognized (Q15).
func (p *pool) tellReturn(now time.Time, c *Call, wait time.Duration) time.Duration {
	p.rejectedAt = now
	p.workspaces.rejected++
	if c.Deadline.IsZero() {
		return clampRetry(wait)
	}
	after := wait
	if !p.lastReturn.IsZero() {
		after = max(after, p.lastReturn.Sub(now)+p.expectedWait(now, 1))
	}
	if !c.returned() {
		after = max(after, c.RecognizedAfter)
	}
	after = min(after, maxRetryAfter, followed(c, now))
	after = max(after, minRetryAfter)
	p.lastReturn = now.Add(after)
	return after
}

// Rejecting reports whether calls of the model were rejected so recently that callers may return.
func (s *Scheduler) Rejecting(now time.Time, model garnetworks.ModelName) bool {
	p := s.pool(model)
	return !p.rejectedAt.IsZero() && now.Sub(p.rejectedAt) < returnTime
}
