package tracker

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
)

// contendedObjects runs concurrentWrite before each of the first conflicts writes.
type contendedObjects struct {
	garnetworks.ObjectAPI
	conflicts       int
	concurrentWrite func()
}

func (o *contendedObjects) Put(ctx context.Context, key string, value []byte, after garnetworks.Revision) (garnetworks.Revision, error) {
	if o.conflicts > 0 {
		o.conflicts--
		o.concurrentWrite()
	}
	return o.ObjectAPI.Put(ctx, key, value, after)
}

// TestStore writes a roster with faults of the object API. A lost response must not be
// treated as a failure, nor a concurrent change be overwritten.
func TestStore(t *testing.T) {
	node := func(id garnetworks.NodeID) garnetworks.NodeInfo {
		return garnetworks.NodeInfo{ID: id, Incarnation: 5, Zone: "zone-0"}
	}
	patch := Patch{Zone: "zone-0", Set: []garnetworks.NodeInfo{node("b")}, Remove: []Removal{{ID: "c", Incarnation: 5}}}
	tests := map[string]struct {
		faults    faker.FaultPlan
		conflicts int
		kind      garnetworks.Kind
		nodes     []string
		writes    uint64
	}{
		"no fault":                   {nodes: []string{"a#5", "b#5"}, writes: 1},
		"answer lost":                {faults: faker.FaultPlan{LoseAnswers: 1, Methods: []string{faker.MethodPut}}, nodes: []string{"a#5", "b#5"}, writes: 1},
		"unavailable":                {faults: faker.FaultPlan{Unavailable: true, Methods: []string{faker.MethodPut}}, kind: garnetworks.KindConflict, nodes: []string{"a#5", "c#5"}, writes: maxWriteAttempts},
		"down":                       {faults: faker.FaultPlan{Unavailable: true}, kind: garnetworks.KindObjectAPIDown, nodes: []string{"a#5", "c#5"}},
		"concurrent write":           {conflicts: 1, nodes: []string{"a#5", "b#5", "r#5"}, writes: 2},
		"concurrent write each time": {conflicts: maxWriteAttempts, kind: garnetworks.KindConflict, nodes: []string{"a#5", "c#5", "r#5"}, writes: maxWriteAttempts},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			objects := faker.NewObjects(faker.ObjectsOptions{})
			change := func(change func(*garnetworks.Roster)) { changeRoster(t, objects, change) }
			change(func(r *garnetworks.Roster) { r.Nodes = []garnetworks.NodeInfo{node("a"), node("c")} })
			contended := &contendedObjects{ObjectAPI: objects, conflicts: test.conflicts, concurrentWrite: func() {
				change(func(r *garnetworks.Roster) {
					r.Nodes = slices.DeleteFunc(r.Nodes, func(n garnetworks.NodeInfo) bool { return n.ID == "r" })
					r.Nodes = append(r.Nodes, node("r"))
				})
			}}
			tracker := New(Options{Self: node("a"), Objects: contended})
			objects.SetFaults(test.faults)
			roster, err := tracker.storePatch(t.Context(), patch)
			objects.SetFaults(faker.FaultPlan{})
			if got := garnetworks.KindOf(err); got != test.kind {
				t.Errorf("got %v, want kind %q", err, test.kind)
			}
			stored := changeRoster(t, objects, nil)
			if !slices.Equal(names(stored.Nodes), test.nodes) {
				t.Errorf("stored %v, want %v", names(stored.Nodes), test.nodes)
			}
			if err == nil && roster.WriteID != stored.WriteID {
				t.Error("the returned roster is not the stored one")
			}
			if writes, _ := tracker.StoreCalls(); writes != test.writes {
				t.Errorf("%d writes, want %d", writes, test.writes)
			}
		})
	}
}

// When a site starts, every node reads all rosters and must not publish them again, except
// for a version whose writer failed before it published it.
func TestReadRosters(t *testing.T) {
	objects := faker.NewObjects(faker.ObjectsOptions{})
	written := changeRoster(t, objects, func(r *garnetworks.Roster) { r.Nodes = []garnetworks.NodeInfo{{ID: "a"}} })
	var held, published []uint64
	record := func(versions *[]uint64) func(garnetworks.Update) error {
		return func(u garnetworks.Update) error {
			*versions = append(*versions, u.Version.Sequence)
			return nil
		}
	}
	tracker := New(Options{
		Self: garnetworks.NodeInfo{ID: "z", Zone: "zone-1"}, Objects: objects,
		Publish: record(&published), Hold: record(&held),
	})
	for range 2 {
		if err := tracker.listRosters(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	newer := changeRoster(t, objects, func(*garnetworks.Roster) {})
	if err := tracker.listRosters(t.Context()); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(held, []uint64{written.Version}) || !slices.Equal(published, []uint64{newer.Version}) {
		t.Errorf("held %v and published %v, want %d and %d", held, published, written.Version, newer.Version)
	}
}

// changeRoster applies change, if not nil, to the stored roster and returns the result.
func changeRoster(t *testing.T, objects garnetworks.ObjectAPI, change func(*garnetworks.Roster)) garnetworks.Roster {
	t.Helper()
	roster := garnetworks.Roster{Zone: "zone-0"}
	object, err := objects.Get(t.Context(), RosterPrefix+"zone-0")
	if err == nil {
		err = json.Unmarshal(object.Value, &roster)
	}
	if err != nil && !garnetworks.IsKind(err, garnetworks.KindNotFound) {
		t.Fatal(err)
	}
	if change == nil {
		return roster
	}
	change(&roster)
	roster.Version++
	body, err := json.Marshal(roster)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := objects.Put(t.Context(), RosterPrefix+"zone-0", body, object.Revision); err != nil {
		t.Fatal(err)
	}
	return roster
}

// Guards against nodes that are lost from a roster, or a version given to two, after a restore.
func TestRosterLostWithACopyIsWrittenAgain(t *testing.T) {
	node := func(id garnetworks.NodeID) garnetworks.NodeInfo {
		return garnetworks.NodeInfo{ID: id, Incarnation: 5, Zone: "zone-0"}
	}
	for name, test := range map[string]struct {
		// stored says that the copy holds a first roster of a alone.
		stored   bool
		restores int
		// patch adds d; a patch without changes is what the first writer sends on its own.
		patch bool
		want  []string
	}{
		"no change, the copy has an older roster": {stored: true, restores: 1, want: []string{"a#5", "b#5", "c#5"}},
		"no change, the copy has none":            {restores: 1, want: []string{"a#5", "b#5", "c#5"}},
		"a change, the copy has an older roster":  {stored: true, restores: 1, patch: true, want: []string{"a#5", "b#5", "c#5", "d#5"}},
		"a change after two restores":             {stored: true, restores: 2, patch: true, want: []string{"a#5", "b#5", "c#5", "d#5"}},
		"a change, the copy has none":             {restores: 1, patch: true, want: []string{"a#5", "b#5", "c#5", "d#5"}},
	} {
		t.Run(name, func(t *testing.T) {
			objects := faker.NewObjects(faker.ObjectsOptions{})
			if test.stored {
				changeRoster(t, objects, func(r *garnetworks.Roster) { r.Nodes = []garnetworks.NodeInfo{node("a")} })
			}
			old := objects.Copy()
			known := changeRoster(t, objects, func(r *garnetworks.Roster) { r.Nodes = []garnetworks.NodeInfo{node("a"), node("b"), node("c")} })
			for range test.restores {
				objects.Restore(old)
			}
			patch := Patch{Zone: "zone-0", KnownVersion: known.Version, KnownNodes: known.Nodes}
			if test.patch {
				patch.Set = []garnetworks.NodeInfo{node("d")}
			}
			written, err := New(Options{Self: node("a"), Objects: objects}).storePatch(t.Context(), patch)
			if err != nil {
				t.Fatal(err)
			}
			stored := changeRoster(t, objects, nil)
			if !slices.Equal(names(stored.Nodes), test.want) || stored.WriteID != written.WriteID {
				t.Errorf("stored %v, want %v", names(stored.Nodes), test.want)
			}
			if stored.Version <= known.Version || stored.Version <= firstVersion(garnetworks.Era(test.restores)) {
				t.Errorf("version %d in era %d after version %d", stored.Version, test.restores, known.Version)
			}
			again, err := New(Options{Self: node("a"), Objects: objects}).storePatch(t.Context(), patch)
			if err != nil || again.Version != stored.Version {
				t.Errorf("another writer stored version %d after %d, %v", again.Version, stored.Version, err)
			}
		})
	}
}

// Guards against a roster that stays lost until its next change, and against a list by each node.
func TestNewEraIsNoticedByTheWriter(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	nodes := []garnetworks.NodeInfo{{ID: "a", Incarnation: 5, Address: "a", Zone: "z"}, {ID: "b", Incarnation: 5, Address: "b", Zone: "z"}}
	for name, c := range map[string]struct {
		self    int
		lists   bool
		version uint64
		era     garnetworks.Era
		writes  bool
	}{
		"the first writer":              {self: 0, lists: true, version: 3, era: 1, writes: true},
		"no roster in the copy":         {self: 0, lists: true, era: 1, writes: true},
		"a lagging replica, same era":   {self: 0, lists: true, version: 3, era: 0},
		"the copy holds it":             {self: 0, lists: true, version: 7, era: 1},
		"already written again":         {self: 0, lists: true, version: 1<<eraShift + 1, era: 1},
		"another node of the same zone": {self: 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState(nodes[c.self], nil, now)
			s.Step(now, RosterLearned{Roster: garnetworks.Roster{Zone: "z", Version: 7, Nodes: nodes}})
			s.Step(now, RostersRead{})
			other := nodes[1-c.self]
			s.Step(now, Answered{Node: other, From: other})
			s.Step(now, EraBegan{})
			if d := s.Step(now, Ticked{}); d.Reread != c.lists {
				t.Fatalf("lists the rosters: %t, want %t", d.Reread, c.lists)
			}
			if !c.lists {
				return
			}
			s.Step(now, OwnRosterStored{Version: c.version, Era: c.era})
			wrote := false
			for range 40 {
				now = now.Add(TickInterval)
				s.Step(now, Answered{Node: other, From: other})
				wrote = wrote || s.Step(now, Ticked{}).Write.Present
			}
			if wrote != c.writes {
				t.Errorf("writes the roster: %t, want %t", wrote, c.writes)
			}
		})
	}
}
