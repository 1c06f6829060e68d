package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/garnetworks/garnetworks"
)

// DenialTime is the longest time that a sign against a group lasts (R3). A
// wrong sign costs the group this time; a right one is renewed by the next
// refusal, which is proven not run.
const DenialTime = 5 * time.Second

const (
	// cooldownStart and cooldownMost bound the time for which a group or a
	// server that could not be reached is tried last.
	minCooldown = 250 * time.Millisecond
	maxCooldown = 4 * time.Second
)

// group is what the node knows of a replica group.
type group struct {
	view garnetworks.GroupView
	// seed is the hash of the group's ID.
	seed uint64
	load load
	pace pace
	// viewed and probed are when the newest confirmations by the zone's view and
	// by the node's own probes were received, in nanoseconds; 0 if the newest
	// word of that source was against the group.
	confirmedByView, confirmedByProbe int64
	// denied is the time up to which a sign against the group counts.
	deniedUntil int64
	// until is the time up to which the group is confirmed; 0 if it is not.
	confirmedUntil int64
	cooldown       cooldown
	// gone is set once the group is no longer in any view.
	gone bool
	// round is that of the last view that named the group.
	viewSequence    uint64
	epoch           uint32
	lastEventNumber uint64
	gaps            uint64
}

// cooldown lets a backend server rest that could not be reached.
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

// eligible reports whether the group may get a call now (R1, R3).
func (g *group) eligible(now int64) bool { return g.confirmedUntil >= now && g.deniedUntil <= now }

// settle recomputes until after any change (R1).
func (g *group) updateConfirmation() {
	g.confirmedUntil = 0
	if g.gone || g.view.State != garnetworks.GroupServing {
		return
	}
	if newest := max(g.confirmedByView, g.confirmedByProbe); newest > 0 {
		g.confirmedUntil = newest + int64(garnetworks.ConfirmationBound)
	}
}

// use returns the used share of what the group can take.
func (g *group) utilization() float64 { return g.load.inUse() / (g.load.capacity * g.pace.weight) }

// poolKey names what a call needs of a group.
type poolKey struct {
	model   garnetworks.ModelName
	adapter garnetworks.AdapterName
}

// entry is a group in a pool, laid out for the scan of all groups.
type entry struct {
	seed  uint64
	group *group
}

// pool holds the groups that a call may go to by model and adapter; whether
// they are eligible now is checked in the scan.
type pool struct {
	// zone, region and site hold the groups of the node's zone, of its region,
	// and all, each sorted by ID.
	zone, region, site scope
}

// scope is a part of a pool.
type scope struct {
	entries []entry
	// mean is the mean use of the eligible groups at the last refresh, filled the
	// same with no group above 1, and eligible their number.
	mean       float64
	cappedMean float64
	eligible   int
	refreshed  int64
}

// zone is what the node knows of an availability zone.
type zone struct {
	groups  map[garnetworks.GroupID]*group
	servers []garnetworks.ServerView
}

// table is the state behind decisions; it does no I/O and no locking.
type table struct {
	options Options
	regions map[garnetworks.ZoneID]garnetworks.RegionID
	zones   map[garnetworks.ZoneID]*zone
	groups  map[garnetworks.GroupID]*group
	pools   map[poolKey]*pool
	// services holds the servers of each service by instance.
	services          map[garnetworks.ServiceName]*service
	sketch            sketch
	hints             hints
	rngState          uint64
	stragglersUpdated int64
	// round counts the views.
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

// next returns the next pseudo-random number of the node's own sequence.
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

// setView replaces what is known of a zone's groups and servers. Most views
// differ from the last one in loads and confirmations only; the pools are sorted
// anew only if one of the groups came, went or changed what it serves.
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

// setGroup takes a group's row and reports whether the pools are still sorted.
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
		// A row from before the newest token: a delayed view must not bring back
		// members that have since been given away (rule G3).
		return true
	}
	if view.Token > g.view.Token {
		// Signs and confirmations were about the earlier token.
		g.deniedUntil = 0
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

// refreshZone renews the confirmations of a zone's groups: its controller said
// that the view held here is still the newest.
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

// confirm takes the node's own probe of all members of a group (R2).
func (t *table) confirm(now int64, id garnetworks.GroupID, token garnetworks.FencingToken) {
	g := t.groups[id]
	if g == nil || g.view.Token != token {
		return
	}
	g.deniedUntil = 0
	g.confirmedByProbe = max(g.confirmedByProbe, now)
	g.updateConfirmation()
}

// deny takes a sign against a group (R3).
func (t *table) deny(now int64, id garnetworks.GroupID) {
	g := t.groups[id]
	if g == nil {
		return
	}
	g.deniedUntil = now + int64(DenialTime)
}

// rebuild sorts the groups into pools.
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

// near reports whether a zone is in the node's region; zones of unknown region
// count as near only if the node's own region is unknown too.
func (t *table) inRegion(id garnetworks.ZoneID) bool {
	return id == t.options.Zone || t.regions[id] == t.regions[t.options.Zone]
}

// refresh recomputes a scope's mean and the expected loads now and then (R7).
// The mean is that of fresh reports; the own calls count besides.
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
