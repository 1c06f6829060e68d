package former_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/former"
)

// Story: a member or the head of an open group crashes and starts again under its
// identifier within a heartbeat, so that its entry never vanishes. The head goes on
// accepting calls and nothing moves. The group was kept as long as some node still had
// events of before, and its survivors were not formed anew until the head broke.
func TestGroupOfRestartedEngineIsReplaced(t *testing.T) {
	for name, rank := range map[string]int{"head": 0, "member": 3} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(1, 11)
			w.run(40 * time.Second)
			e := w.member("large", rank)
			group := e.Membership.Group
			// Events of before the crash keep the group moving for a moment.
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

// Story: five engines of a domain crash and are back under their identifiers within a
// heartbeat, as after a short loss of power. Their entries of before counted as vanished,
// the domain as cut off, and its lost groups were left alone for 2.3 s.
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
		t.Error("no member was ordered to leave a group that has lost others for certain")
	}
	w.run(5 * time.Second)
	if got := w.serving(); got["large"] < before["large"] {
		t.Errorf("serving %v five seconds after the crash, before it %v", got, before)
	}
}

// Story: an entry tells of a group in epoch 0. No other one has ended in that epoch, and
// the group counted as lost.
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

// Story: an engine takes the order to join a group, and crashes before the group opens.
// What the earlier life had taken counted for the new one, which knows nothing of the
// group: the head opened without a member, or the others waited for it for 20 s.
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

// forming returns the first engine that is on its way into a group of several of the model.
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

// settled is the time after which a world's groups serve and its spares are prepared.
const settled = 40 * time.Second

// Story: an engine starts again and then takes a join to its old group that was sent
// before the crash and is carried out late. By the entries the group was whole again,
// and its head open: calls were sent to a group of which one member had never been
// ready in this life.
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

// Story: the same, seen by a holder of the lease that has just begun and knows nothing
// of the earlier life. A member that joins while its head is open has started again.
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

// Story: an engine did not take a join and is left out for three seconds. It starts
// again under its identifier within that time; the new life is as good as any other.
// How long its return takes until it has an order is told beside that of an engine that
// comes under a new identifier.
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
	t.Logf("first order of an engine that started again after %s, of a new one after %s", restarted, fresh)
	if restarted > fresh {
		t.Errorf("an engine that started again is used after %s, a new one after %s", restarted, fresh)
	}
}

// Story: another program writes an entry of no known service that names a real group
// with a higher epoch. The group's members counted as those of an older one.
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
