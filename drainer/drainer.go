// Package drainer joins the signs that a backend server is leaving, and says
// which servers and groups may get new work. It is pure: it does no I/O and
// takes the time as an argument.
//
//	D1  The first sign counts at once, whichever it is (rule G8): the instance
//	    list, the server's own word, the operators' manifest, the zone's
//	    controller. No sign is outvoted by others that lag behind it.
//	D2  A server's own word holds for its incarnation. Only a later incarnation
//	    takes it back: neither the list, nor a late answer of the same
//	    incarnation, nor one of an earlier incarnation.
//	D3  The list lags and its replicas differ. Its word is taken back when it
//	    says "live" again and either the server has started anew since, or the
//	    list has said nothing else for ListLag. A row that is missing says
//	    nothing.
//	D4  Of the operators' and the controllers' words the newest version counts;
//	    older versions that come late are dropped (rule G10).
//	D5  A group gets no new work if one of its members is leaving, or if its
//	    controller has said once that it drains: a group that drained is formed
//	    again under a new name only.
//	D6  What is forgotten is only what nobody has named for Forget.
package drainer

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

// Sign says where it comes from that a server is leaving.
type Source string

// The signs, and SignNone for a server that may get new work.
const (
	SourceNone       Source = ""
	SourceSelf       Source = "own-word"
	SourceList       Source = "list"
	SourceOperator   Source = "operator"
	SourceController Source = "controller"
)

// Options are the bounds of the rules. Zero fields take their default.
type Options struct {
	// ListLag is how long replicas of the instance list may differ.
	ListLag time.Duration
	// Forget is how long a server that nobody names is remembered.
	Retention time.Duration
}

// Defaults of Options.
const (
	DefaultListLag   = 30 * time.Second
	DefaultRetention = 10 * time.Minute
)

// Status is what is known of one server.
type Status struct {
	// Sign is the first sign that still holds, or SignNone.
	Source Source
	// Since is when it came.
	Since time.Time
}

// Leaving reports whether the server may get no new work.
func (s Status) Leaving() bool { return s.Source != SourceNone }

// server is what the signs say of one server.
type server struct {
	// incarnation is the highest one seen.
	incarnation uint64
	self        signal
	list        signal
	controller  signal
	// ownIncarnation is the one in which the server said that it leaves, and
	// listIncarnation the one known when the list first said so.
	selfIncarnation uint64
	listIncarnation uint64
	// listLive is since when the list says "live" without a break; zero while it
	// says "leaving".
	listLiveSince time.Time
	// zone is the server's, for the operators' word on whole zones.
	zone garnetworks.ZoneID
	// named is when anybody last named the server.
	lastSeen time.Time
}

// mark is one sign.
type signal struct {
	set   bool
	since time.Time
}

func (m *signal) raise(now time.Time) {
	if !m.set {
		*m = signal{set: true, since: now}
	}
}

func (m *signal) clear() { *m = signal{} }

// OperatorDrains is the operators' word, which comes with a manifest.
type OperatorDrains struct {
	Generation garnetworks.Generation
	Instances  garnetworks.Set[garnetworks.InstanceID]
	Zones      garnetworks.Set[garnetworks.ZoneID]
}

// Drainer joins signs. It is for one goroutine; Snapshot gives what others read.
type Drainer struct {
	options        Options
	servers        map[garnetworks.InstanceID]*server
	groups         map[garnetworks.GroupID]time.Time
	operatorDrains OperatorDrains
	// operatorsAt is when the operators' word came.
	operatorDrainsAt time.Time
	versions         map[garnetworks.ZoneID]garnetworks.UpdateVersion
}

// New returns a Drainer that knows of no server.
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

// ObserveList takes rows of the instance list.
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

// listedLive keeps rule D3.
//
// Failure: one replica of the list says "leaving", the next answer comes from a
// replica that lags and says "live". Taken at its word, the server would get
// calls again in the seconds before it stops.
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

// ObserveStatus takes a server's status (rule D2).
func (d *Drainer) ObserveStatus(now time.Time, status *garnetworks.EngineStatus) {
	s := d.server(now, status.Instance)
	if status.Incarnation < s.incarnation {
		return
	}
	s.incarnation = status.Incarnation
	if s.self.set && s.incarnation > s.selfIncarnation {
		s.self.clear()
	}
	// An engine in EngineDraining drains its group by a controller's order and
	// serves another one afterwards; that is no word of its own.
	if status.Leaving {
		s.self.raise(now)
		s.selfIncarnation = s.incarnation
	}
}

// ObserveRefusal takes a server's refusal of a call because it is leaving: its own word
// in the incarnation that is known.
func (d *Drainer) ObserveRefusal(now time.Time, instance garnetworks.InstanceID) {
	s := d.server(now, instance)
	s.self.raise(now)
	s.selfIncarnation = s.incarnation
}

// SetOperatorDrains takes the operators' word (rule D4).
func (d *Drainer) SetOperatorDrains(now time.Time, operatorDrains OperatorDrains) {
	if operatorDrains.Generation < d.operatorDrains.Generation {
		return
	}
	d.operatorDrains = operatorDrains
	d.operatorDrainsAt = now
}

// ObserveView takes the view of a zone's controller (rules D4 and D5).
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

// Status returns what is known of a server. A server that nobody has named may
// get new work: whoever routes to it knows it from a controller.
func (d *Drainer) Status(id garnetworks.InstanceID) Status {
	s := d.servers[id]
	if s == nil {
		return d.operatorStatus(id, "")
	}
	first := d.operatorStatus(id, s.zone) // the earliest sign counts (rule D1)
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

// Expire forgets what nobody has named for long (rule D6). It bounds the memory
// of a node that sees instances come and go for weeks.
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

// Snapshot returns what the signs say now. It is never changed and may be read
// by several goroutines.
func (d *Drainer) Snapshot() *Snapshot {
	s := &Snapshot{
		leaving:  map[garnetworks.InstanceID]Status{},
		draining: make(garnetworks.Set[garnetworks.GroupID], len(d.groups)),
	}
	for id := range d.servers {
		if j := d.Status(id); j.Leaving() {
			s.leaving[id] = j
		}
	}
	for id := range d.operatorDrains.Instances {
		if j := d.Status(id); j.Leaving() {
			s.leaving[id] = j
		}
	}
	for id := range d.groups {
		s.draining.Add(id)
	}
	return s
}

// Snapshot is what the signs said at one moment.
type Snapshot struct {
	leaving  map[garnetworks.InstanceID]Status
	draining garnetworks.Set[garnetworks.GroupID]
}

// Leaving returns the judgement of every server that may get no new work.
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

// Apply returns the view with all signs in it, for a router: servers that are
// leaving say so, and groups that may get no new work are draining. The given
// view is not changed.
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
