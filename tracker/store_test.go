package tracker

import (
	"context"
	"encoding/json"
	"slices"
	"testing"

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
