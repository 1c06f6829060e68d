// Package drainer combines the sources that report a backend server as leaving, and
// decides which servers and groups may get new work. It is pure: it does no I/O and
// takes the time as an argument.
//
//	D1  The first signal counts at once, whatever its source (rule G8): the
//	    instance list, the server itself, the operators' manifest or the zone's
//	    controller. No source is overruled by others that lag behind it.
//	D2  A server's own report holds for its incarnation. Only a later incarnation
//	    clears it: neither the list, nor a late answer of the same incarnation,
//	    nor one of an earlier incarnation.
//	D3  The list lags and its replicas differ. Its signal is cleared when it
//	    says "live" again and either the server has restarted since, or the
//	    list has said nothing else for ListLag. A missing row says nothing.
//	D4  Of the operators' and the controllers' reports the newest version counts;
//	    older versions that arrive late are dropped (rule G10).
//	D5  A group gets no new work if one of its members is leaving, or if its
//	    controller has ever reported it as draining: a group that drained is
//	    formed again under a new name only.
//	D6  Only servers and groups that no source has reported for Retention are
//	    forgotten.
package drainer

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

// Source is a source that reports servers as leaving.
type Source string

// The sources, and SourceNone for a server that may get new work.
const (
	SourceNone       Source = ""
	SourceSelf       Source = "own-word"
	SourceList       Source = "list"
	SourceOperator   Source = "operator"
	SourceController Source = "controller"
)

// Options configure a Drainer. Zero fields take their default.
type Options struct {
	// ListLag is how long replicas of the instance list may differ.
	ListLag time.Duration
	// Retention is how long a server is remembered that no source reports.
	Retention time.Duration
}

// Defaults of Options.
const (
	DefaultListLag   = 30 * time.Second
	DefaultRetention = 10 * time.Minute
)

// Status says whether a server is leaving.
type Status struct {
	// Source is that of the earliest signal that is set, or SourceNone.
	Source Source
	// Since is when that signal was raised.
	Since time.Time
}

// Leaving reports whether the server may get no new work.
func (s Status) Leaving() bool { return s.Source != SourceNone }

// server holds the signals of one server.
type server struct {
	// incarnation is the highest one seen.
	incarnation uint64
	self        signal
	list        signal
	controller  signal
	// selfIncarnation is the one in which the server reported that it leaves, and
	// listIncarnation the one known when the list first said so.
	selfIncarnation uint64
	listIncarnation uint64
	// listLiveSince is since when the list has said only "live"; zero while it says
	// "leaving".
	listLiveSince time.Time
	// zone is the server's zone, for operator drains of whole zones.
	zone garnetworks.ZoneID
	// lastSeen is when any source last reported the server.
	lastSeen time.Time
}

// signal is one source's report that a server is leaving.
type signal struct {
	set   bool
	since time.Time
}

func (s *signal) raise(now time.Time) {
	if !s.set {
		*s = signal{set: true, since: now}
	}
}

func (s *signal) clear() { *s = signal{} }

// OperatorDrains are the instances and zones that a manifest drains.
type OperatorDrains struct {
	Generation garnetworks.Generation
	Instances  garnetworks.Set[garnetworks.InstanceID]
	Zones      garnetworks.Set[garnetworks.ZoneID]
}

// Drainer combines signals. It is not safe for concurrent use; see Shared.
type Drainer struct {
	options        Options
	servers        map[garnetworks.InstanceID]*server
	groups         map[garnetworks.GroupID]time.Time
	operatorDrains OperatorDrains
	// operatorDrainsAt is when operatorDrains was set.
	operatorDrainsAt time.Time
	versions         map[garnetworks.ZoneID]garnetworks.UpdateVersion
}

// New returns a Drainer without servers.
func New(options Options) *Drainer {
	if options.ListLag == 0 {
		options.ListLag = DefaultListLag
	}
	if options.Retention == 0 {
		options.Retention = DefaultRetention
	}
	return &Drainer{
		options:  options,
		servers:  map[garnetworks.InstanceID]*server{},
		groups:   map[garnetworks.GroupID]time.Time{},
		versions: map[garnetworks.ZoneID]garnetworks.UpdateVersion{},
	}
}

func (d *Drainer) server(now time.Time, id garnetworks.InstanceID) *server {
	s := d.servers[id]
	if s == nil {
		s = &server{}
		d.servers[id] = s
	}
	s.lastSeen = now
	return s
}

// ObserveList processes rows of the instance list.
func (d *Drainer) ObserveList(now time.Time, rows []garnetworks.ListedInstance) {
	for i := range rows {
		s := d.server(now, rows[i].ID)
		s.zone = rows[i].Zone
		if rows[i].State == garnetworks.ListedLeaving {
			s.markListedLeaving(now)
			continue
		}
		s.markListedLive(now, d.options.ListLag)
	}
}

func (s *server) markListedLeaving(now time.Time) {
	if !s.list.set {
		s.listIncarnation = s.incarnation
	}
	s.list.raise(now)
	s.listLiveSince = time.Time{}
}

// markListedLive keeps rule D3.
//
// A lagging replica of the list may say "live" after another one said "leaving"; taken
// at once, it would give the server new calls just before it stops.
func (s *server) markListedLive(now time.Time, lag time.Duration) {
	if s.listLiveSince.IsZero() {
		s.listLiveSince = now
	}
	restarted := s.incarnation > s.listIncarnation && s.listIncarnation > 0
	stable := now.Sub(s.listLiveSince) >= lag
	if restarted || stable {
		s.list.clear()
	}
}

// ObserveStatus processes a server's status (rule D2).
func (d *Drainer) ObserveStatus(now time.Time, status *garnetworks.EngineStatus) {
	s := d.server(now, status.Instance)
	if status.Incarnation < s.incarnation {
		return
	}
	s.incarnation = status.Incarnation
	if s.self.set && s.incarnation > s.selfIncarnation {
		s.self.clear()
	}
	// An engine in EngineDraining drains its group by a controller's order and serves
	// another one afterwards; the engine itself is not leaving.
	if status.Leaving {
		s.self.raise(now)
		s.selfIncarnation = s.incarnation
	}
}

// ObserveRefusal processes a server's refusal of a call because it is leaving. It counts
// as the server's own report in the known incarnation.
func (d *Drainer) ObserveRefusal(now time.Time, instance garnetworks.InstanceID) {
	s := d.server(now, instance)
	s.self.raise(now)
	s.selfIncarnation = s.incarnation
}

// SetOperatorDrains sets the drains of a manifest, unless those of a newer one are set
// (rule D4).
func (d *Drainer) SetOperatorDrains(now time.Time, operatorDrains OperatorDrains) {
	if operatorDrains.Generation < d.operatorDrains.Generation {
		return
	}
	d.operatorDrains = operatorDrains
	d.operatorDrainsAt = now
}

// ObserveView processes the view of a zone's controller (rules D4 and D5).
func (d *Drainer) ObserveView(now time.Time, version garnetworks.UpdateVersion, view *garnetworks.ZoneView) {
	if version.Less(d.versions[view.Zone]) {
		return
	}
	d.versions[view.Zone] = version
	for i := range view.Servers {
		s := d.server(now, view.Servers[i].Instance)
		s.zone = view.Zone
		if view.Servers[i].Leaving {
			s.controller.raise(now)
			continue
		}
		s.controller.clear()
	}
	for i := range view.Groups {
		d.group(now, view.Zone, &view.Groups[i])
	}
}

func (d *Drainer) group(now time.Time, zone garnetworks.ZoneID, group *garnetworks.GroupView) {
	for _, m := range group.Members {
		d.server(now, m).zone = zone
	}
	_, known := d.groups[group.ID]
	if group.State == garnetworks.GroupDraining || group.State == garnetworks.GroupBroken || known {
		d.groups[group.ID] = now
	}
}

// Status returns the status of a server. An unknown server may get new work: whoever
// routes to it knows it from a controller.
func (d *Drainer) Status(id garnetworks.InstanceID) Status {
	s := d.servers[id]
	if s == nil {
		return d.operatorStatus(id, "")
	}
	first := d.operatorStatus(id, s.zone) // the earliest signal counts (rule D1)
	for _, src := range []struct {
		Source
		signal
	}{{SourceSelf, s.self}, {SourceList, s.list}, {SourceController, s.controller}} {
		if src.set && (!first.Leaving() || src.since.Before(first.Since)) {
			first = Status{Source: src.Source, Since: src.since}
		}
	}
	return first
}

func (d *Drainer) operatorStatus(id garnetworks.InstanceID, zone garnetworks.ZoneID) Status {
	if d.operatorDrains.Instances.Has(id) || (zone != "" && d.operatorDrains.Zones.Has(zone)) {
		return Status{Source: SourceOperator, Since: d.operatorDrainsAt}
	}
	return Status{}
}

// Expire forgets servers and groups that no source has reported for Retention (rule D6),
// which bounds memory while instances come and go.
func (d *Drainer) Expire(now time.Time) {
	for id, s := range d.servers {
		if now.Sub(s.lastSeen) > d.options.Retention {
			delete(d.servers, id)
		}
	}
	for id, lastSeen := range d.groups {
		if now.Sub(lastSeen) > d.options.Retention {
			delete(d.groups, id)
		}
	}
}

// Snapshot returns the current state. It is immutable and may be read concurrently.
func (d *Drainer) Snapshot() *Snapshot {
	s := &Snapshot{
		leaving:  map[garnetworks.InstanceID]Status{},
		draining: make(garnetworks.Set[garnetworks.GroupID], len(d.groups)),
	}
	for id := range d.servers {
		if status := d.Status(id); status.Leaving() {
			s.leaving[id] = status
		}
	}
	for id := range d.operatorDrains.Instances {
		if status := d.Status(id); status.Leaving() {
			s.leaving[id] = status
		}
	}
	for id := range d.groups {
		s.draining.Add(id)
	}
	return s
}

// Snapshot is the state of a Drainer at one moment.
type Snapshot struct {
	leaving  map[garnetworks.InstanceID]Status
	draining garnetworks.Set[garnetworks.GroupID]
}

// Leaving returns the status of every server that may get no new work.
func (s *Snapshot) Leaving() map[garnetworks.InstanceID]Status { return s.leaving }

// ServerEligible reports whether the server may get new work.
func (s *Snapshot) ServerEligible(id garnetworks.InstanceID) bool {
	_, leaving := s.leaving[id]
	return !leaving
}

// GroupEligible reports whether the group may get new work (rule D5).
func (s *Snapshot) GroupEligible(group *garnetworks.GroupView) bool {
	if group.State != garnetworks.GroupServing || s.draining.Has(group.ID) {
		return false
	}
	for _, m := range group.Members {
		if !s.ServerEligible(m) {
			return false
		}
	}
	return true
}

// Apply returns a copy of the view for a router, in which leaving servers are marked as
// leaving, and serving groups that may get no new work as draining. The given view is not
// changed.
func (s *Snapshot) Apply(view *garnetworks.ZoneView) garnetworks.ZoneView {
	applied := *view
	applied.Servers = append([]garnetworks.ServerView(nil), view.Servers...)
	for i := range applied.Servers {
		if !s.ServerEligible(applied.Servers[i].Instance) {
			applied.Servers[i].Leaving = true
		}
	}
	applied.Groups = append([]garnetworks.GroupView(nil), view.Groups...)
	for i := range applied.Groups {
		g := &applied.Groups[i]
		if g.State == garnetworks.GroupServing && !s.GroupEligible(g) {
			g.State = garnetworks.GroupDraining
		}
	}
	return applied
}
