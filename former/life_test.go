package former_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/former"
)

// A member or the head of an open group restarts within a heartbeat, so that its entry never
// vanishes. The group must be replaced even while events from before the crash still count.
func TestGroupOfRestartedEngineIsReplaced(t *testing.T) {
	for name, rank := range map[string]int{"head": 0, "member": 3} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(1, 11)
			w.run(40 * time.Second)
			e := w.member("large", rank)
			group := e.Membership.Group
			// Events from before the crash keep the group progressing for a moment.
			w.progressing = garnetworks.NewSet(group)
			e.restart()
			w.refreshView()
			for _, g := range former.Observe(w.view, "llm", former.Sizes(w.profile)) {
				if g.ID == group && g.Serves() {
					t.Error("the group still counts as one that serves")
				}
			}
			w.run(time.Second)
			checkRules(t, w)
			if got := w.serving(); got["large"] != 1 {
				t.Errorf("serving %v a second after the crash", got)
			}
		})
	}
}

// Engines of a domain that restart together must not look like entries hidden by a partition,
// which would defer the dissolution of their groups.
func TestSimultaneousRestartsAreNotAPartition(t *testing.T) {
	w := newSimulation(1, 23)
	w.run(settled)
	before := w.serving()
	restarted := 0
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		if e := w.engines[id]; restarted < 5 && e.Membership.Group != "" {
			e.restart()
			restarted++
		}
	}
	w.leaveOrders = 0
	w.run(500 * time.Millisecond)
	checkRules(t, w)
	if w.leaveOrders == 0 {
		t.Error("no member was ordered to leave a group that has lost other members")
	}
	w.run(5 * time.Second)
	if got := w.serving(); got["large"] < before["large"] {
		t.Errorf("serving %v five seconds after the crash, before it %v", got, before)
	}
}

// A group in epoch 0 must not match the zero epoch of entries without a previous membership.
func TestGroupInEpochZeroIsNotLost(t *testing.T) {
	w := newSimulation(1, 11)
	w.run(settled)
	w.refreshView()
	group := w.member("large", 0).Membership.Group
	for id, s := range w.view {
		if s.Membership.Group == group {
			s.Membership.Epoch = 0
			w.view[id] = s
		}
	}
	for _, g := range former.Observe(w.view, "llm", former.Sizes(w.profile)) {
		if g.ID == group && g.Lost {
			t.Error("the group counts as lost")
		}
	}
}

// An engine accepts a join and restarts before the group opens. The join must not count for the
// new incarnation, or the head opens without a member or the others wait in vain.
func TestOrdersOfEarlierIncarnationAreIgnored(t *testing.T) {
	cases := map[string]time.Duration{"right after its answer": 0, "while it joins": 100 * time.Millisecond}
	for name, after := range cases {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(1, 11)
			w.run(settled)
			w.member("large", 2).dead = true
			for range 30 {
				if w.forming("large") != nil {
					break
				}
				w.run(100 * time.Millisecond)
			}
			w.run(after)
			e := w.forming("large")
			if e == nil {
				t.Fatal("no engine is on its way into a large group")
			}
			e.restart()
			w.run(5 * time.Second)
			checkRules(t, w)
			if got := w.serving(); got["large"] != 1 || got["small"] != 1 {
				t.Errorf("serving %v five seconds after the crash", got)
			}
		})
	}
}

// forming returns the first engine of a group that is being formed for the model, other than
// groups of a single spare.
func (w *simulation) forming(model garnetworks.ModelName) *engine {
	count := make(map[garnetworks.GroupID]int)
	for _, e := range w.engines {
		count[e.Membership.Group]++
	}
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		e := w.engines[id]
		joining := e.Membership.State == garnetworks.MemberJoining || e.Membership.State == garnetworks.MemberReady && e.Membership.Rank > 0
		if joining && count[e.Membership.Group] > 1 && former.GroupModel(e.Membership.Group) == model && !w.open(e.Membership.Group) {
			return e
		}
	}
	return nil
}

// open reports whether a group's head is open.
func (w *simulation) open(id garnetworks.GroupID) bool {
	for _, e := range w.engines {
		if e.Membership.Group == id && e.Membership.State == garnetworks.MemberOpen {
			return true
		}
	}
	return false
}

// settled is the time after which groups serve and spares are prewarmed.
const settled = 40 * time.Second

// A restarted engine carries out a delayed join to its old group, whose head is open. The group
// must not count as complete: the member was never ready in this incarnation.
func TestLateJoinOfEarlierIncarnationDoesNotCompleteGroup(t *testing.T) {
	w := newSimulation(1, 11)
	w.run(settled)
	e := w.member("large", 4)
	before := e.Membership
	e.restart()
	w.run(100 * time.Millisecond)
	e.Membership = before
	e.Membership.State, e.readyAt = garnetworks.MemberJoining, w.now.Add(200*time.Millisecond)
	w.refreshView()
	for _, g := range former.Observe(w.view, "llm", former.Sizes(w.profile)) {
		if g.ID == before.Group && g.Serves() {
			t.Error("the group counts as one that serves")
		}
	}
	w.run(5 * time.Second)
	checkRules(t, w)
	if got := w.serving(); got["large"] != 1 || e.Membership.Group == before.Group {
		t.Errorf("serving %v, the engine is in %q", got, e.Membership.Group)
	}
}

// The same for a new lease holder that has not seen the earlier incarnation: a member that is
// joining while its head is open has restarted.
func TestMemberJoiningAnOpenGroupHasRestarted(t *testing.T) {
	w := newSimulation(1, 11)
	w.run(settled)
	e := w.member("large", 4)
	group := e.Membership.Group
	e.Membership.State, e.readyAt = garnetworks.MemberJoining, w.now.Add(time.Hour)
	w.view, w.planner, w.term = nil, former.NewPlanner(), w.term+1
	w.run(2 * time.Second)
	for _, other := range w.engines {
		if other.Membership.Group == group {
			t.Errorf("%s is still in the group", other.ID)
		}
	}
}

// An instance that did not accept a join is excluded. Its next incarnation must get an order as
// soon as an engine with a new identifier.
func TestNewIncarnationIsUsedAsSoonAsANewEngine(t *testing.T) {
	firstOrderDelay := func(inject func(*simulation, *engine) *engine) time.Duration {
		w := newSimulation(1, 6) // one large group, no spare
		w.run(settled)
		e := w.member("large", 3)
		e.unresponsive = true
		w.run(2 * time.Second)
		e = inject(w, e)
		began := w.now
		const step = 50 * time.Millisecond
		for range 200 {
			w.refreshView()
			w.step(step)
			if e.Membership.Group != "" {
				break
			}
		}
		checkRules(t, w)
		return w.now.Sub(began)
	}
	restarted := firstOrderDelay(func(_ *simulation, e *engine) *engine {
		e.unresponsive = false
		e.restart()
		return e
	})
	fresh := firstOrderDelay(func(w *simulation, e *engine) *engine {
		e.dead = true
		w.add("i-new", string(e.Domain))
		w.engines["i-new"].Staged = e.Staged
		return w.engines["i-new"]
	})
	t.Logf("first order of a restarted engine after %s, of a new one after %s", restarted, fresh)
	if restarted > fresh {
		t.Errorf("a restarted engine is used after %s, a new one after %s", restarted, fresh)
	}
}

// An entry of an unknown service names a real group with a higher epoch. The group's members
// must not count as those of an older epoch.
func TestEntriesOfOtherServicesAreIgnored(t *testing.T) {
	w := newSimulation(1, 11)
	w.run(settled)
	member := w.member("large", 0).Membership
	other := &engine{}
	other.ID, other.Service, other.Domain = "x", "other", "d0"
	other.Membership = member
	other.Membership.Epoch++
	w.engines["x"] = other
	w.leaveOrders = 0
	w.run(time.Second)
	checkRules(t, w)
	if got := w.serving(); got["large"] != 1 || w.leaveOrders != 0 {
		t.Errorf("serving %v after %d orders to leave", got, w.leaveOrders)
	}
}

// Guards against an engine that a late join puts back into a group it left and that is ordered into another.
func TestLateCopyOfAJoinIsLeftAgain(t *testing.T) {
	const late = 8 * time.Second
	for name, copies := range map[string]int{"one copy late": 1, "three copies late": 3} {
		for _, successor := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, another lease holder %t", name, successor), func(t *testing.T) {
				w := newSimulation(1, 7)
				w.profile.Models = w.profile.Models[:1]
				w.run(settled)
				w.lateJoins, w.lateBy = copies, late
				w.member("large", 5).dead = true
				w.run(4 * time.Second)
				if got := w.serving(); len(w.late) != copies || got["large"] != 1 {
					t.Fatalf("%d joins are late, serving %v", len(w.late), got)
				}
				e := w.engines[w.late[0].Incarnation.Instance]
				group := e.Membership.Group
				// Too few engines are left for the group, so that its members wait in none.
				lost := w.member("large", 1)
				if lost == e {
					lost = w.member("large", 2)
				}
				lost.dead = true
				w.run(time.Second)
				if e.Membership.Group != "" {
					t.Fatalf("the engine has not left %s", e.Membership.Group)
				}
				if successor {
					w.term++
				}
				w.run(late - 4*time.Second)
				if e.Membership.Group != group && !successor { // another holder sees the late join and takes it back
					t.Fatalf("the late join did not put the engine back into %s", group)
				}
				for i := range 6 {
					w.add(fmt.Sprintf("n-%d", i), "d0")
				}
				w.run(40 * time.Second)
				checkRules(t, w)
				if got := w.serving(); got["large"] != 1 {
					t.Errorf("serving %v after engines were added", got)
				}
			})
		}
	}
}
