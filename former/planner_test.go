package former_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/garnetworks/garnetworks"
)

func checkRules(t interface {
	Helper()
	Errorf(string, ...any)
}, w *simulation,
) {
	t.Helper()
	for _, f := range w.violations {
		t.Errorf("%s", f)
	}
}

// Story: a member of a group is lost, and the spare that takes its place has the
// weights on its host only: it starts warm while the whole group waits. A spare
// that was prepared joins as fast as the survivors do.
func TestPrewarmedSpareJoinsAtOnce(t *testing.T) {
	w := newSimulation(1, 11)
	w.run(40 * time.Second)
	w.member("large", 1).dead = true
	w.run(800 * time.Millisecond)
	checkRules(t, w)
	if got := w.serving(); got["large"] != 1 {
		t.Errorf("serving %v 0.8 s after the loss", got)
	}
}

// Story: both spares of a domain held the large model. A lost member of a small
// group was replaced by one of them, and the group waited 12 s for its load.
func TestEachModelHasASpare(t *testing.T) {
	w := newSimulation(1, 11)
	w.run(40 * time.Second)
	w.member("small", 1).dead = true
	w.run(800 * time.Millisecond)
	checkRules(t, w)
	if got := w.serving(); got["small"] != 1 {
		t.Errorf("serving %v 0.8 s after the loss", got)
	}
}

// Story: a site starts. Its domains hold one large and one small group each and
// two spares; other mixtures leave whole groups' worth of engines idle.
func TestDomainsAreFilled(t *testing.T) {
	w := newSimulation(6, 11)
	w.run(30 * time.Second)
	checkRules(t, w)
	if got := w.serving(); got["large"] != 6 || got["small"] != 6 {
		t.Errorf("serving %v, want 6 of each", got)
	}
	for id, e := range w.engines {
		if len(e.Staged) == 0 {
			t.Errorf("the spare %s holds no weights", id)
		}
	}
}

// member returns the member of a serving group of a model with a rank.
func (w *simulation) member(model garnetworks.ModelName, rank int) *engine {
	for _, domain := range slices.Sorted(maps.Keys(w.domains())) {
		if e := w.memberOf(domain, model, rank); e != nil {
			return e
		}
	}
	return nil
}

// memberOf returns the same of a domain.
func (w *simulation) memberOf(domain garnetworks.DomainID, model garnetworks.ModelName, rank int) *engine {
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		if e := w.engines[id]; e.Domain == domain && e.Model == model && e.Membership.Group != "" && e.Membership.Rank == rank && !e.dead {
			return e
		}
	}
	return nil
}

func (w *simulation) domains() garnetworks.Set[garnetworks.DomainID] {
	domains := make(garnetworks.Set[garnetworks.DomainID])
	for _, e := range w.engines {
		domains.Add(e.Domain)
	}
	return domains
}

// Story: a member of a group dies. The group can't serve, its other members hold
// the weights, and a spare holds them on its host: a new group serves within two
// seconds, not after a load of 16.
func TestLostMemberIsReplaced(t *testing.T) {
	cases := map[string]struct {
		rank   int
		inject func(*engine)
	}{
		"member dies":          {1, func(e *engine) { e.dead = true }},
		"head dies":            {0, func(e *engine) { e.dead = true }},
		"member falls silent":  {2, func(e *engine) { e.unresponsive = true }},
		"head falls silent":    {0, func(e *engine) { e.unresponsive = true }},
		"member is cut off":    {3, func(e *engine) { e.partitioned = true }},
		"member will stop":     {4, func(e *engine) { e.State = garnetworks.ListedLeaving }},
		"head will stop":       {0, func(e *engine) { e.State = garnetworks.ListedLeaving }},
		"member started anew":  {5, (*engine).restart},
		"head broke by itself": {0, func(e *engine) { e.Membership.State = garnetworks.MemberBroken }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(2, 11)
			w.run(30 * time.Second)
			before := w.serving()
			c.inject(w.member("large", c.rank))
			w.run(3 * time.Second)
			checkRules(t, w)
			if got := w.serving(); got["large"] != before["large"] {
				t.Errorf("%d large groups serve, want %d", got["large"], before["large"])
			}
		})
	}
}

// Story: a member of a small group is cut off from the store for five seconds. The
// only spare has to load the small model for twelve seconds, and the other members
// wait with it, though the member is back with the weights long before.
func TestReturningMemberIsReused(t *testing.T) {
	w := newSimulation(1, 10)
	w.run(30 * time.Second)
	for _, e := range w.engines {
		if e.Membership.Group == "" {
			e.Staged = []garnetworks.ModelName{"large"}
		}
	}
	lost := w.member("small", 1)
	lost.partitioned = true
	w.run(5 * time.Second)
	lost.partitioned = false
	w.run(4 * time.Second)
	checkRules(t, w)
	if got := w.serving(); got["small"] != 1 || got["large"] != 1 {
		t.Errorf("serving %v four seconds after the return", got)
	}
}

// Story: engines are cut off from the store and from the holder of the lease, while
// calls still reach them and get their events. Their groups were dissolved, and the
// calls of all nodes with them.
func TestProgressingGroupIsKept(t *testing.T) {
	w := newSimulation(1, 11)
	w.run(30 * time.Second)
	lost := w.member("large", 2)
	w.leaveOrders = 0
	w.progressing = garnetworks.NewSet(lost.Membership.Group)
	lost.partitioned, lost.unresponsive = true, true
	w.run(5 * time.Second)
	if w.leaveOrders != 0 {
		t.Errorf("%d members were ordered to leave a group that serves", w.leaveOrders)
	}
	w.progressing = nil
	w.run(3 * time.Second)
	checkRules(t, w)
	if got := w.serving(); got["large"] != 1 {
		t.Errorf("serving %v after the group stood still", got)
	}
}

// Story: the head of a group stops without having said so: its entry is removed, and
// it goes on answering the calls that it has. The other members were ordered to leave
// at once, the head stood still, and its streams broke off in the middle.
func TestHeadThatLeavesUnannouncedFinishesItsCalls(t *testing.T) {
	w := newSimulation(2, 11)
	w.run(30 * time.Second)
	head := w.member("large", 0)
	w.progressing = garnetworks.NewSet(head.Membership.Group)
	head.partitioned = true
	w.leaveOrders = 0
	w.run(2 * time.Second)
	if w.leaveOrders != 0 {
		t.Errorf("%d members were ordered to leave while the head gave events", w.leaveOrders)
	}
	w.progressing = nil
	w.run(3 * time.Second)
	checkRules(t, w)
	if got := w.serving(); got["large"] != 2 {
		t.Errorf("serving %v after the head had ended", got)
	}
}

// Story: an availability zone is cut off from the store, and its groups serve on.
// When it is back, its engines still are in their groups; the holder of the lease
// had taken the groups for gone and ordered the engines into others.
func TestGroupsOfReturnedZoneKeepServing(t *testing.T) {
	w := newSimulation(2, 11)
	w.run(60 * time.Second)
	for _, e := range w.engines {
		if e.Domain == "d1" {
			e.partitioned = true
		}
	}
	w.run(10 * time.Second)
	for _, e := range w.engines {
		e.partitioned = false
	}
	orders := w.orders
	w.run(5 * time.Second)
	checkRules(t, w)
	if got := w.serving(); got["large"] != 2 || got["small"] != 2 {
		t.Errorf("serving %v after the return", got)
	}
	if w.orders != orders {
		t.Errorf("%d orders were sent to groups that were whole", w.orders-orders)
	}
}

// Story: the same, but the zone's entries vanish and come back one after the other,
// and its engines answer no probes meanwhile. Each time a part of a group is listed;
// its members were ordered to leave as soon as one of them could be reached.
func TestGroupsOfGraduallyReturningZoneKeepServing(t *testing.T) {
	w := newSimulation(2, 11)
	w.run(30 * time.Second)
	var zone []*engine
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		if e := w.engines[id]; e.Domain == "d1" {
			zone = append(zone, e)
		}
	}
	each := func(change func(*engine), gap time.Duration) {
		for _, e := range zone {
			change(e)
			w.run(gap)
		}
	}
	w.leaveOrders = 0
	each(func(e *engine) { e.unresponsive = true }, 0)
	each(func(e *engine) { e.partitioned = true }, 100*time.Millisecond)
	w.run(5 * time.Second)
	each(func(e *engine) { e.unresponsive = false }, 100*time.Millisecond)
	each(func(e *engine) { e.partitioned = false }, 100*time.Millisecond)
	w.run(5 * time.Second)
	checkRules(t, w)
	if got := w.serving(); got["large"] != 2 || got["small"] != 2 {
		t.Errorf("serving %v after the return", got)
	}
	if w.leaveOrders != 0 {
		t.Errorf("%d members were ordered to leave groups that were whole", w.leaveOrders)
	}
}

// Story: the holder of the lease dies between a group's joins and its opening. The
// next holder finds members that are ready in a group that nobody has opened.
func TestNextLeaseHolderContinuesFormation(t *testing.T) {
	w := newSimulation(1, 11)
	for range 18 {
		w.refreshView()
		w.step(time.Second)
	}
	w.term++
	w.run(10 * time.Second)
	checkRules(t, w)
	if got := w.serving(); got["large"] != 1 || got["small"] != 1 {
		t.Errorf("serving %v", got)
	}
}

// Story: the answers of a broken group's members come one after the other. With
// the first three a small group was formed, and the large one was never replaced.
func TestDomainWaitsForAllLeaveResponses(t *testing.T) {
	w := newSimulation(1, 11)
	w.run(30 * time.Second)
	w.member("large", 1).dead = true
	w.run(2500 * time.Millisecond)
	if got := w.serving(); got["large"] != 1 || got["small"] != 1 {
		t.Errorf("serving %v, want one of each", got)
	}
}

// Story: anything happens to engines, stores and holders in any order, views lag,
// and orders come late. No engine is ordered into a second group without leaving
// the first one, no group opens without all its members, and once the trouble is
// over all domains are filled again.
func TestAnyTroubleKeepsTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(2, 11)
		steps := rapid.IntRange(20, 120).Draw(t, "steps")
		for i := range steps {
			w.injectFault(t, i)
			if rapid.IntRange(0, 3).Draw(t, "view") > 0 {
				w.refreshView()
			}
			w.step(time.Duration(rapid.IntRange(20, 2000).Draw(t, "ms")) * time.Millisecond)
		}
		for _, e := range w.engines {
			e.unresponsive, e.partitioned = false, false
		}
		w.run(60 * time.Second)
		checkRules(t, w)
		for _, domain := range []garnetworks.DomainID{"d0", "d1"} {
			if idle := w.idle(domain); idle >= 3 {
				t.Errorf("%d engines of %s are in no group that serves", idle, domain)
			}
		}
	})
}

func (w *simulation) idle(domain garnetworks.DomainID) int {
	open := make(map[garnetworks.GroupID]bool)
	for _, e := range w.engines {
		if !e.dead && e.Membership.Rank == 0 && e.Membership.State == garnetworks.MemberOpen {
			open[e.Membership.Group] = true
		}
	}
	idle := 0
	for _, e := range w.engines {
		if e.Domain == domain && !e.dead && e.State == garnetworks.ListedLive && !open[e.Membership.Group] {
			idle++
		}
	}
	return idle
}

// trouble strikes one engine, or the holder of the lease.
func (w *simulation) injectFault(t *rapid.T, step int) {
	ids := slices.Sorted(maps.Keys(w.engines))
	id := rapid.SampledFrom(ids).Draw(t, "engine")
	e := w.engines[id]
	switch rapid.IntRange(0, 12).Draw(t, "trouble") {
	case 0:
		e.dead = true
		w.add(fmt.Sprintf("n-%d", step), string(e.Domain))
	case 1:
		e.unresponsive = !e.unresponsive
	case 2:
		e.partitioned = !e.partitioned
	case 3:
		e.Membership, e.Model, e.epoch = garnetworks.Membership{}, "", 0
	case 4:
		// A new holder reads the store anew before it acts.
		w.term++
		w.refreshView()
	case 5:
		e.State = garnetworks.ListedLeaving
	case 6:
		e.restart()
	}
}
