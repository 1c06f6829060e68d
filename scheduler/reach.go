package scheduler

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// unreachedGroups is the number of groups of a zone that give no sign of life, with
	// nothing heard from the zone since, from which the way there counts as cut. One group
	// may be lost by itself.
	unreachedGroups = 2
	// unreachedTime is the time within which they fail.
	unreachedTime = 3 * time.Second
	// heardTime is how long an event speaks for a group that is said to be lost; a group
	// gives its calls one each 0.1 s or sooner.
	heardTime = 300 * time.Millisecond
	// mostZoneRest bounds the time between two calls that try the way again. Entries of a
	// zone that the platform does not reach either lapse within four seconds.
	mostZoneRest = 4 * restTime
)

// way is what a node knows of its way to the groups of an availability zone (Q10).
type way struct {
	// unreached are the groups that gave no sign of life since anything was heard from the
	// zone last, the first of them at first.
	unreached garnetworks.Set[garnetworks.GroupID]
	first     time.Time
	// rest is the time between two calls that try the way; 0 while it is sound. Nothing is
	// sent before restUntil.
	rest      time.Duration
	restUntil time.Time
	// tried says that a call was sent since the last rest.
	tried bool
}

// Heard takes an event of a group: it lives, and the way to its zone is sound.
func (s *Scheduler) Heard(now time.Time, model garnetworks.ModelName, group garnetworks.GroupID) {
	l := s.pool(model).places[group]
	if l == nil {
		return
	}
	l.heard = now
	delete(s.ways, l.Zone)
}

// Unreached takes that a group did not give the sign of life that was due: a connection, an
// acknowledgement, or an event (Q10).
func (s *Scheduler) Unreached(now time.Time, model garnetworks.ModelName, group garnetworks.GroupID) {
	l := s.pool(model).places[group]
	if l == nil {
		return
	}
	w := s.ways[l.Zone]
	if w == nil || w.rest == 0 && now.Sub(w.first) > unreachedTime {
		w = &way{unreached: make(garnetworks.Set[garnetworks.GroupID]), first: now}
		s.ways[l.Zone] = w
	}
	w.unreached.Add(group)
	switch {
	case len(w.unreached) < unreachedGroups:
		return
	case w.rest == 0:
		w.rest = restTime
	case w.tried:
		w.rest = min(2*w.rest, mostZoneRest)
	default:
		return // a call from before the way was found cut
	}
	w.tried = false
	w.restUntil = now.Add(w.rest)
}

// cutOff reports whether nothing shall be sent to a zone's groups now (Q10).
func (s *Scheduler) cutOff(now time.Time, zone garnetworks.ZoneID) bool {
	w := s.ways[zone]
	return w != nil && now.Before(w.restUntil)
}

// tries notes that a call tries the way to a zone that was cut off: others wait for what
// becomes of it.
func (s *Scheduler) tries(now time.Time, zone garnetworks.ZoneID) {
	if w := s.ways[zone]; w != nil && w.rest > 0 {
		w.restUntil = now.Add(w.rest)
		w.tried = true
	}
}

// reachedElsewhere reports whether the pool has a group in a zone that is not cut off. If
// all zones seem to be, it is the node itself that is, or nothing is known.
func (s *Scheduler) reachedElsewhere(now time.Time, p *pool) bool {
	for _, l := range p.places {
		if !l.gone && !s.cutOff(now, l.Zone) {
			return true
		}
	}
	return false
}
