package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/garnetworks/garnetworks"
)

// DenialTime is how long evidence against a group counts (R3). Wrong evidence excludes a group
// for no longer than this; right evidence is renewed by the group's next refusal, after which
// the call is known not to have run.
const DenialTime = 5 * time.Second

const (
	// minCooldown and maxCooldown bound the time for which an unreachable group or server is
	// tried last. The time doubles with each failure.
	minCooldown = 250 * time.Millisecond
	maxCooldown = 4 * time.Second
)

// group is the state of a replica group as known to the node.
type group struct {
	view garnetworks.GroupView
	// seed is the hash of the group's ID.
	seed uint64
	load load
	pace pace
	// confirmedByView and confirmedByProbe are when the newest confirmation by the zone's view
	// and by the node's own probes was received, in Unix nanoseconds; 0 if there is none or a
	// later statement revoked it.
	confirmedByView, confirmedByProbe int64
	// deniedUntil is the time until which evidence against the group counts.
	deniedUntil int64
	// backoffUntil is the end of the backoff that the group requested when it refused a call.
	backoffUntil int64
	// confirmedUntil is the time until which the group is confirmed; 0 if it is not.
	confirmedUntil int64
	cooldown       cooldown
	// gone is set once no view lists the group.
	gone bool
	// viewSequence is that of the last view that listed the group.
	viewSequence    uint64
	epoch           uint32
	lastEventNumber uint64
	gaps            uint64
}

// cooldown delays further attempts at an unreachable group or server.
type cooldown struct {
	failures int
	until    int64
}

func (c *cooldown) fail(now int64) {
	d := min(maxCooldown, minCooldown<<min(c.failures, 8))
	c.failures++
	c.until = now + int64(d)
}

func (c *cooldown) succeed() { *c = cooldown{} }

// eligible reports whether the group may get a call now (R1, R3, R12).
func (g *group) eligible(now int64) bool { return g.serving(now) && g.backoffUntil <= now }

// serving is eligible without regard to backoffs.
func (g *group) serving(now int64) bool { return g.confirmedUntil >= now && g.deniedUntil <= now }

// updateConfirmation recomputes confirmedUntil; it must be called after each change of the
// fields that it reads (R1).
func (g *group) updateConfirmation() {
	g.confirmedUntil = 0
	if g.gone || g.view.State != garnetworks.GroupServing {
		return
	}
	if newest := max(g.confirmedByView, g.confirmedByProbe); newest > 0 {
		g.confirmedUntil = newest + int64(garnetworks.ConfirmationBound)
	}
}

// utilization returns the expected calls over the weighted capacity.
func (g *group) utilization() float64 { return g.load.inUse() / (g.load.capacity * g.pace.weight) }

// poolKey identifies a pool by model and adapter; adapter is empty for the base model.
type poolKey struct {
	model   garnetworks.ModelName
	adapter garnetworks.AdapterName
}

// entry is a group in a pool, with its seed for a fast scan.
type entry struct {
	seed  uint64
	group *group
}

// pool holds the groups that have a model and adapter, whether or not they are eligible.
type pool struct {
	// zone, region and site hold the groups of the node's zone, of its region, and all, each
	// sorted by ID.
	zone, region, site scope
}

// scope is a subset of a pool's groups.
type scope struct {
	entries []entry
	// mean is the utilization of the eligible groups together at the last refresh. cappedMean
	// is the same with the calls of each group capped at its capacity. eligible is the number
	// of eligible groups.
	mean       float64
	cappedMean float64
	eligible   int
	refreshed  int64
}

// zone is what the last view of an availability zone listed.
type zone struct {
	groups  map[garnetworks.GroupID]*group
	servers []garnetworks.ServerView
}

// table is the state on which decisions are based. It does no I/O; callers hold Router.mu.
type table struct {
	options Options
	regions map[garnetworks.ZoneID]garnetworks.RegionID
	zones   map[garnetworks.ZoneID]*zone
	groups  map[garnetworks.GroupID]*group
	pools   map[poolKey]*pool
	// services holds the servers of each plain service.
	services          map[garnetworks.ServiceName]*service
	sketch            sketch
	hints             hints
	rngState          uint64
	stragglersUpdated int64
	// viewSequence is the number of views received.
	viewSequence uint64
	scratch      []float64
	blocks       []uint64
}

func newTable(options Options) *table {
	t := &table{
		options:  options,
		regions:  map[garnetworks.ZoneID]garnetworks.RegionID{},
		zones:    map[garnetworks.ZoneID]*zone{},
		groups:   map[garnetworks.GroupID]*group{},
		pools:    map[poolKey]*pool{},
		services: map[garnetworks.ServiceName]*service{},
		rngState: mix(xxhash.Sum64String(string(options.Node)) ^ options.Seed),
	}
	t.setZones(options.Zones)
	return t
}

// next returns the next number of the node's pseudo-random sequence.
func (t *table) next() uint64 {
	t.rngState += 0x9e3779b97f4a7c15
	return mix(t.rngState)
}

func (t *table) setZones(zones []garnetworks.ZoneSpec) {
	clear(t.regions)
	for _, z := range zones {
		t.regions[z.Name] = z.Region
	}
	t.rebuild()
}

// setView replaces the groups and servers of a zone. The pools are rebuilt only if a group was
// added, removed or changed its model, zone or adapters; most views change only loads and
// confirmations.
func (t *table) setView(now int64, view garnetworks.ZoneView) {
	z := t.zones[view.Zone]
	if z == nil {
		z = &zone{groups: map[garnetworks.GroupID]*group{}}
		t.zones[view.Zone] = z
	}
	sorted := true
	t.viewSequence++
	for i := range view.Groups {
		v := &view.Groups[i]
		if !t.setGroup(now, view.Zone, v) {
			sorted = false
		}
		z.groups[v.ID] = t.groups[v.ID]
	}
	for id, g := range z.groups {
		if g.viewSequence != t.viewSequence {
			t.dropGroup(id, g)
			delete(z.groups, id)
			sorted = false
		}
	}
	if !slices.Equal(z.servers, view.Servers) {
		z.servers = slices.Clone(view.Servers)
		t.setServers()
	}
	if !sorted {
		t.rebuild()
	}
}

// setGroup updates a group from its row and reports whether the pools are still valid.
func (t *table) setGroup(now int64, zone garnetworks.ZoneID, view *garnetworks.GroupView) bool {
	g := t.groups[view.ID]
	if g == nil {
		g = &group{seed: mix(xxhash.Sum64String(string(view.ID)))}
		g.load.capacity = defaultCapacity
		g.pace.weight = 1
		t.groups[view.ID] = g
	}
	g.viewSequence = t.viewSequence
	if view.Token < g.view.Token {
		// A row with an earlier token is outdated: it must not bring back members that have
		// since been assigned to another group (rule G3).
		return true
	}
	if view.Token > g.view.Token {
		// Evidence and confirmations refer to the earlier token.
		g.deniedUntil = 0
		g.backoffUntil = 0
		g.confirmedByView = 0
		g.confirmedByProbe = 0
	}
	last := g.view
	g.view = *view
	if view.Zone == "" {
		g.view.Zone = zone
	}
	if view.Confirmed {
		g.confirmedByView = max(g.confirmedByView, now)
	} else {
		g.confirmedByView = 0
		g.confirmedByProbe = 0
	}
	g.load.update(now, view.Load)
	g.updateConfirmation()
	return last.ID == view.ID && last.Model == view.Model && last.Zone == g.view.Zone &&
		slices.Equal(last.Adapters, view.Adapters)
}

func (t *table) dropGroup(id garnetworks.GroupID, g *group) {
	g.gone = true
	g.updateConfirmation()
	delete(t.groups, id)
}

// refreshZone renews the confirmations of a zone's groups after its controller has stated that
// the view held here is still the newest.
func (t *table) refreshZone(now int64, id garnetworks.ZoneID) {
	z := t.zones[id]
	if z == nil {
		return
	}
	for _, g := range z.groups {
		if g.confirmedByView > 0 {
			g.confirmedByView = max(g.confirmedByView, now)
			g.updateConfirmation()
		}
	}
}

// confirm records a probe by this node in which all members confirmed (R2).
func (t *table) confirm(now int64, id garnetworks.GroupID, token garnetworks.FencingToken) {
	g := t.groups[id]
	if g == nil || g.view.Token != token {
		return
	}
	g.deniedUntil = 0
	g.confirmedByProbe = max(g.confirmedByProbe, now)
	g.updateConfirmation()
}

// deny records evidence against a group (R3).
func (t *table) deny(now int64, id garnetworks.GroupID) {
	g := t.groups[id]
	if g == nil {
		return
	}
	g.deniedUntil = now + int64(DenialTime)
}

// rebuild assigns all groups to pools.
func (t *table) rebuild() {
	clear(t.pools)
	for _, g := range t.groups {
		t.addToPool(g, "")
		for _, a := range g.view.Adapters {
			t.addToPool(g, a)
		}
	}
	for _, p := range t.pools {
		for _, s := range []*scope{&p.zone, &p.region, &p.site} {
			slices.SortFunc(s.entries, func(a, b entry) int {
				return cmp.Compare(a.group.view.ID, b.group.view.ID)
			})
		}
	}
	t.scratch = make([]float64, 0, len(t.groups))
	t.stragglersUpdated = 0
}

func (t *table) addToPool(g *group, adapter garnetworks.AdapterName) {
	key := poolKey{g.view.Model, adapter}
	p := t.pools[key]
	if p == nil {
		p = &pool{}
		t.pools[key] = p
	}
	e := entry{g.seed, g}
	p.site.entries = append(p.site.entries, e)
	if t.inRegion(g.view.Zone) {
		p.region.entries = append(p.region.entries, e)
	}
	if g.view.Zone == t.options.Zone {
		p.zone.entries = append(p.zone.entries, e)
	}
}

// inRegion reports whether a zone is in the node's region. Zones of unknown region count as such
// only if the node's own region is unknown too.
func (t *table) inRegion(id garnetworks.ZoneID) bool {
	return id == t.options.Zone || t.regions[id] == t.regions[t.options.Zone]
}

// refresh recomputes the means and the expected loads, at most once per refreshInterval (R7).
// The mean used for expected loads is that of fresh reports, without the node's own calls.
func (s *scope) refresh(now int64) {
	if s.refreshed != 0 && now-s.refreshed < int64(refreshInterval) {
		return
	}
	s.refreshed = now
	reported, weight := 0.0, 0.0
	for _, e := range s.entries {
		if !e.group.eligible(now) {
			continue
		}
		l := &e.group.load
		f := l.freshness(now)
		reported += f * l.reportedOthers
		weight += f * l.capacity
	}
	mean := 0.0
	if weight > 0 {
		mean = reported / weight
	}
	used, capped, capacity := 0.0, 0.0, 0.0
	s.eligible = 0
	for _, e := range s.entries {
		g := e.group
		if !g.eligible(now) {
			continue
		}
		g.load.refresh(now, mean)
		s.eligible++
		weighted := g.load.capacity * g.pace.weight
		used += g.load.inUse()
		capped += min(g.load.inUse(), weighted)
		capacity += weighted
	}
	s.mean, s.cappedMean = 0, 0
	if capacity > 0 {
		s.mean, s.cappedMean = used/capacity, capped/capacity
	}
}
