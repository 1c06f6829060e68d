package former_test

import (
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Two members of large groups are lost in one domain. Spares that held a single model could
// replace only the first one without a load.
func TestSpareReplacesEitherModel(t *testing.T) {
	w := newSimulation(1, 11)
	w.run(60 * time.Second)
	for range 2 {
		w.member("large", 1).dead = true
		w.run(3 * time.Second)
	}
	checkRules(t, w)
	if got := w.serving(); got["large"] != 1 || got["small"] != 1 {
		t.Errorf("serving %v three seconds after the second loss", got)
	}
}

// newLargeSimulation has domains of 27: a large group, two small ones and three spares each.
func newLargeSimulation(domains int) *simulation {
	w := newSimulation(domains, 27)
	w.profile.Models = []garnetworks.ModelProfile{
		{Name: "large", GroupSize: 12, InitialShare: 0.5, TimeFactor: 1, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
		{Name: "small", GroupSize: 6, InitialShare: 0.5, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
	}
	w.run(60 * time.Second)
	return w
}

// A domain lacks one member for its large group after several losses. It must close a small
// group for it rather than form another small one.
func TestLargeGroupIsCompletedByASmallOne(t *testing.T) {
	w := newLargeSimulation(2)
	for range 4 {
		w.memberOf("d0", "large", 1).dead = true
		w.run(10 * time.Second)
	}
	w.run(10 * time.Second)
	checkRules(t, w)
	if got := w.serving(); got["large"] != 2 || got["small"] != 3 {
		t.Errorf("serving %v, want 2 large groups and 3 small ones", got)
	}
}

// A lease holder that has begun a reallocation is replaced. The closed group must not stay
// closed.
func TestReallocationSurvivesLeaseChange(t *testing.T) {
	w := newLargeSimulation(2)
	for range 4 {
		w.memberOf("d0", "large", 1).dead = true
		w.run(5 * time.Second)
	}
	for range 20 {
		w.run(300 * time.Millisecond)
		w.term++
		w.refreshView()
	}
	w.run(60 * time.Second)
	checkRules(t, w)
	if got := w.serving(); got["large"] != 2 || got["small"] != 3 {
		t.Errorf("serving %v, want 2 large groups and 3 small ones", got)
	}
}

// The entries of a closed group's members lag. Its head must not be ordered to open the old
// group again as if an earlier lease holder had left it unopened.
func TestReallocatedGroupIsNotReopened(t *testing.T) {
	w := newLargeSimulation(2)
	for range 4 {
		w.memberOf("d0", "large", 1).dead = true
		for i := range 100 {
			if i%5 == 0 {
				w.refreshView()
			}
			w.step(100 * time.Millisecond)
		}
	}
	w.run(10 * time.Second)
	checkRules(t, w)
	if got := w.serving(); got["large"] != 2 {
		t.Errorf("serving %v, want 2 large groups", got)
	}
	if w.invalidOpens > 0 {
		t.Errorf("%d orders to open did not match the engine's state", w.invalidOpens)
	}
}

// A large group needs one more instance, and the only free one has no weights. The others must
// not wait for its load in a group, since a small group may need one of them.
func TestMembersDoNotWaitForALoad(t *testing.T) {
	w := newLargeSimulation(1)
	for range 3 {
		w.memberOf("d0", "large", 1).dead = true
		w.run(5 * time.Second)
	}
	w.memberOf("d0", "large", 1).dead = true
	w.add("i-new", "d0")
	w.run(3 * time.Second)
	w.memberOf("d0", "small", 1).dead = true
	w.run(4 * time.Second)
	checkRules(t, w)
	if got := w.serving(); got["small"] < 1 {
		t.Errorf("serving %v four seconds after the loss", got)
	}
	if w.joinsWithLoad > 0 {
		t.Errorf("%d joins had to wait for a load", w.joinsWithLoad)
	}
	w.run(30 * time.Second)
	if got := w.serving(); got["large"] != 1 || got["small"] != 1 {
		t.Errorf("serving %v in the end", got)
	}
}

// newUnevenSimulation has domains of eight for groups of four and of two, without a spare.
func newUnevenSimulation(domains int) *simulation {
	w := newSimulation(domains, 8)
	w.profile.Models[0].GroupSize, w.profile.Models[1].GroupSize = 4, 2
	w.run(40 * time.Second)
	return w
}

// restartDomain restarts the engines of a domain; their hosts keep their models.
func (w *simulation) restartDomain(domain garnetworks.DomainID) {
	for _, e := range w.engines {
		if e.Domain == domain && !e.dead {
			e.Membership, e.Model, e.epoch = garnetworks.Membership{}, "", 0
			e.unresponsive = false
		}
	}
}

// The engines of a domain restart with only the small model on their hosts and form small
// groups. Several of these must be closed for each large group that was lost.
func TestLargeModelRecoversAfterDomainRestart(t *testing.T) {
	w := newUnevenSimulation(6)
	before := w.serving()
	for _, domain := range []garnetworks.DomainID{"d0", "d1"} {
		for _, e := range w.engines {
			if e.Domain == domain {
				e.unresponsive = true
				e.Staged = []garnetworks.ModelName{"small"}
			}
		}
		w.run(5 * time.Second)
		w.restartDomain(domain)
		w.run(5 * time.Second)
	}
	w.run(40 * time.Second)
	checkRules(t, w)
	if got := w.serving(); got["large"] < before["large"] {
		t.Errorf("serving %v, at the start %v", got, before)
	}
}

// Guards against groups of an evacuated zone that are closed for another model: their return
// would wait until the new groups serve.
func TestEvacuatedZoneKeepsItsGroups(t *testing.T) {
	w := newLargeSimulation(2)
	for _, e := range w.engines {
		e.Zone = garnetworks.ZoneID(e.Domain)
	}
	w.evacuated = garnetworks.NewSet[garnetworks.ZoneID]("d0")
	before := w.groupsOf("d0", "small")
	for range 4 {
		w.memberOf("d0", "large", 1).dead = true
		w.run(10 * time.Second)
	}
	w.run(10 * time.Second)
	checkRules(t, w)
	after := w.groupsOf("d0", "small")
	for id := range before {
		if !after.Has(id) {
			t.Errorf("group %s of the evacuated zone was closed; the zone has %v, before the losses %v", id, after, before)
		}
	}
}

// Guards against a model without groups because those of an evacuated zone count as serving.
func TestGroupsOfEvacuatedZoneDoNotCountAsServing(t *testing.T) {
	w := newSimulation(2, 12)
	w.profile.Models[0].InitialShare, w.profile.Models[1].InitialShare = 0.4, 0.6
	w.run(40 * time.Second)
	evacuated, other := garnetworks.DomainID("d0"), garnetworks.DomainID("d1")
	if len(w.groupsOf(other, "large")) > 0 {
		evacuated, other = other, evacuated
	}
	for _, e := range w.engines {
		e.Zone = garnetworks.ZoneID(e.Domain)
		e.Staged = []garnetworks.ModelName{"large", "small"}
	}
	if large, small := len(w.groupsOf(evacuated, "large")), len(w.groupsOf(other, "small")); large == 0 || small < 2 {
		t.Fatalf("%d large groups in one zone, %d small ones in the other", large, small)
	}
	kept := w.groupsOf(evacuated, "large")
	w.evacuated = garnetworks.NewSet(garnetworks.ZoneID(evacuated))
	w.run(60 * time.Second)
	checkRules(t, w)
	if len(w.groupsOf(other, "large")) == 0 {
		t.Errorf("the zone that gets all calls has only small groups: %v", w.groupsOf(other, "small"))
	}
	for id := range kept {
		if !w.groupsOf(evacuated, "large").Has(id) {
			t.Errorf("group %s of the evacuated zone was closed", id)
		}
	}
}

// groupsOf returns the groups of a model that the engines of a domain are in.
func (w *simulation) groupsOf(domain garnetworks.DomainID, model garnetworks.ModelName) garnetworks.Set[garnetworks.GroupID] {
	ids := make(garnetworks.Set[garnetworks.GroupID])
	for _, e := range w.engines {
		if e.Domain == domain && e.Model == model && e.Membership.Group != "" && !e.dead {
			ids.Add(e.Membership.Group)
		}
	}
	return ids
}
