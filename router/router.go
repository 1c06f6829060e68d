package router

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Options configure a Router.
type Options struct {
	Node garnetworks.NodeID
	// Zone is the node's own availability zone.
	Zone garnetworks.ZoneID
	// Zones assign zones to regions; SetZones replaces them.
	Zones []garnetworks.ZoneSpec
	// Seed varies the node's random choices; any value is valid.
	Seed uint64
}

// Router chooses groups and servers. It is safe for concurrent use. A single mutex guards the
// table: a decision is too short for contention at the call rate of a node.
type Router struct {
	mu    sync.Mutex
	table *table
}

var (
	_ garnetworks.GroupChooser  = (*Router)(nil)
	_ garnetworks.ServerChooser = (*Router)(nil)
)

// New returns a router without views: it rejects all calls until SetView is called.
func New(options Options) *Router {
	return &Router{table: newTable(options)}
}

// SetZones sets the zones and regions of the active manifest.
func (r *Router) SetZones(zones []garnetworks.ZoneSpec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.setZones(zones)
}

// SetView replaces the view of a zone. at is when the node received it, less the age that the
// view is known to have. The router keeps the rows' members and adapters; the caller must not
// change them afterwards.
func (r *Router) SetView(at time.Time, view garnetworks.ZoneView) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.setView(at.UnixNano(), view)
}

// RefreshView records the statement of a zone's controller, received directly or through
// peers, that the view held here was still its newest at the given time.
func (r *Router) RefreshView(at time.Time, zone garnetworks.ZoneID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.refreshZone(at.UnixNano(), zone)
}

// ConfirmGroup records that all members of the group confirmed group, token, model and version
// to this node at the given time (R2). It is ignored if the token differs from the view's.
func (r *Router) ConfirmGroup(at time.Time, id garnetworks.GroupID, token garnetworks.FencingToken) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.confirm(at.UnixNano(), id, token)
}

// DenyGroup records evidence that the group does not serve (R3).
func (r *Router) DenyGroup(now time.Time, id garnetworks.GroupID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.deny(now.UnixNano(), id)
}

// CacheEvents applies a group's cache events to the hints (R9).
func (r *Router) CacheEvents(id garnetworks.GroupID, events []garnetworks.CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.table.groups[id]; g != nil {
		r.table.hints.applyEvents(g, events)
	}
}

// Choose returns the group for an attempt; see garnetworks.GroupChooser.
func (r *Router) Choose(now time.Time, call *garnetworks.CallRequest, tried []garnetworks.GroupID) (garnetworks.GroupView, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.table.choose(now.UnixNano(), call, tried)
	if g == nil {
		return garnetworks.GroupView{}, &garnetworks.Error{
			Kind:       garnetworks.KindNoGroup,
			Detail:     fmt.Sprintf("no confirmed group serves model %s with adapter %q", call.Model, call.Adapter),
			RetryAfter: r.table.backoffLeft(now.UnixNano(), call),
		}
	}
	return g.view, nil
}

// AttemptStarted counts an attempt as in flight; see garnetworks.GroupChooser.
func (r *Router) AttemptStarted(now time.Time, call *garnetworks.CallRequest, group garnetworks.GroupID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.started(now.UnixNano(), call, group)
}

// AttemptFinished ends an attempt and evaluates its result; see garnetworks.GroupChooser.
func (r *Router) AttemptFinished(now time.Time, _ *garnetworks.CallRequest, group garnetworks.GroupID, result garnetworks.AttemptResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.finished(now.UnixNano(), group, result)
}

// ReportLoad records the load reported with an answer; see garnetworks.GroupChooser.
func (r *Router) ReportLoad(now time.Time, group garnetworks.GroupID, load garnetworks.EngineLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.table.groups[group]; g != nil {
		g.load.update(now.UnixNano(), load)
	}
}

// ChooseServer returns the server for an attempt; see garnetworks.ServerChooser.
func (r *Router) ChooseServer(now time.Time, service garnetworks.ServiceName, tried []garnetworks.InstanceID) (garnetworks.ServerView, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.table.chooseServer(now.UnixNano(), service, tried)
	if s == nil {
		return garnetworks.ServerView{}, &garnetworks.Error{
			Kind:       garnetworks.KindNoBackend,
			Detail:     fmt.Sprintf("no backend server of service %s takes new work", service),
			RetryAfter: r.table.serverBackoffLeft(now.UnixNano(), service),
		}
	}
	return s.view, nil
}

// ServerCallStarted counts a call as in flight; see garnetworks.ServerChooser.
func (r *Router) ServerCallStarted(_ time.Time, service garnetworks.ServiceName, instance garnetworks.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.serverStarted(service, instance)
}

// ServerCallFinished ends a call and evaluates its result; see garnetworks.ServerChooser.
func (r *Router) ServerCallFinished(now time.Time, service garnetworks.ServiceName, instance garnetworks.InstanceID, result garnetworks.AttemptResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.serverFinished(now.UnixNano(), service, instance, result)
}

// Stragglers returns the groups that are slow by this node's measurements, sorted by ID.
func (r *Router) Stragglers(now time.Time) []Straggler {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.updateStragglers(now.UnixNano())
	var stragglers []Straggler
	for id, g := range r.table.groups {
		if g.pace.ratio > slowRatio {
			stragglers = append(stragglers, Straggler{
				Group: id, Zone: g.view.Zone, Ratio: g.pace.ratio, Samples: g.pace.samples,
			})
		}
	}
	slices.SortFunc(stragglers, func(a, b Straggler) int { return cmp.Compare(a.Group, b.Group) })
	return stragglers
}

// Capacities returns the total capacity and load of each model's eligible groups, sorted by
// model.
func (r *Router) Capacities(now time.Time) []garnetworks.ModelCapacity {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.capacities(now.UnixNano())
}
