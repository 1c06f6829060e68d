package follower

import (
	"maps"
	"strings"
	"sync/atomic"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/warmer"
	"github.com/garnetworks/garnetworks/watcher"
)

// evacuations are the availability zones to whose servers nothing may be sent.
type evacuations struct {
	watcher *watcher.Watcher
	// evacuated is never nil and its set never changes.
	evacuated atomic.Pointer[garnetworks.Set[garnetworks.ZoneID]]
	// coldUntil holds for each zone that has returned the time until which its servers count as
	// cold (rule F9); guarded by Follower.mu.
	coldUntil map[garnetworks.ZoneID]time.Time
	// zoneEras holds for each zone whose evacuation has begun or ended the era in which it last
	// did; withheldZones the changes that are not applied yet (rule F10). Guarded by Follower.mu.
	zoneEras      map[garnetworks.ZoneID]garnetworks.Era
	withheldZones map[garnetworks.ZoneID]withheldEvacuation
}

// withheldEvacuation is the beginning or the end of an evacuation that is not applied before due.
type withheldEvacuation struct {
	ends bool
	due  time.Time
}

// init makes the maps and an empty set.
func (e *evacuations) init() {
	e.coldUntil = make(map[garnetworks.ZoneID]time.Time)
	e.zoneEras = make(map[garnetworks.ZoneID]garnetworks.Era)
	e.withheldZones = make(map[garnetworks.ZoneID]withheldEvacuation)
	e.evacuated.Store(&garnetworks.Set[garnetworks.ZoneID]{})
}

// EvacuationsKnown reports whether the evacuations have been read (rule F8).
func (e *evacuations) EvacuationsKnown() bool { return !e.watcher.Confirmed().IsZero() }

// Evacuated returns the evacuated availability zones.
func (e *evacuations) Evacuated() garnetworks.Set[garnetworks.ZoneID] { return *e.evacuated.Load() }

// applyEvacuation begins or ends the evacuation of a zone, or withholds the change if the zone's
// evacuation began or ended in an earlier era (rule F10).
func (f *Follower) applyEvacuation(o garnetworks.Object) {
	zone := garnetworks.ZoneID(strings.TrimPrefix(o.Key, f.options.Reader.EvacuationPrefix()))
	if zone == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	last, changed := f.zoneEras[zone]
	f.zoneEras[zone] = o.Revision.Era()
	delete(f.withheldZones, zone)
	if changed && last < o.Revision.Era() && f.Evacuated().Has(zone) == o.Deleted {
		f.withheldZones[zone] = withheldEvacuation{o.Deleted, time.Now().Add(RecoveryTime)}
		return
	}
	f.setEvacuated(zone, !o.Deleted)
}

// applyWithheldEvacuations applies the changes that are due; f.mu must be held.
func (f *Follower) applyWithheldEvacuations(now time.Time) {
	for zone, w := range f.withheldZones {
		if !now.Before(w.due) {
			delete(f.withheldZones, zone)
			f.setEvacuated(zone, !w.ends)
		}
	}
}

// setEvacuated begins or ends the evacuation of a zone; f.mu must be held.
func (f *Follower) setEvacuated(zone garnetworks.ZoneID, evacuated bool) {
	zones := maps.Clone(f.Evacuated())
	if zones.Has(zone) == evacuated {
		return
	}
	event := garnetworks.Event{Kind: garnetworks.EventZoneEvacuated, Zone: zone, Detail: "its servers get no further calls"}
	if evacuated {
		zones.Add(zone)
	} else {
		zones.Remove(zone)
		event.Kind, event.Detail = garnetworks.EventZoneReturned, "its servers count as cold until they have reported"
		f.expectReports(time.Now(), zone)
	}
	f.evacuated.Store(&zones)
	f.record(event)
	f.signal()
}

// expectReports lets the servers of a zone that returns now count as cold (rule F9); f.mu must be
// held.
//
// Failure: the entries of a zone's servers are read before its evacuation ends and say that
// they are warm. The servers have become cold just before, and the calls of all nodes that
// arrive before their next report make them crash.
func (f *Follower) expectReports(now time.Time, zone garnetworks.ZoneID) {
	f.coldUntil[zone] = now.Add(warmer.ReportTime(f.options.HeartbeatInterval))
	for _, s := range f.known {
		if s.Zone == zone {
			s.WarmAt = latest(s.WarmAt, f.coldUntil[zone])
			f.store(&s)
		}
	}
	f.publish()
}

// setWarmAt sets when a server is warm whose entry is received now; f.mu must be held.
func (f *Follower) setWarmAt(now time.Time, s *garnetworks.RegisteredServer) {
	if s.WarmupRemaining > 0 {
		s.WarmAt = now.Add(s.WarmupRemaining)
	}
	if until := f.coldUntil[s.Zone]; now.Before(until) {
		s.WarmAt = latest(s.WarmAt, until)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
