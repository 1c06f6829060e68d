package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// waitsBefore reports whether a call waits that can be on time and doesn't give way to another one.
func (p *pool) waitsBefore(c *Call) bool {
	return p.waitsOnTime() && (!p.waiting[0].excess || c.excess)
}

// reject rejects a call that can't expect a slot in time (Q1), or that exceeds the rate at which calls
// can be on time (Q19).
func (p *pool) reject(now time.Time, c *Call) (Decision, bool) {
	groups, places := p.serving(now, c)
	if groups == 0 {
		p.rejectedAt = now
		return Decision{Call: c.ID, Kind: garnetworks.KindNoGroup, RetryAfter: p.noGroupRetry(now), Returned: c.returned()}, true
	}
	ahead := p.ahead(c)
	wait, patience := p.expectedWait(now, ahead+1), p.patience(now, c)
	if wait <= patience && ahead < places && !c.exceeds {
		return Decision{}, false
	}
	if ahead >= places {
		wait = max(wait, p.noGroupRetry(now))
	}
	if p.admitLate(now, c) {
		return Decision{}, false
	}
	retryAfter := p.tellReturn(now, c, wait)
	return Decision{
		Call: c.ID, Kind: garnetworks.KindOverloaded, RetryAfter: retryAfter,
		Ahead: ahead, ExpectedWait: wait, Patience: patience, Groups: groups, Returned: c.returned(),
	}, true
}

func clampRetry(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// patience is how much longer the call may wait (Q1): until a group that takes it then is
// expected to give its first event just in time.
func (p *pool) patience(now time.Time, c *Call) time.Duration {
	waited := now.Sub(c.firstArrived())
	if c.Resumed {
		return 2*c.Objective - waited
	}
	minWait := time.Duration(float64(c.Objective) * minWaitFraction)
	return max(c.Objective-p.firstEventTime-networkTime, minWait) - waited
}

// noGroupRetry returns the retry delay if no group may get a call: until the first limited group
// takes one, if that is sooner than another group can be expected or there is no other.
func (p *pool) noGroupRetry(now time.Time) time.Duration {
	next, others := maxRetryAfter, len(p.groups) == 0
	for _, g := range p.groups {
		if !g.gone && g.Limit.Active(now) {
			next = min(next, g.Limit.Next(g.lastLimitedCall).Sub(now))
		} else {
			others = true
		}
	}
	if others {
		next = min(next, noGroupRetry)
	}
	return max(next, minRetryAfter)
}

// serving returns the number of groups that may get the call, and of the calls that they take
// while it may wait. A limited group counts only if it takes a call by then (Q12).
func (p *pool) serving(now time.Time, c *Call) (groups, places int) {
	patience := p.maxWait(now, c)
	for _, g := range p.groups {
		if !g.mayGet(now, c) {
			continue
		}
		if n := g.placesWithin(now, patience); n > 0 {
			groups++
			places = min(places+n, unlimitedPlaces)
		}
	}
	return groups, places
}

// mayGet reports whether the group may get the call, apart from its load and its limit.
func (g *groupState) mayGet(now time.Time, c *Call) bool {
	return !g.gone && !g.isLost(now) && !slices.Contains(c.Tried, g.ID) && (!now.Before(g.cooldownUntil) || g.probing)
}

// onlyLimited reports whether there are groups that may get the call, and all of them are limited.
func (p *pool) onlyLimited(now time.Time, c *Call) bool {
	limited := false
	for _, g := range p.groups {
		if !g.mayGet(now, c) {
			continue
		}
		if !g.Limit.Active(now) {
			return false
		}
		limited = true
	}
	return limited
}

// unlimitedPlaces is the number of places of a group without a limit: more than calls ever wait.
const unlimitedPlaces = math.MaxInt32

// placesWithin returns the number of calls that the group's limit allows within a time from now.
func (g *groupState) placesWithin(now time.Time, wait time.Duration) int {
	by := now.Add(wait)
	next := g.Limit.Next(g.lastLimitedCall)
	switch {
	case !g.Limit.Active(by):
		return unlimitedPlaces
	case next.After(by):
		return 0
	case next.Before(now):
		next = now
	}
	return 1 + int(by.Sub(next)/g.Limit.Interval)
}

// expectedWait estimates the time until n slots have become free.
func (p *pool) expectedWait(now time.Time, n int) time.Duration {
	rate := p.currentFreeRate(now)
	if rate < lowFreeRate {
		// The node's own rate is no estimate if hardly any of its calls end.
		rate = max(rate, p.refill)
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}

func (p *pool) currentFreeRate(now time.Time) float64 {
	if p.freeRateAt.IsZero() {
		return 0
	}
	return p.freeRate * math.Exp(-float64(now.Sub(p.freeRateAt))/float64(freeRateDecay))
}

func (p *pool) recordFreed(now time.Time) {
	p.freeRate = p.currentFreeRate(now) + 1/freeRateDecay.Seconds()
	p.freeRateAt = now
}

// compareCalls orders waiting calls (Q4, Q5, Q14 and Q17).
func compareCalls(a, b *Call) int {
	if a.Resumed != b.Resumed {
		if a.Resumed {
			return -1
		}
		return 1
	}
	if a.late != b.late {
		if b.late {
			return -1
		}
		return 1
	}
	if a.late {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.firstArrived().Compare(b.firstArrived()))
	}
	if a.Priority == b.Priority && a.excess != b.excess {
		if b.excess {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.due().Compare(b.due()))
}

func (c *Call) due() time.Time { return c.firstArrived().Add(c.Objective) }

// waitsOnTime reports whether a call waits that can be on time. They are before the others.
func (p *pool) waitsOnTime() bool { return len(p.waiting) > 0 && !p.waiting[0].late }

func (p *pool) ahead(c *Call) int {
	n := 0
	for _, other := range p.waiting {
		if compareCalls(other, c) <= 0 {
			n++
		}
	}
	return n
}

func (p *pool) enqueue(c *Call) {
	at, _ := slices.BinarySearchFunc(p.waiting, c, func(a, b *Call) int {
		if compareCalls(a, b) <= 0 {
			return -1
		}
		return 1
	})
	p.waiting = slices.Insert(p.waiting, at, c)
}

// Advance places the waiting calls that can be placed and rejects those whose time to wait is
// over.
func (s *Scheduler) Advance(now time.Time) []Decision {
	var decisions []Decision
	for _, model := range slices.Sorted(maps.Keys(s.pools)) {
		decisions = s.advance(now, s.pools[model], decisions)
	}
	return decisions
}

func (s *Scheduler) advance(now time.Time, p *pool, decisions []Decision) []Decision {
	waiting := p.waiting
	p.waiting = waiting[:0]
	var late []*Call
	for _, c := range waiting {
		if !c.late || !p.waitsOnTime() { // Q14
			if g := s.pickGroup(now, p, c); g != nil {
				s.dispatch(now, p, g, c)
				decisions = append(decisions, c.placed(g))
				continue
			}
		}
		groups, places := p.serving(now, c)
		ahead := len(p.waiting)
		wait := p.expectedWait(now, ahead+1)
		switch {
		case groups == 0:
			p.rejectedAt = now
			decisions = append(decisions, Decision{Call: c.ID, Kind: garnetworks.KindNoGroup, RetryAfter: p.noGroupRetry(now), Ahead: ahead, Spare: s.spare(now, p, c), Returned: c.returned(), Limited: p.onlyLimited(now, c)})
		case p.maxWait(now, c) <= 0 || ahead >= places:
			if p.admitLate(now, c) {
				late = append(late, c)
				continue
			}
			retryAfter := p.tellReturn(now, c, wait)
			decisions = append(decisions, Decision{
				Call: c.ID, Kind: garnetworks.KindOverloaded, RetryAfter: retryAfter, Ahead: ahead, ExpectedWait: wait, Groups: groups, Spare: s.spare(now, p, c), Returned: c.returned(),
				Limited: p.onlyLimited(now, c),
			})
		default:
			p.waiting = append(p.waiting, c)
		}
	}
	clear(waiting[len(p.waiting):])
	for _, c := range late {
		p.enqueue(c)
	}
	return decisions
}

// Cancel removes a waiting call whose client has disconnected.
func (s *Scheduler) Cancel(id garnetworks.CallID, model garnetworks.ModelName) {
	p := s.pool(model)
	p.waiting = slices.DeleteFunc(p.waiting, func(c *Call) bool { return c.ID == id })
}

// Waiting returns the number of waiting calls.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, p := range s.pools {
		n += len(p.waiting)
	}
	return n
}
