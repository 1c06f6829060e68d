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
type Sign string

// The signs, and SignNone for a server that may get new work.
const (
	SignNone       Sign = ""
	SignOwnWord    Sign = "own-word"
	SignList       Sign = "list"
	SignOperator   Sign = "operator"
	SignController Sign = "controller"
)

// Options are the bounds of the rules. Zero fields take their default.
type Options struct {
	// ListLag is how long replicas of the instance list may differ.
	ListLag time.Duration
	// Forget is how long a server that nobody names is remembered.
	Forget time.Duration
}

// Defaults of Options.
const (
	DefaultListLag = 30 * time.Second
	DefaultForget  = 10 * time.Minute
)

// Judgement is what is known of one server.
type Judgement struct {
	// Sign is the first sign that still holds, or SignNone.
	Sign Sign
	// Since is when it came.
	Since time.Time
}

// Leaving reports whether the server may get no new work.
func (j Judgement) Leaving() bool { return j.Sign != SignNone }

// server is what the signs say of one server.
type server struct {
	// incarnation is the highest one seen.
	incarnation uint64
	own         mark
	list        mark
	controller  mark
	// ownIncarnation is the one in which the server said that it leaves, and
	// listIncarnation the one known when the list first said so.
	ownIncarnation  uint64
	listIncarnation uint64
	// listLive is since when the list says "live" without a break; zero while it
	// says "leaving".
	listLive time.Time
	// zone is the server's, for the operators' word on whole zones.
	zone garnetworks.ZoneID
	// named is when anybody last named the server.
	named time.Time
}

// mark is one sign.
type mark struct {
	set   bool
	since time.Time
}

func (m *mark) put(now time.Time) {
	if !m.set {
		*m = mark{set: true, since: now}
	}
}

func (m *mark) clear() { *m = mark{} }

// Operators is the operators' word, which comes with a manifest.
type Operators struct {
	Generation garnetworks.Generation
	Instances  garnetworks.Set[garnetworks.InstanceID]
	Zones      garnetworks.Set[garnetworks.ZoneID]
}

// Drainer joins signs. It is for one goroutine; Snapshot gives what others read.
type Drainer struct {
	options   Options
	servers   map[garnetworks.InstanceID]*server
	groups    map[garnetworks.GroupID]time.Time
	operators Operators
	// operatorsAt is when the operators' word came.
	operatorsAt time.Time
	versions    map[garnetworks.ZoneID]garnetworks.UpdateVersion
}

// New returns a Drainer that knows of no server.
func New(options Options) *Drainer {
	if options.ListLag == 0 {
		options.ListLag = DefaultListLag
	}
	if options.Forget == 0 {
		options.Forget = DefaultForget
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
	s.named = now
	return s
}

// List takes rows of the instance list.
func (d *Drainer) List(now time.Time, rows []garnetworks.ListedInstance) {
	for i := range rows {
		s := d.server(now, rows[i].ID)
		s.zone = rows[i].Zone
		if rows[i].State == garnetworks.ListedLeaving {
			s.listedLeaving(now)
			continue
		}
		s.listedLive(now, d.options.ListLag)
	}
}

func (s *server) listedLeaving(now time.Time) {
	if !s.list.set {
		s.listIncarnation = s.incarnation
	}
	s.list.put(now)
	s.listLive = time.Time{}
}

// listedLive keeps rule D3.
//
// Failure: one replica of the list says "leaving", the next answer comes from a
// replica that lags and says "live". Taken at its word, the server would get
// calls again in the seconds before it stops.
func (s *server) listedLive(now time.Time, lag time.Duration) {
	if s.listLive.IsZero() {
		s.listLive = now
	}
	startedAnew := s.incarnation > s.listIncarnation && s.listIncarnation > 0
	settled := now.Sub(s.listLive) >= lag
	if startedAnew || settled {
		s.list.clear()
	}
}

// OwnWord takes a server's status (rule D2).
func (d *Drainer) OwnWord(now time.Time, status *garnetworks.EngineStatus) {
	s := d.server(now, status.Instance)
	if status.Incarnation < s.incarnation {
		return
	}
	s.incarnation = status.Incarnation
	if s.own.set && s.incarnation > s.ownIncarnation {
		s.own.clear()
	}
	// An engine in EngineDraining drains its group by a controller's order and
	// serves another one afterwards; that is no word of its own.
	if status.Leaving {
		s.own.put(now)
		s.ownIncarnation = s.incarnation
	}
}

// Refused takes a server's refusal of a call because it is leaving: its own word
// in the incarnation that is known.
func (d *Drainer) Refused(now time.Time, instance garnetworks.InstanceID) {
	s := d.server(now, instance)
	s.own.put(now)
	s.ownIncarnation = s.incarnation
}

// Operators takes the operators' word (rule D4).
func (d *Drainer) Operators(now time.Time, operators Operators) {
	if operators.Generation < d.operators.Generation {
		return
	}
	d.operators = operators
	d.operatorsAt = now
}

// Controller takes the view of a zone's controller (rules D4 and D5).
func (d *Drainer) Controller(now time.Time, version garnetworks.UpdateVersion, view *garnetworks.ZoneView) {
	if version.Less(d.versions[view.Zone]) {
		return
	}
	d.versions[view.Zone] = version
	for i := range view.Servers {
		s := d.server(now, view.Servers[i].Instance)
		s.zone = view.Zone
		if view.Servers[i].Leaving {
			s.controller.put(now)
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

// Judge returns what is known of a server. A server that nobody has named may
// get new work: whoever routes to it knows it from a controller.
func (d *Drainer) Judge(id garnetworks.InstanceID) Judgement {
	s := d.servers[id]
	if s == nil {
		return d.operatorsOn(id, "")
	}
	first := d.operatorsOn(id, s.zone) // the earliest sign counts (rule D1)
	for _, sign := range []struct {
		Sign
		mark
	}{{SignOwnWord, s.own}, {SignList, s.list}, {SignController, s.controller}} {
		if sign.set && (!first.Leaving() || sign.since.Before(first.Since)) {
			first = Judgement{Sign: sign.Sign, Since: sign.since}
		}
	}
	return first
}

func (d *Drainer) operatorsOn(id garnetworks.InstanceID, zone garnetworks.ZoneID) Judgement {
	if d.operators.Instances.Has(id) || (zone != "" && d.operators.Zones.Has(zone)) {
		return Judgement{Sign: SignOperator, Since: d.operatorsAt}
	}
	return Judgement{}
}

// Expire forgets what nobody has named for long (rule D6). It bounds the memory
// of a node that sees instances come and go for weeks.
func (d *Drainer) Expire(now time.Time) {
	for id, s := range d.servers {
		if now.Sub(s.named) > d.options.Forget {
			delete(d.servers, id)
		}
	}
	for id, named := range d.groups {
		if now.Sub(named) > d.options.Forget {
			delete(d.groups, id)
		}
	}
}

// Snapshot returns what the signs say now. It is never changed and may be read
// by several goroutines.
func (d *Drainer) Snapshot() *Snapshot {
	s := &Snapshot{
		leaving:  map[garnetworks.InstanceID]Judgement{},
		draining: make(garnetworks.Set[garnetworks.GroupID], len(d.groups)),
	}
	for id := range d.servers {
		if j := d.Judge(id); j.Leaving() {
			s.leaving[id] = j
		}
	}
	for id := range d.operators.Instances {
		if j := d.Judge(id); j.Leaving() {
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
	leaving  map[garnetworks.InstanceID]Judgement
	draining garnetworks.Set[garnetworks.GroupID]
}

// Leaving returns the judgement of every server that may get no new work.
func (s *Snapshot) Leaving() map[garnetworks.InstanceID]Judgement { return s.leaving }

// Server reports whether the server may get new work.
func (s *Snapshot) Server(id garnetworks.InstanceID) bool {
	_, leaving := s.leaving[id]
	return !leaving
}

// Group reports whether the group may get new work (rule D5).
func (s *Snapshot) Group(group *garnetworks.GroupView) bool {
	if group.State != garnetworks.GroupServing || s.draining.Has(group.ID) {
		return false
	}
	for _, m := range group.Members {
		if !s.Server(m) {
			return false
		}
	}
	return true
}

// Mark returns the view with all signs in it, for a router: servers that are
// leaving say so, and groups that may get no new work are draining. The given
// view is not changed.
func (s *Snapshot) Mark(view *garnetworks.ZoneView) garnetworks.ZoneView {
	marked := *view
	marked.Servers = append([]garnetworks.ServerView(nil), view.Servers...)
	for i := range marked.Servers {
		if !s.Server(marked.Servers[i].Instance) {
			marked.Servers[i].Leaving = true
		}
	}
	marked.Groups = append([]garnetworks.GroupView(nil), view.Groups...)
	for i := range marked.Groups {
		g := &marked.Groups[i]
		if g.State == garnetworks.GroupServing && !s.Group(g) {
			g.State = garnetworks.GroupDraining
		}
	}
	return marked
}
