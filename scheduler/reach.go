package scheduler

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// unreachedGroups is the number of groups of a zone that give no sign of life, with
	// nothing heard from the zone since, from which the way there counts as cut. One group
	// may be lost by itself.
	minUnreachableGroups = 2
	// unreachedTime is the time within which they fail.
	unreachableWindow = 3 * time.Second
	// heardTime is how long an event speaks for a group that is said to be lost; a group
	// gives its calls one each 0.1 s or sooner.
	eventValidity = 300 * time.Millisecond
	// mostZoneRest bounds the time between two calls that try the way again. Entries of a
	// zone that the platform does not reach either lapse within four seconds.
	maxProbeInterval = 4 * groupCooldown
)

// way is what a node knows of its way to the groups of an availability zone (Q10).
type zoneHealth struct {
	// unreached are the groups that gave no sign of life since anything was heard from the
	// zone last, the first of them at first.
	unreachable garnetworks.Set[garnetworks.GroupID]
	since       time.Time
	// rest is the time between two calls that try the way; 0 while it is sound. Nothing is
	// sent before restUntil.
	probeInterval time.Duration
	cooldownUntil time.Time
	// tried says that a call was sent since the last rest.
	probed bool
}

// EventReceived takes an event of a group: it lives, and the way to its zone is sound.
func (s *Scheduler) EventReceived(now time.Time, model garnetworks.ModelName, group garnetworks.GroupID) {
	g := s.pool(model).groups[group]
	if g == nil {
		return
	}
	g.lastEvent = now
	delete(s.zones, g.Zone)
}

// Unreachable takes that a group did not give the sign of life that was due: a connection, an
// acknowledgement, or an event (Q10).
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
		return // a call from before the way was found cut
	}
	z.probed = false
	z.cooldownUntil = now.Add(z.probeInterval)
}

// cutOff reports whether nothing shall be sent to a zone's groups now (Q10).
func (s *Scheduler) zoneUnreachable(now time.Time, zone garnetworks.ZoneID) bool {
	z := s.zones[zone]
	return z != nil && now.Before(z.cooldownUntil)
}

// tries notes that a call tries the way to a zone that was cut off: others wait for what
// becomes of it.
func (s *Scheduler) recordProbe(now time.Time, zone garnetworks.ZoneID) {
	if z := s.zones[zone]; z != nil && z.probeInterval > 0 {
		z.cooldownUntil = now.Add(z.probeInterval)
		z.probed = true
	}
}

// reachedElsewhere reports whether the pool has a group in a zone that is not cut off. If
// all zones seem to be, it is the node itself that is, or nothing is known.
func (s *Scheduler) anyZoneReachable(now time.Time, p *pool) bool {
	for _, g := range p.groups {
		if !g.gone && !s.zoneUnreachable(now, g.Zone) {
			return true
		}
	}
	return false
}
