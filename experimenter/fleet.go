package experimenter

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/follower"
	"github.com/garnetworks/garnetworks/former"
)

// service is the name of the only service of a fleet.
const service garnetworks.ServiceName = "llm"

// engine is the state of a simulated engine.
type engine struct {
	garnetworks.RegisteredServer
	// readyAt is the end of a join, openAt that of opening, stagedAt that of a load to the host.
	readyAt, openAt, stagedAt time.Duration
	staging                   garnetworks.ModelName
	// lostAt is when the engine was lost; never while it is alive.
	lostAt time.Duration
}

// fleet holds the engines of a pattern, which execute orders at their published speed.
type fleet struct {
	pattern *GroupPattern
	now     time.Duration
	engines map[garnetworks.InstanceID]*engine
	// opened holds the models of the groups that began to serve in this step.
	opened []garnetworks.ModelName
	// snapshots holds the store's recent contents, oldest first.
	snapshots []timedSnapshot
}

type timedSnapshot struct {
	at      time.Duration
	servers follower.Servers
}

const never = time.Duration(-1)

func newFleet(pattern *GroupPattern) *fleet {
	f := &fleet{pattern: pattern, engines: make(map[garnetworks.InstanceID]*engine)}
	for d := range pattern.Domains {
		for range pattern.EnginesPerDomain {
			f.add(d)
		}
	}
	return f
}

func domainName(n int) garnetworks.DomainID { return garnetworks.DomainID(fmt.Sprintf("d%d", n)) }

// add adds an engine without weights to a domain.
func (f *fleet) add(domain int) *engine {
	e := &engine{lostAt: never, openAt: never}
	e.ID = garnetworks.InstanceID(fmt.Sprintf("i-%d-%03d", domain, len(f.engines)))
	e.Service, e.State, e.Address = service, garnetworks.ListedLive, string(e.ID)
	e.Domain = domainName(domain)
	f.engines[e.ID] = e
	return e
}

// advance completes the loads, joins and openings that are due.
func (f *fleet) advance() {
	for _, id := range slices.Sorted(maps.Keys(f.engines)) {
		e := f.engines[id]
		if e.staging != "" && f.now >= e.stagedAt {
			e.Staged, e.staging = []garnetworks.ModelName{e.staging}, ""
		}
		if e.Membership.State == garnetworks.MemberJoining && f.now >= e.readyAt {
			f.finishJoin(e)
		}
		if e.openAt != never && f.now >= e.openAt {
			e.openAt, e.Membership.State = never, garnetworks.MemberOpen
			if f.complete(e) {
				f.opened = append(f.opened, e.Model)
			}
		}
	}
	f.snapshots = append(f.snapshots, timedSnapshot{f.now, f.snapshot()})
	if len(f.snapshots) > 1 && f.snapshots[1].at <= f.now-storeLag {
		f.snapshots = f.snapshots[1:]
	}
}

func (f *fleet) finishJoin(e *engine) {
	model := former.GroupModel(e.Membership.Group)
	if e.Model != model && !slices.Contains(e.Staged, model) {
		e.Staged = []garnetworks.ModelName{model}
	}
	e.Model, e.Membership.State = model, garnetworks.MemberReady
}

// snapshot returns the store's contents now: lost engines stay until their entry lapses.
func (f *fleet) snapshot() follower.Servers {
	servers := make(follower.Servers, len(f.engines))
	for id, e := range f.engines {
		if f.silence(e) < entryLapseTime {
			servers[id] = e.RegisteredServer
		}
	}
	return servers
}

// snapshotAt returns the newest snapshot that is not newer than the time.
func (f *fleet) snapshotAt(at time.Duration) follower.Servers {
	servers := f.snapshots[0].servers
	for _, l := range f.snapshots {
		if l.at <= at {
			servers = l.servers
		}
	}
	return servers
}

// unresponsive returns the lost engines that probes have detected.
func (f *fleet) unresponsive(detectsSilence bool) garnetworks.Set[garnetworks.Incarnation] {
	unresponsive := make(garnetworks.Set[garnetworks.Incarnation])
	for _, e := range f.engines {
		if detectsSilence && f.silence(e) >= detectionTime {
			unresponsive.Add(e.Incarnation())
		}
	}
	return unresponsive
}

// silence returns how long an engine has been lost or unreachable; 0 if it is neither.
func (f *fleet) silence(e *engine) time.Duration {
	p := f.pattern
	switch {
	case e.lostAt != never:
		return f.now - e.lostAt
	case e.Domain == domainName(0) && f.now >= p.UnreachableAt && f.now < p.UnreachableAt+p.UnreachableFor:
		return f.now - p.UnreachableAt
	}
	return 0
}

// execute applies an order to its engine.
func (f *fleet) execute(o *garnetworks.GroupOrder) error {
	e := f.engines[o.Incarnation.Instance]
	if e == nil || e.lostAt != never || f.silence(e) > 0 {
		return garnetworks.Errorf(garnetworks.KindUnreachable, "the engine is lost")
	}
	same := e.Membership.Group == o.Group && e.Membership.Epoch == o.Epoch
	switch o.Kind {
	case garnetworks.GroupStage:
		if !slices.Contains(e.Staged, o.Model) && e.staging == "" {
			e.staging, e.stagedAt = o.Model, f.now+f.loadTime(o.Model)
		}
		return nil
	case garnetworks.GroupJoin:
		if !same {
			f.join(e, o)
		}
		return nil
	}
	if !same {
		return garnetworks.Errorf(garnetworks.KindConflict, "the engine is not in the group")
	}
	f.changeMembership(e, o.Kind)
	return nil
}

// changeMembership opens, closes or leaves the engine's group.
func (f *fleet) changeMembership(e *engine, kind garnetworks.GroupOrderKind) {
	switch kind {
	case garnetworks.GroupOpen:
		if e.Membership.State == garnetworks.MemberReady && e.openAt == never {
			e.openAt = f.now + f.pattern.Profile.FormTime
		}
	case garnetworks.GroupClose:
		e.Membership.State = garnetworks.MemberReady
	case garnetworks.GroupLeave:
		e.Membership, e.openAt = garnetworks.Membership{}, never
	}
}

func (f *fleet) join(e *engine, o *garnetworks.GroupOrder) {
	e.openAt = never
	e.Membership = garnetworks.Membership{
		Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, e.Incarnation()), State: garnetworks.MemberJoining,
	}
	took := f.loadTime(o.Model)
	if slices.Contains(e.Staged, o.Model) {
		took = f.model(o.Model).WarmLoadTime
	}
	if e.Model == o.Model {
		took = rejoinTime
	}
	e.readyAt = f.now + took
}

// loadTime returns the duration of a load that begins now; it grows with concurrent loads.
func (f *fleet) loadTime(model garnetworks.ModelName) time.Duration {
	took := f.model(model).LoadTime
	if f.now < firstCall {
		return took / initialLoadSpeedup
	}
	running := 1
	for _, e := range f.engines {
		if e.staging != "" || e.Membership.State == garnetworks.MemberJoining && e.readyAt-f.now > f.model(model).WarmLoadTime {
			running++
		}
	}
	return time.Duration(float64(took) * max(1, float64(running)/float64(f.pattern.Profile.MaxConcurrentLoads)))
}

func (f *fleet) model(name garnetworks.ModelName) *garnetworks.ModelProfile {
	for i := range f.pattern.Profile.Models {
		if f.pattern.Profile.Models[i].Name == name {
			return &f.pattern.Profile.Models[i]
		}
	}
	return &garnetworks.ModelProfile{GroupSize: 1}
}

// complete reports whether all members of the engine's group are alive.
func (f *fleet) complete(head *engine) bool {
	n := 0
	for _, e := range f.engines {
		if e.lostAt == never && e.Membership.Group == head.Membership.Group && e.Membership.Epoch == head.Membership.Epoch {
			n++
		}
	}
	return n == f.model(former.GroupModel(head.Membership.Group)).GroupSize
}

// heads returns the heads of the serving groups.
func (f *fleet) heads() []*engine {
	var heads []*engine
	for _, id := range slices.Sorted(maps.Keys(f.engines)) {
		if e := f.engines[id]; e.lostAt == never && f.silence(e) == 0 && e.Membership.State == garnetworks.MemberOpen && f.complete(e) {
			heads = append(heads, e)
		}
	}
	return heads
}

func (f *fleet) serving() map[garnetworks.ModelName]int {
	counts := make(map[garnetworks.ModelName]int)
	for _, h := range f.heads() {
		counts[h.Model]++
	}
	return counts
}

// members returns the members of the serving groups.
func (f *fleet) members() []*engine {
	serving := make(garnetworks.Set[garnetworks.GroupID])
	for _, h := range f.heads() {
		serving.Add(h.Membership.Group)
	}
	var members []*engine
	for _, id := range slices.Sorted(maps.Keys(f.engines)) {
		if e := f.engines[id]; e.lostAt == never && serving.Has(e.Membership.Group) {
			members = append(members, e)
		}
	}
	return members
}

// idle returns the number of engines that are alive and in no serving group.
func (f *fleet) idle() int {
	living := 0
	for _, e := range f.engines {
		if e.lostAt == never {
			living++
		}
	}
	return living - len(f.members())
}
