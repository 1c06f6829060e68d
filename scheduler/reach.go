package scheduler

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// minUnreachableGroups is the number of unreachable groups in a zone, without an event from
	// the zone in between, from which the whole zone counts as unreachable. It is above 1
	// because a single group can fail alone.
	minUnreachableGroups = 2
	// unreachableWindow is the time within which they must be found unreachable.
	unreachableWindow = 3 * time.Second
	// eventValidity is how long an event of a group outweighs a report that it is lost. It
	// spans a few of the intervals at which a healthy group gives events.
	eventValidity = 300 * time.Millisecond
	// verdictValidity is how long the verdict that a group is lost counts without an event of the
	// group. After that, the load reports of the lease holder contain it, if it still holds.
	verdictValidity = time.Second
	// maxProbeInterval bounds the time between two probes. The entries of a zone that the
	// platform can't reach either lapse within a few seconds.
	maxProbeInterval = 4 * groupCooldown
)

// zoneHealth is what a node knows of its connectivity to an availability zone (Q10).
type zoneHealth struct {
	// unreachable holds the groups found unreachable since the last event from the zone, since
	// is the time of the first of them.
	unreachable garnetworks.Set[garnetworks.GroupID]
	since       time.Time
	// probeInterval is the time between two calls that probe the zone; 0 while it counts as
	// reachable. Nothing is sent before cooldownUntil.
	probeInterval time.Duration
	cooldownUntil time.Time
	// probed says that a call was sent since the zone was last found unreachable.
	probed bool
}

// EventReceived records an event of a group: the group is alive and its zone reachable.
func (s *Scheduler) EventReceived(now time.Time, model garnetworks.ModelName, group garnetworks.GroupID) {
	g := s.pool(model).groups[group]
	if g == nil {
		return
	}
	g.lastEvent = now
	delete(s.zones, g.Zone)
}

// FoundLost records the lease holder's verdict, given to this node, that a group is lost (Q11).
// Until an event refutes it, the group gets no calls, and events from before the verdict don't
// count.
func (s *Scheduler) FoundLost(now time.Time, model garnetworks.ModelName, group garnetworks.GroupID) {
	if g := s.pool(model).groups[group]; g != nil {
		g.lostAt = now
	}
}

// IsFoundLost reports whether a verdict that the group is lost is valid.
func (s *Scheduler) IsFoundLost(now time.Time, model garnetworks.ModelName, group garnetworks.GroupID) bool {
	g := s.pool(model).groups[group]
	return g != nil && g.foundLost(now)
}

func (g *groupState) foundLost(now time.Time) bool {
	return now.Sub(g.lostAt) < verdictValidity && g.lastEvent.Before(g.lostAt)
}

// Unreachable records that a group did not respond in time: with a connection, an
// acknowledgement or an event (Q10).
func (s *Scheduler) Unreachable(now time.Time, model garnetworks.ModelName, group garnetworks.GroupID) {
	g := s.pool(model).groups[group]
	if g == nil {
		return
	}
	z := s.zones[g.Zone]
	if z == nil || z.probeInterval == 0 && now.Sub(z.since) > unreachableWindow {
		z = &zoneHealth{unreachable: make(garnetworks.Set[garnetworks.GroupID]), since: now}
		s.zones[g.Zone] = z
	}
	z.unreachable.Add(group)
	switch {
	case len(z.unreachable) < minUnreachableGroups:
		return
	case z.probeInterval == 0:
		z.probeInterval = groupCooldown
	case z.probed:
		z.probeInterval = min(2*z.probeInterval, maxProbeInterval)
	default:
		return // sent before the zone was found unreachable
	}
	z.probed = false
	z.cooldownUntil = now.Add(z.probeInterval)
}

// zoneUnreachable reports whether nothing may be sent to a zone's groups now (Q10).
func (s *Scheduler) zoneUnreachable(now time.Time, zone garnetworks.ZoneID) bool {
	z := s.zones[zone]
	return z != nil && now.Before(z.cooldownUntil)
}

// recordProbe records that a call probes an unreachable zone: others are held back until its
// outcome is known or the interval ends.
func (s *Scheduler) recordProbe(now time.Time, zone garnetworks.ZoneID) {
	if z := s.zones[zone]; z != nil && z.probeInterval > 0 {
		z.cooldownUntil = now.Add(z.probeInterval)
		z.probed = true
	}
}

// anyZoneReachable reports whether the pool has a group in a reachable zone. If all zones seem
// unreachable, the node itself may be partitioned, and the zones can't be told apart.
func (s *Scheduler) anyZoneReachable(now time.Time, p *pool) bool {
	for _, g := range p.groups {
		if !g.gone && !s.zoneUnreachable(now, g.Zone) {
			return true
		}
	}
	return false
}
