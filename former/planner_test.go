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

func check(t interface {
	Helper()
	Errorf(string, ...any)
}, w *world,
) {
	t.Helper()
	for _, f := range w.faults {
		t.Errorf("%s", f)
	}
}

// Story: a member of a group is lost, and the spare that takes its place has the
// weights on its host only: it starts warm while the whole group waits. A spare
// that was prepared joins as fast as the survivors do.
func TestPreparedSpareJoinsAtOnce(t *testing.T) {
	w := newWorld(1, 11)
	w.run(40 * time.Second)
	w.member("large", 1).dead = true
	w.run(800 * time.Millisecond)
	check(t, w)
	if got := w.serving(); got["large"] != 1 {
		t.Errorf("serving %v 0.8 s after the loss", got)
	}
}

// Story: both spares of a domain held the large model. A lost member of a small
// group was replaced by one of them, and the group waited 12 s for its load.
func TestEachModelHasASpare(t *testing.T) {
	w := newWorld(1, 11)
	w.run(40 * time.Second)
	w.member("small", 1).dead = true
	w.run(800 * time.Millisecond)
	check(t, w)
	if got := w.serving(); got["small"] != 1 {
		t.Errorf("serving %v 0.8 s after the loss", got)
	}
}

// Story: a site starts. Its domains hold one large and one small group each and
// two spares; other mixtures leave whole groups' worth of engines idle.
func TestDomainsAreFilled(t *testing.T) {
	w := newWorld(6, 11)
	w.run(30 * time.Second)
	check(t, w)
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
func (w *world) member(model garnetworks.ModelName, rank int) *engine {
	for _, domain := range slices.Sorted(maps.Keys(w.domains())) {
		if e := w.memberOf(domain, model, rank); e != nil {
			return e
		}
	}
	return nil
}

// memberOf returns the same of a domain.
func (w *world) memberOf(domain garnetworks.DomainID, model garnetworks.ModelName, rank int) *engine {
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		if e := w.engines[id]; e.Domain == domain && e.Model == model && e.Membership.Group != "" && e.Membership.Rank == rank && !e.dead {
			return e
		}
	}
	return nil
}

func (w *world) domains() garnetworks.Set[garnetworks.DomainID] {
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
		strike func(*engine)
	}{
		"member dies":          {1, func(e *engine) { e.dead = true }},
		"head dies":            {0, func(e *engine) { e.dead = true }},
		"member falls silent":  {2, func(e *engine) { e.dark = true }},
		"head falls silent":    {0, func(e *engine) { e.dark = true }},
		"member is cut off":    {3, func(e *engine) { e.cut = true }},
		"member will stop":     {4, func(e *engine) { e.State = garnetworks.ListedLeaving }},
		"head will stop":       {0, func(e *engine) { e.State = garnetworks.ListedLeaving }},
		"member started anew":  {5, (*engine).startAgain},
		"head broke by itself": {0, func(e *engine) { e.Membership.State = garnetworks.MemberBroken }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(2, 11)
			w.run(30 * time.Second)
			before := w.serving()
			c.strike(w.member("large", c.rank))
			w.run(3 * time.Second)
			check(t, w)
			if got := w.serving(); got["large"] != before["large"] {
				t.Errorf("%d large groups serve, want %d", got["large"], before["large"])
			}
		})
	}
}

// Story: a member of a small group is cut off from the store for five seconds. The
// only spare has to load the small model for twelve seconds, and the other members
// wait with it, though the member is back with the weights long before.
func TestMemberThatReturnsIsTakenBack(t *testing.T) {
	w := newWorld(1, 10)
	w.run(30 * time.Second)
	for _, e := range w.engines {
		if e.Membership.Group == "" {
			e.Staged = []garnetworks.ModelName{"large"}
		}
	}
	lost := w.member("small", 1)
	lost.cut = true
	w.run(5 * time.Second)
	lost.cut = false
	w.run(4 * time.Second)
	check(t, w)
	if got := w.serving(); got["small"] != 1 || got["large"] != 1 {
		t.Errorf("serving %v four seconds after the return", got)
	}
}

// Story: engines are cut off from the store and from the holder of the lease, while
// calls still reach them and get their events. Their groups were dissolved, and the
// calls of all nodes with them.
func TestGroupThatGivesEventsIsKept(t *testing.T) {
	w := newWorld(1, 11)
	w.run(30 * time.Second)
	lost := w.member("large", 2)
	w.left = 0
	w.moving = garnetworks.NewSet(lost.Membership.Group)
	lost.cut, lost.dark = true, true
	w.run(5 * time.Second)
	if w.left != 0 {
		t.Errorf("%d members were ordered to leave a group that serves", w.left)
	}
	w.moving = nil
	w.run(3 * time.Second)
	check(t, w)
	if got := w.serving(); got["large"] != 1 {
		t.Errorf("serving %v after the group stood still", got)
	}
}

// Story: the head of a group stops without having said so: its entry is removed, and
// it goes on answering the calls that it has. The other members were ordered to leave
// at once, the head stood still, and its streams broke off in the middle.
func TestHeadThatLeavesUnannouncedFinishesItsCalls(t *testing.T) {
	w := newWorld(2, 11)
	w.run(30 * time.Second)
	head := w.member("large", 0)
	w.moving = garnetworks.NewSet(head.Membership.Group)
	head.cut = true
	w.left = 0
	w.run(2 * time.Second)
	if w.left != 0 {
		t.Errorf("%d members were ordered to leave while the head gave events", w.left)
	}
	w.moving = nil
	w.run(3 * time.Second)
	check(t, w)
	if got := w.serving(); got["large"] != 2 {
		t.Errorf("serving %v after the head had ended", got)
	}
}

// Story: an availability zone is cut off from the store, and its groups serve on.
// When it is back, its engines still are in their groups; the holder of the lease
// had taken the groups for gone and ordered the engines into others.
func TestGroupsOfAReturnedZoneServeOn(t *testing.T) {
	w := newWorld(2, 11)
	w.run(60 * time.Second)
	for _, e := range w.engines {
		if e.Domain == "d1" {
			e.cut = true
		}
	}
	w.run(10 * time.Second)
	for _, e := range w.engines {
		e.cut = false
	}
	orders := w.orders
	w.run(5 * time.Second)
	check(t, w)
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
func TestGroupsOfAZoneThatReturnsInPartsServeOn(t *testing.T) {
	w := newWorld(2, 11)
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
	w.left = 0
	each(func(e *engine) { e.dark = true }, 0)
	each(func(e *engine) { e.cut = true }, 100*time.Millisecond)
	w.run(5 * time.Second)
	each(func(e *engine) { e.dark = false }, 100*time.Millisecond)
	each(func(e *engine) { e.cut = false }, 100*time.Millisecond)
	w.run(5 * time.Second)
	check(t, w)
	if got := w.serving(); got["large"] != 2 || got["small"] != 2 {
		t.Errorf("serving %v after the return", got)
	}
	if w.left != 0 {
		t.Errorf("%d members were ordered to leave groups that were whole", w.left)
	}
}

// Story: the holder of the lease dies between a group's joins and its opening. The
// next holder finds members that are ready in a group that nobody has opened.
func TestNextHolderGoesOn(t *testing.T) {
	w := newWorld(1, 11)
	for range 18 {
		w.tell()
		w.step(time.Second)
	}
	w.term++
	w.run(10 * time.Second)
	check(t, w)
	if got := w.serving(); got["large"] != 1 || got["small"] != 1 {
		t.Errorf("serving %v", got)
	}
}

// Story: the answers of a broken group's members come one after the other. With
// the first three a small group was formed, and the large one was never replaced.
func TestDomainWaitsForAllAnswers(t *testing.T) {
	w := newWorld(1, 11)
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
		w := newWorld(2, 11)
		steps := rapid.IntRange(20, 120).Draw(t, "steps")
		for i := range steps {
			w.trouble(t, i)
			if rapid.IntRange(0, 3).Draw(t, "view") > 0 {
				w.tell()
			}
			w.step(time.Duration(rapid.IntRange(20, 2000).Draw(t, "ms")) * time.Millisecond)
		}
		for _, e := range w.engines {
			e.dark, e.cut = false, false
		}
		w.run(60 * time.Second)
		check(t, w)
		for _, domain := range []garnetworks.DomainID{"d0", "d1"} {
			if idle := w.idle(domain); idle >= 3 {
				t.Errorf("%d engines of %s are in no group that serves", idle, domain)
			}
		}
	})
}

func (w *world) idle(domain garnetworks.DomainID) int {
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
func (w *world) trouble(t *rapid.T, step int) {
	ids := slices.Sorted(maps.Keys(w.engines))
	id := rapid.SampledFrom(ids).Draw(t, "engine")
	e := w.engines[id]
	switch rapid.IntRange(0, 12).Draw(t, "trouble") {
	case 0:
		e.dead = true
		w.add(fmt.Sprintf("n-%d", step), string(e.Domain))
	case 1:
		e.dark = !e.dark
	case 2:
		e.cut = !e.cut
	case 3:
		e.Membership, e.Model, e.epoch = garnetworks.Membership{}, "", 0
	case 4:
		// A new holder reads the store anew before it acts.
		w.term++
		w.tell()
	case 5:
		e.State = garnetworks.ListedLeaving
	case 6:
		e.startAgain()
	}
}
